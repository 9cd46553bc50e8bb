package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// activeFaults holds the active faults of a stand-in. It is safe for concurrent use.
type activeFaults struct {
	mu     sync.Mutex
	active []Fault
}

// begin activates a fault.
func (f *activeFaults) begin(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, fault)
}

// end deactivates one fault that is equal to the given one.
func (f *activeFaults) end(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.active, fault); i >= 0 {
		f.active = slices.Delete(f.active, i, i+1)
	}
}

// hits reports whether a fault of a kind is active and affects the current call, request or answer, which is drawn at
// random with the probability Share.
func (f *activeFaults) hits(kind Kind) (fault Fault, hit bool) {
	fault, found := f.find(kind)
	return fault, found && rand.Float64() < fault.Share
}

// find returns the first active fault of a kind.
func (f *activeFaults) find(kind Kind) (fault Fault, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.active, func(active Fault) bool { return active.Kind == kind })
	if i < 0 {
		return Fault{}, false
	}
	return f.active[i], true
}
