package throttle

// Throttle is the limit of one backend server. The zero value limits nothing.
type Throttle struct {
	limit Limit
}

// Learn takes in what the server said unless something newer is known. It returns whether
// that changes the limit.
func (t *Throttle) Learn(l Limit) bool {
	if !l.At.After(t.limit.At) || !l.Active && !t.limit.Active {
		return false
	}
	changed := l.Active != t.limit.Active || l.Rate != t.limit.Rate
	t.limit = l
	return changed
}

// Limit returns what the server said last.
func (t *Throttle) Limit() Limit { return t.limit }
