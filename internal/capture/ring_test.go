package capture

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/internal/settings"
)

// An operator dumps the ring after a long run. The dump is bounded in size and can be replayed without the rest of the log.
// A replay of the whole log skips the repeated records.
func TestRingDump(t *testing.T) {
	c := newWorkload(t, settings.Capture{}, 1).run(9000)
	if c.stderr.Len() < 2*ringBytes {
		t.Fatalf("only %d bytes were written", c.stderr.Len())
	}
	if c.ring.used > ringBytes || c.ring.used < ringBytes/2 || len(c.ring.buf) != ringBytes {
		t.Errorf("the ring holds %d bytes of %d", c.ring.used, len(c.ring.buf))
	}
	all := bytes.Clone(c.stderr.Bytes())
	c.stderr.Reset()
	c.Dump()
	res, differences, warned, err := replayText(t, "ring.log", c.stderr.Bytes())
	if err != nil || differences != "" || res.Compared == 0 || !strings.Contains(warned, "could not be compared: no head precedes them") {
		t.Errorf("%+v, %v, differences %q, warned %q", res, err, differences, warned)
	}
	c.run(100)
	res, differences, warned, err = replayText(t, "node.log", append(all, c.stderr.Bytes()...))
	if err != nil || differences+warned != "" || res.Compared != int(c.seq) {
		t.Errorf("log and dump: %+v of %d, %v, differences %q, warned %q", res, c.seq, err, differences, warned)
	}
}

// Frames of many sizes, including some that are too large, wrap around the end of the ring at any offset. The ring always
// holds the newest frames.
func TestRingWrapsAtAnyOffset(t *testing.T) {
	r, rng := newRing(100), rand.New(rand.NewPCG(1, 1))
	var sent []string
	for range 2000 {
		frame := binary.BigEndian.AppendUint32(nil, 0)
		frame = append(frame, bytes.Repeat([]byte{byte(len(sent))}, 1+rng.IntN(110))...)
		binary.BigEndian.PutUint32(frame, uint32(len(frame)-prefixBytes))
		r.push(frame)
		if len(frame) <= 100 {
			sent = append(sent, string(frame))
		}
		var got []string
		r.each(func(frame []byte) { got = append(got, string(frame)) })
		if len(sent) == 0 {
			continue
		}
		if len(got) == 0 || strings.Join(got, "") != strings.Join(sent[len(sent)-len(got):], "") || r.used > 100 {
			t.Fatalf("the %d frames in the ring are not the newest", len(got))
		}
	}
}

// A smaller ring must keep the newest frames of the larger one, the head among them: without it, a dump can't be replayed.
func TestLimitRingKeepsNewestFrames(t *testing.T) {
	w := &Writer{ring: newRing(ringBytes)}
	frame := make([]byte, prefixBytes+1)
	frame[prefixBytes-1] = 1 // the length of the rest
	for i := range 10 {
		frame[prefixBytes] = byte(i)
		w.ring.push(frame)
	}
	w.LimitRing(3 * len(frame))
	var kept []byte
	w.ring.each(func(frame []byte) { kept = append(kept, frame[prefixBytes]) })
	if string(kept) != "\x07\x08\x09" {
		t.Errorf("kept %v, want the frames 7, 8 and 9", kept)
	}
}
