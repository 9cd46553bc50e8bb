package discovery

// Addr is the address that is polled.
func (s *Source) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// SetAddress has another discovery polled, at once: the old one may be about to close, and the node counts as notified
// soon of what the new one has. The endpoints held stay, and streams of the old address are read, until the list of the
// new one is there; versions of the old one are not asked for at the new one (see baseVersion).
func (s *Source) SetAddress(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.addr {
		return
	}
	s.addr = addr
	s.tracker.DiscoveryChanged(s.now())
	s.notifyLease()
	s.log.Info("discovery address changed", "addr", addr, "version", s.Version())
	signal(s.addressChanges)
}
