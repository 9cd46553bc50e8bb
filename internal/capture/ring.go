package capture

import "encoding/binary"

// ring is a ring buffer that keeps as many of the newest frames as fit.
type ring struct {
	buf   []byte
	start int // offset of the oldest frame
	used  int // bytes in use, from start; they wrap around the end of buf
}

func newRing(size int) *ring { return &ring{buf: make([]byte, size)} }

// push adds a frame and drops as many of the oldest frames as necessary. A frame larger than the ring is not stored.
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

// frameBytes returns the size of the frame at an offset, including its length prefix.
func (r *ring) frameBytes(offset int) int {
	var length [prefixBytes]byte
	copy(length[copy(length[:], r.buf[offset:]):], r.buf)
	return prefixBytes + int(binary.BigEndian.Uint32(length[:]))
}

// each calls visit for each frame, oldest first. The frame is valid until visit returns.
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
