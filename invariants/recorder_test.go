package invariants

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A rule is broken three times in a moment: all three are counted, and the log has one line, with the request. A node without a
// Guard checks all the same and counts nothing.
func TestRecorderCountsAndLogs(t *testing.T) {
	var text bytes.Buffer
	g := NewRecorder(slog.New(slog.NewTextHandler(&text, nil)))
	for range 3 {
		g.Record(SlowStartSend{WarmingUp: true, Outstanding: 1}.Check(), "id", "r-1")
	}
	g.Record(RequestEnd{}.Check(), "id", "r-2")
	if g.Record(nil) || g.Count(SlowStart) != 3 || g.Count(Lost) != 1 || g.Total() != 4 {
		t.Errorf("counted %d and %d of %d", g.Count(SlowStart), g.Count(Lost), g.Total())
	}
	if n := strings.Count(text.String(), "invariant broken"); n < 2 || !strings.Contains(text.String(), "id=r-1") {
		t.Errorf("logged %s", text.String())
	}
	var none *Recorder
	if !none.Record(RequestEnd{}.Check()) || none.Total() != 0 {
		t.Error("no guard counts")
	}
}
