package acceptor

// IsServing reports whether Serve has taken over its listener.
func (a *Acceptor) IsServing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.listener != nil
}
