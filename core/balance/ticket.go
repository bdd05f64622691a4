package balance

import "time"

const (
	// paceFirst is the time from a send to the first byte beside the reading of
	// the prompt: the way, and the first steps of the engine.
	paceFirst = 12 * time.Millisecond
	// paceTokens is how long a prompt must be for its time to tell the pace.
	paceTokens = 400
	// paceLeast and paceMost bound what is learned; models differ by a factor of
	// three to four.
	paceLeast, paceMost = 0.15, 3.0
	// paceSmoothing is the part of a new sample in a model's learned pace.
	paceSmoothing = 0.1
	// avoidFirst and avoidMost bound how long a failed server is avoided.
	avoidFirst = 400 * time.Millisecond
	avoidMost  = 5 * time.Second
	// fullAvoid is how long a server is avoided that had no room.
	fullAvoid = 400 * time.Millisecond
	// smoothing is the part of a new sample in a server's learned slowness.
	smoothing = 0.2
	// slownessMost bounds the learned slowness, so that one bad sample doesn't
	// shut a server out.
	slownessMost = 12.0
)

type (
	// Ticket is a request that is at a server.
	Ticket struct {
		server *server
		model  string
		read   int  // prompt tokens that the server has to read
		alone  bool // nothing else was unread there
		tokens int  // read, in tokens of a model of pace one
		sent   time.Time
		wait   time.Duration
		first  bool
		done   bool
		by     int64 // who granted it and counts it too, 0 for nobody
	}

	// Result tells how a request at a server ended.
	Result int
)

const (
	// Good means that the server answered.
	Good Result = iota
	// Full means that the server said that it had no room.
	Full
	// Broken means that the server could not be reached or broke off.
	Broken
	// Dropped means that the client or the node gave the request up.
	Dropped
	// Failed means that the server answered with an error of its own.
	Failed
)

// Sent notes that a request goes to a server. It returns nil if the server is
// gone, which the other methods take.
func (p *Picture) Sent(now time.Time, id string, r Request) *Ticket {
	s := p.servers[id]
	if s == nil {
		return nil
	}
	t := &Ticket{server: s, model: r.Model, read: s.missing(now, r), alone: s.count(now).Pending == 0,
		tokens: p.work(now, s, r), sent: now, wait: p.wait(now, s, r)}
	s.own.Pending++
	s.own.Tokens += t.tokens
	s.throttle.Take(now)
	if len(s.parts) > partsMost {
		clear(s.parts)
	}
	for _, part := range r.Parts {
		s.parts[partKey(r, part)] = now
	}
	return t
}

// First notes the first byte of an answer.
func (p *Picture) First(now time.Time, t *Ticket) {
	if t == nil || t.first || t.done {
		return
	}
	t.first = true
	t.server.own.Pending--
	t.server.own.Tokens -= t.tokens
	t.server.own.Running++
	if t.by != 0 {
		t.server.granted[t.by]++
	}
	t.server.learn(now.Sub(t.sent), t)
	p.learn(now.Sub(t.sent), t)
}

// learn takes the pace of a model from a prompt that was read alone.
func (p *Picture) learn(took time.Duration, t *Ticket) {
	if t.model == "" || !t.alone || t.read < paceTokens {
		return
	}
	one := float64(t.read) / promptRate * float64(time.Millisecond)
	sample := min(max(float64(took-paceFirst)/one, paceLeast), paceMost)
	p.pace[t.model] = p.Pace(t.model) + paceSmoothing*(sample-p.Pace(t.model))
}

// learn compares the time to the first byte with the estimate.
func (s *server) learn(took time.Duration, t *Ticket) {
	if t.tokens == 0 && t.wait < 50*time.Millisecond {
		if s.base == 0 {
			s.base = took
		}
		s.base += time.Duration(smoothing * float64(took-s.base))
	}
	ratio := float64(took) / float64(max(t.wait, 40*time.Millisecond))
	ratio = min(max(ratio, 0.5), slownessMost)
	s.slowness += smoothing * (ratio*s.slowness - s.slowness)
	s.slowness = min(max(s.slowness, 0.5), slownessMost)
}

// Pace returns how long a model's prompts take to be read, relative to
// promptRate; 1 before it was learned.
func (p *Picture) Pace(model string) float64 {
	if v, ok := p.pace[model]; ok {
		return v
	}
	return 1
}

// Granted notes who granted a request's place and counts it until its end. It
// must be called before First.
func (t *Ticket) Granted(by int64) {
	if t != nil {
		t.by = by
	}
}

// Done notes the end of a request at a server.
func (p *Picture) Done(now time.Time, t *Ticket, r Result) {
	if t == nil || t.done {
		return
	}
	t.done = true
	s := t.server
	if t.first {
		s.own.Running--
		s.ungrant(t.by)
	} else {
		s.own.Pending--
		s.own.Tokens -= t.tokens
	}
	switch r {
	case Good:
		s.failures = 0
		s.avoid = time.Time{}
	case Broken, Failed:
		s.failures++
		if r == Broken || s.failures > 1 {
			s.avoid = now.Add(min(avoidFirst<<min(s.failures-1, 8), avoidMost))
		}
	case Full:
		s.avoid = now.Add(fullAvoid)
	}
}

// ungrant takes a running request off those that a granter counts.
func (s *server) ungrant(by int64) {
	if by == 0 {
		return
	}
	if s.granted[by]--; s.granted[by] <= 0 {
		delete(s.granted, by)
	}
}
