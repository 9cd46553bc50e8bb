package discovery

// Addr is the address that is polled.
func (s *Source) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// SetAddress has another discovery polled, at once: the old one may be about to close, and the node counts as notified
// soon of what the new one has. Until a list has come from the new one, the endpoints held stay and streams of the old
// address are read. The first poll of the new address asks for no version of the old one (see baseVersion).
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
