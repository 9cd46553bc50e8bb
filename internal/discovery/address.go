package discovery

// Addr returns the address that is polled.
func (s *Source) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// SetAddress switches to another discovery, which is polled immediately: the old discovery may be about to shut down, and
// the node soon counts as notified of everything that the new discovery has announced. Until a list has arrived from the new
// address, the node keeps its endpoints and reads the streams of the old address. The first poll of the new address does
// not resume from a version of the old one (see baseVersion).
func (s *Source) SetAddress(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.addr {
		return
	}
	s.addr = addr
	s.tracker.AddressChanged(s.now())
	s.notifyLease()
	s.log.Info("discovery address changed", "addr", addr, "version", s.Version())
	signal(s.addressChanges)
}
