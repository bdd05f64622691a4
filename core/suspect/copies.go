package suspect

// Copies tells where copies of the same request run that have not shown yet
// that they can run. A node sends a further copy to the same server, so that
// copies sent at the same time can crash that server only. The zero value is
// ready. Its owner guards it against concurrent use.
type Copies struct {
	running map[Fingerprint]place
}

// place is where the first copies run.
type place struct {
	server string
	copies int
}

// Where returns the server at which copies of fp run that are not proven.
func (c *Copies) Where(fp Fingerprint) (string, bool) {
	p, found := c.running[fp]
	return p.server, found
}

// Begin notes that a copy was sent to server. A copy that had to go elsewhere
// than Where is not counted.
func (c *Copies) Begin(fp Fingerprint, server string) {
	if c.running == nil {
		c.running = map[Fingerprint]place{}
	}
	p, found := c.running[fp]
	if found && p.server != server {
		return
	}
	c.running[fp] = place{server: server, copies: p.copies + 1}
}

// End notes that a copy at server has ended.
func (c *Copies) End(fp Fingerprint, server string) {
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
