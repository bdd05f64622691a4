package caller

// OnAccept sets a function that is called for each connection while the engine adds it. It
// must be called before Listen.
func OnAccept(s *Server, f func()) { s.accepted = f }
