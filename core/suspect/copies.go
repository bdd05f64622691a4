package suspect

// UnprovenCopies records on which server unproven copies of a request run: copies that
// have not yet shown that they run without a crash. A node sends a further copy
// to the same server, so that concurrent copies can crash only that one. The zero
// value is ready to use. UnprovenCopies is not safe for concurrent use.
type UnprovenCopies struct {
	running map[Fingerprint]location
}

// location is the server of the first copy and the number of its running copies.
type location struct {
	server string
	copies int
}

// ServerOf returns the server on which unproven copies of fp run, and false if there
// are none.
func (c *UnprovenCopies) ServerOf(fp Fingerprint) (string, bool) {
	p, found := c.running[fp]
	return p.server, found
}

// Begin records that a copy was sent to server. A copy that had to be sent to
// another server than the one returned by ServerOf is not counted.
func (c *UnprovenCopies) Begin(fp Fingerprint, server string) {
	if c.running == nil {
		c.running = map[Fingerprint]location{}
	}
	p, found := c.running[fp]
	if found && p.server != server {
		return
	}
	c.running[fp] = location{server: server, copies: p.copies + 1}
}

// End records that a copy at server has ended.
func (c *UnprovenCopies) End(fp Fingerprint, server string) {
	p, found := c.running[fp]
	if !found || p.server != server {
		return
	}
	if p.copies--; p.copies <= 0 {
		delete(c.running, fp)
		return
	}
	c.running[fp] = p
}
