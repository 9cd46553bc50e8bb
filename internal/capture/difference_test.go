package capture

import (
	"strings"
	"testing"
	"time"
)

// People and scripts read these lines. They name the old and the new server or status, and times only if nothing else
// differs.
func TestWriteDifference(t *testing.T) {
	send := action{Kind: actionSend, ID: "9b1f03aa5c7e2d41", Server: "s-5be2a07c", Duration: time.Second}
	reject := action{Kind: actionReject, ID: send.ID, Status: 503}
	longer, timer := send, action{Kind: actionSetTimer, At: 7, Name: "r:" + send.ID}
	longer.Duration = 2 * time.Second
	fault := action{Kind: actionFaultInjected, ID: send.ID, Name: "stall"}
	other := action{Kind: actionSend, ID: "a", Server: "s-1"}
	for want, c := range map[string][2][]action{
		"9b1f03aa5c7e2d41 was s-5be2a07c now 503\n":                            {{send}, {reject}},
		"9b1f03aa5c7e2d41 was 503 now held\n":                                  {{reject}, {timer}},
		"9b1f03aa5c7e2d41 was s-5be2a07c now drill stall\n":                    {{send, timer}, {fault, timer}},
		"9b1f03aa5c7e2d41 was s-5be2a07c for 1s now s-5be2a07c for 2s\n":       {{send}, {longer}},
		"9b1f03aa5c7e2d41 was nothing now s-5be2a07c\na was s-1 now nothing\n": {{other}, {send}},
		"record 4 was s-5be2a07c for 1s then s-1 now in another order\n":       {{send, other}, {other, send}},
		"subscribe was subscribe now nothing\n":                                {{{Kind: actionSubscribe}}, nil},
	} {
		var out strings.Builder
		writeDifference(&out, &record{Seq: 4, Actions: c[0]}, c[1])
		got := strings.Split(out.String(), "\n")
		if len(got) == 3 && got[0] > got[1] {
			got[0], got[1] = got[1], got[0]
		}
		if strings.Join(got, "\n") != want {
			t.Errorf("wrote %q, want %q", out.String(), want)
		}
	}
}
