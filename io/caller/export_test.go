package caller

// OnAccept sets what is called for each connection while the engine adds it.
// It is called before Listen.
func OnAccept(s *Server, f func()) { s.accepted = f }
