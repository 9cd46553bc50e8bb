package capture

import "encoding/binary"

// ring keeps the newest records, as many as fit.
type ring struct {
	buf         []byte
	start, used int
}

func newRing(size int) *ring { return &ring{buf: make([]byte, size)} }

// push adds a record; the oldest make room. One that can't fit is left out.
func (r *ring) push(frame []byte) {
	if len(frame) > len(r.buf) {
		return
	}
	for r.used+len(frame) > len(r.buf) {
		n := r.size(r.start)
		r.start = (r.start + n) % len(r.buf)
		r.used -= n
	}
	at := (r.start + r.used) % len(r.buf)
	copy(r.buf, frame[copy(r.buf[at:], frame):])
	r.used += len(frame)
}

// size is that of the record at a place.
func (r *ring) size(at int) int {
	var length [prefixLen]byte
	copy(length[copy(length[:], r.buf[at:]):], r.buf)
	return prefixLen + int(binary.BigEndian.Uint32(length[:]))
}

// each hands out the records, the oldest first. A record is good until the next.
func (r *ring) each(f func(frame []byte)) {
	var whole []byte
	for at, left := r.start, r.used; left > 0; {
		n := r.size(at)
		whole = append(whole[:0], r.buf[at:min(at+n, len(r.buf))]...)
		whole = append(whole, r.buf[:n-len(whole)]...)
		f(whole)
		at, left = (at+n)%len(r.buf), left-n
	}
}
