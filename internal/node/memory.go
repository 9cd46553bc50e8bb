package node

import "sync"

// Memory that a node needs whatever its clients send, in bytes. What is left is for heads, bodies and responses.
const (
	// programMemory is for the program: its code, the runtime, settings, the endpoint list, metrics and captures.
	programMemory = 18 << 20

	// captureMemoryDivisor limits the ring buffer of captures to a part of the memory.
	captureMemoryDivisor = 64

	// connectionMemory is for a client connection with one open request: buffers and goroutines of net/http, and those of
	// the connection to the server.
	connectionMemory = 44 << 10

	// idleConnectionMemory is for a client connection without an open request.
	idleConnectionMemory = 20 << 10

	// idleUpstreamMemory is for an idle connection to a server.
	idleUpstreamMemory = 8 << 10

	// minMemoryShares is the lowest part of the memory for heads, bodies and responses, as a divisor.
	minMemoryShares = 10

	// minIdleShares is the lowest number of connections without an open request, as a part of those with one, as a divisor.
	minIdleShares = 16
)

// clientsWithRequests is the part of the descriptors that clients hold for requests at most, as a divisor. It is stated by the
// platform.
const clientsWithRequests = 3

// Parts of the memory left (variableMemory) for each use, as divisors. Idle connections to servers use what the others leave: they
// are closed at once when a request needs a connection.
const (
	idleUpstreamDivisor      = 4
	headMemoryDivisor        = 3
	requestBodyMemoryDivisor = 3
	responseMemoryDivisor    = 3
)

// variableMemory returns how many bytes heads, bodies and responses together may use on a node with a limit on memory, in
// bytes, and on descriptors.
func variableMemory(memory, descriptors int) int {
	return max(memory-programMemory-descriptors/clientsWithRequests*connectionMemory, memory/minMemoryShares)
}

// maxConnections returns how many client connections a node accepts at once with a limit on memory, in bytes, if its
// descriptors allow available. It is never less than the number of clients with requests.
func maxConnections(memory, descriptors, available int) int {
	withRequests := descriptors / clientsWithRequests
	idle := (memory - programMemory - withRequests*connectionMemory) / idleConnectionMemory
	return min(available, withRequests+max(idle, withRequests/minIdleShares))
}

// maxIdleUpstreamConns returns how many idle connections to servers a node keeps, of maxConns connections to servers (memory 0: no
// limit is set).
func maxIdleUpstreamConns(memory, maxConns int) int {
	if memory == 0 {
		return maxConns
	}
	return min(memory/idleUpstreamDivisor/idleUpstreamMemory, maxConns)
}

// bufferLimit returns how many bytes of one body or response are buffered if up to maxConcurrent exist at once. It is at
// most maxBuffered, and all of them together use at most a fraction of the node's variable memory (0: no memory limit is set).
// Larger bodies are streamed, so no request waits or is rejected for lack of memory.
func bufferLimit(memory, memoryDivisor, maxConcurrent int) int {
	if memory == 0 {
		return maxBuffered
	}
	return min(max(memory/memoryDivisor/max(maxConcurrent, 1), minBuffered), maxBuffered)
}

// What a request head costs while its request is open, in bytes. net/http keeps each field in a map.
const (
	headMemoryPerByte = 3 // the head as it was received, as it is kept, and as it is sent on
	headMemoryPerLine = 256
)

// headMemory returns what a head costs beyond what every connection may use (connectionMemory).
func headMemory(bytes, lines int) int {
	const freeBytes, freeLines = 2 << 10, 32
	return max(bytes-freeBytes, 0)*headMemoryPerByte + max(lines-freeLines, 0)*headMemoryPerLine
}

// memoryPool is an amount of memory that connections share.
type memoryPool struct {
	mu    sync.Mutex
	bytes int // that are not reserved
}

// memoryReservation is the part of a memoryPool that one connection has reserved. Its methods may be called concurrently.
type memoryReservation struct {
	pool     *memoryPool // nil: there is no limit
	held     int         // guarded by pool.mu
	released bool        // guarded by pool.mu; after the connection's close, nothing can be reserved
}

// raiseTo reserves memory so that the reservation is at least size bytes. It returns false, and changes nothing, if the pool
// has not enough left.
func (r *memoryReservation) raiseTo(size int) bool {
	if r.pool == nil || size <= 0 {
		return true
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	more := size - r.held
	if more <= 0 {
		return true
	}
	if r.released || more > r.pool.bytes {
		return false
	}
	r.held += more
	r.pool.bytes -= more
	return true
}

// release returns the reserved memory to the pool. If final is true, nothing can be reserved afterwards.
func (r *memoryReservation) release(final bool) {
	if r.pool == nil {
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.bytes += r.held
	r.held = 0
	r.released = r.released || final
}
