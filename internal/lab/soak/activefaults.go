package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// activeFaults are the faults in force at a stand-in. Its methods may be called from any goroutine.
type activeFaults struct {
	mu     sync.Mutex
	active []Fault
}

// begin puts a fault in force.
func (f *activeFaults) begin(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, fault)
}

// end ends one fault that is equal to the given one.
func (f *activeFaults) end(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.active, fault); i >= 0 {
		f.active = slices.Delete(f.active, i, i+1)
	}
}

// hits reports whether a fault of a kind is in force and, by a draw with its Share, affects what comes now.
func (f *activeFaults) hits(kind Kind) (fault Fault, hit bool) {
	fault, found := f.find(kind)
	return fault, found && rand.Float64() < fault.Share
}

// find returns the first fault of a kind that is in force.
func (f *activeFaults) find(kind Kind) (fault Fault, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.active, func(active Fault) bool { return active.Kind == kind })
	if i < 0 {
		return Fault{}, false
	}
	return f.active[i], true
}
