package invariants

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A rule is broken three times in quick succession. All three violations must be counted and the log must name the request.
// A nil Recorder reports violations but counts nothing.
func TestRecorderCountsAndLogs(t *testing.T) {
	var text bytes.Buffer
	recorder := NewRecorder(slog.New(slog.NewTextHandler(&text, nil)))
	for range 3 {
		recorder.Record(SlowStartSend{WarmingUp: true, Outstanding: 1}.Check(), "id", "r-1")
	}
	recorder.Record(RequestEnd{}.Check(), "id", "r-2")
	if recorder.Record(nil) || recorder.Count(SlowStart) != 3 || recorder.Count(Lost) != 1 || recorder.Total() != 4 {
		t.Errorf("counted %d violations of SlowStart, %d of Lost, %d in total; want 3, 1 and 4", recorder.Count(SlowStart), recorder.Count(Lost), recorder.Total())
	}
	if n := strings.Count(text.String(), "invariant broken"); n < 2 || !strings.Contains(text.String(), "id=r-1") {
		t.Errorf("the log has %s", text.String())
	}
	var none *Recorder
	if !none.Record(RequestEnd{}.Check()) || none.Total() != 0 {
		t.Error("a nil Recorder did not report a violation, or counted it")
	}
}
