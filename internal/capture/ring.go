package capture

import "encoding/binary"

// ring keeps the newest frames in memory, as many as fit.
type ring struct {
	buf   []byte
	start int // of the oldest frame
	used  int // bytes from start on; they wrap around the end of buf
}

func newRing(size int) *ring { return &ring{buf: make([]byte, size)} }

// push adds a frame and drops the oldest ones as far as needed. A frame larger than the ring is left out.
func (r *ring) push(frame []byte) {
	if len(frame) > len(r.buf) {
		return
	}
	for r.used+len(frame) > len(r.buf) {
		n := r.frameBytes(r.start)
		r.start = (r.start + n) % len(r.buf)
		r.used -= n
	}
	end := (r.start + r.used) % len(r.buf)
	copy(r.buf, frame[copy(r.buf[end:], frame):])
	r.used += len(frame)
}

// frameBytes is the size of the frame at an offset, with its length prefix.
func (r *ring) frameBytes(offset int) int {
	var length [prefixBytes]byte
	copy(length[copy(length[:], r.buf[offset:]):], r.buf)
	return prefixBytes + int(binary.BigEndian.Uint32(length[:]))
}

// each calls visit with each frame, the oldest first. A frame is valid until visit returns.
func (r *ring) each(visit func(frame []byte)) {
	var frame []byte
	for offset, remaining := r.start, r.used; remaining > 0; {
		n := r.frameBytes(offset)
		frame = append(frame[:0], r.buf[offset:min(offset+n, len(r.buf))]...)
		frame = append(frame, r.buf[:n-len(frame)]...)
		visit(frame)
		offset, remaining = (offset+n)%len(r.buf), remaining-n
	}
}
