package settings

import (
	"strings"
	"time"
)

// FaultInjection is a drill: a fault that operators may inject into a share of one class's requests for a while.
type FaultInjection struct {
	Pos         string        // file:line of its block
	Name        string        // unique
	Secret      string        // the key that starts it; "": it can't be started
	Class       string        // of requests
	Percent     float64       // share of the class's requests in percent, 0 to 100; the key is share
	Delay       time.Duration // before the first attempt
	AbortStatus int           // answered at once without an attempt: 503 or 500; 0: not
	Duration    time.Duration // from each start; default 1 min
}

// Bounds of a FaultInjection.
const (
	maxFaultDelay = time.Hour // a request is delayed no longer than its deadline allows anyway

	// A drill that nobody ends must end by itself.
	defaultFaultSeconds = 60  // enough to see the effect in metrics of 10 s
	minFaultSeconds     = 1   // shorter ones end before anybody sees them
	maxFaultSeconds     = 600 // a longer drill has to be started again by somebody who is there

	maxStatus = 999 // three digits; which of them may be used is checked by itself
)

func (f *File) readFaultInjection(r *Reader) {
	d := FaultInjection{Pos: r.Position(), Name: r.Label()}
	if !isPrintable(d.Name) || strings.Contains(d.Name, " ") {
		r.AddErrorAt(r.Block.Line, "a drill's label is its name: 1 to %d visible characters", maxTextLength)
	}
	d.Secret = r.Text("secret", "")
	if line, ok := r.LineOf("secret"); ok && !isPrintable(d.Secret) {
		r.AddErrorAt(line, "secret must be 1 to %d ASCII characters that fit in a header", maxTextLength)
	}
	d.Class = r.Text("class", "")
	if d.Class == "" {
		r.AddErrorAt(r.Block.Line, "drill %s names no class", d.Name)
	}
	d.Percent = r.Number("share", 0, 0, 100)
	d.Delay = r.Milliseconds("delay_ms", 0, 0, maxFaultDelay)
	d.AbortStatus = r.Integer("abort_status", 0, 0, maxStatus)
	if line, ok := r.LineOf("abort_status"); ok && d.AbortStatus != 503 && d.AbortStatus != 500 {
		r.AddErrorAt(line, "abort_status must be 503 or 500")
	}
	seconds := r.Number("duration_s", defaultFaultSeconds, minFaultSeconds, maxFaultSeconds)
	d.Duration = time.Duration(seconds * float64(time.Second))
	f.checkUnique(r, d)
	f.FaultInjections = append(f.FaultInjections, d)
}

// checkUnique notes an error if another drill has the name or the secret of this one: a key must start one drill.
func (f *File) checkUnique(r *Reader, d FaultInjection) {
	for _, other := range f.FaultInjections {
		if other.Name == d.Name {
			r.AddErrorAt(r.Block.Line, "drill %s is there already (%s)", d.Name, other.Pos)
		}
		if other.Secret == d.Secret && d.Secret != "" {
			r.AddErrorAt(r.Block.Line, "drill %s has the secret of drill %s: a key must name one drill", d.Name, other.Name)
		}
	}
}
