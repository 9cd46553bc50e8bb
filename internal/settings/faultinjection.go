package settings

import (
	"strings"
	"time"
)

// FaultInjection is a drill: a fault that operators can inject into a share of one class's requests for a limited time.
type FaultInjection struct {
	Pos         string        // file:line of its block
	Name        string        // unique
	Secret      string        // the key that starts the drill; "": it can't be started
	Class       string        // of requests
	Percent     float64       // of the class's requests, 0 to 100; the setting is named share
	Delay       time.Duration // before the first attempt
	AbortStatus int           // 503 or 500: the response, sent without an attempt; 0: requests are not aborted
	Duration    time.Duration // how long the drill runs once started; default 1 min
}

// Bounds of a FaultInjection.
const (
	maxFaultDelay = time.Hour // the deadline of a request also limits its delay

	// A drill must end without an operator's action.
	defaultFaultSeconds = 60  // long enough to see the effect in metrics with a resolution of 10 s
	minFaultSeconds     = 1   // a shorter drill ends before anybody sees it
	maxFaultSeconds     = 600 // an operator who is present has to start a longer drill again

	maxStatus = 999 // three digits; the accepted values are checked separately
)

func (f *File) readFaultInjection(r *Reader) {
	d := FaultInjection{Pos: r.Position(), Name: r.Label()}
	if !isPrintable(d.Name) || strings.Contains(d.Name, " ") {
		r.AddErrorAt(r.Block.Line, "the label of a drill must be 1 to %d printable ASCII characters without spaces", maxTextLength)
	}
	d.Secret = r.Text("secret", "")
	if line, ok := r.LineOf("secret"); ok && !isPrintable(d.Secret) {
		r.AddErrorAt(line, "secret must be 1 to %d ASCII characters that fit in a header", maxTextLength)
	}
	d.Class = r.Text("class", "")
	if d.Class == "" {
		r.AddErrorAt(r.Block.Line, "drill %s needs a class", d.Name)
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

// checkUnique records an error if another drill has the same name or secret: a key must start one drill only.
func (f *File) checkUnique(r *Reader, d FaultInjection) {
	for _, other := range f.FaultInjections {
		if other.Name == d.Name {
			r.AddErrorAt(r.Block.Line, "drill %s is already defined (%s)", d.Name, other.Pos)
		}
		if other.Secret == d.Secret && d.Secret != "" {
			r.AddErrorAt(r.Block.Line, "drill %s has the same secret as drill %s", d.Name, other.Name)
		}
	}
}
