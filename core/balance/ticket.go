package balance

import "time"

const (
	// prefillOverhead is the part of the time to the first byte that is not spent reading the
	// prompt: network latency and the first steps of the engine.
	prefillOverhead = 12 * time.Millisecond
	// minPrefillSample is how many tokens a prompt must have for its latency to be used as a sample
	// of the prefill time.
	minPrefillSample = 400
	// minPrefillTime and maxPrefillTime bound the learned relative prefill time. Models differ by a
	// factor of three to four.
	minPrefillTime, maxPrefillTime = 0.15, 3.0
	// prefillSmoothing is the weight of a new sample in a model's relative prefill time.
	prefillSmoothing = 0.1
	// minAvoid and maxAvoid bound how long a server is avoided after a failure.
	minAvoid = 400 * time.Millisecond
	maxAvoid = 5 * time.Second
	// fullAvoid is how long a server is avoided after it reported that it was full.
	fullAvoid = 400 * time.Millisecond
	// slownessSmoothing is the weight of a new sample in a server's learned slowness.
	slownessSmoothing = 0.2
	// maxSlowness bounds the learned slowness, so that one bad sample doesn't exclude a server.
	maxSlowness = 12.0
)

type (
	// Ticket tracks a request at a server from when it is sent until it ends.
	Ticket struct {
		server      *server
		model       string
		uncached    int  // prompt tokens that the server had not cached
		onlyPending bool // no other request was pending there
		tokens      int  // uncached, scaled to a relative prefill time of one
		sent        time.Time
		wait        time.Duration // estimated when the request was sent
		firstByte   bool
		done        bool
		granter     int64 // the granter that counts the request too, 0 for none
	}

	// Result is how a request at a server ended.
	Result int
)

const (
	// Succeeded means that the server answered.
	Succeeded Result = iota
	// Full means that the server reported that it was full.
	Full
	// ConnFailed means that the server could not be reached or that the connection failed.
	ConnFailed
	// Abandoned means that the client or the node abandoned the request.
	Abandoned
	// Failed means that the server itself answered with an error.
	Failed
)

// RecordSent records that a request is sent to a server. It returns nil if the server is no longer
// known; the other methods accept a nil ticket.
func (p *Picker) RecordSent(now time.Time, id string, r Request) *Ticket {
	s := p.servers[id]
	if s == nil {
		return nil
	}
	t := &Ticket{server: s, model: r.Model, uncached: s.uncachedTokens(now, r), onlyPending: s.count(now).Pending == 0,
		tokens: p.normalizedTokens(now, s, r), sent: now, wait: p.wait(now, s, r)}
	s.local.Pending++
	s.local.Tokens += t.tokens
	s.throttle.Record(now)
	p.delayUnscheduled(now, s)
	if len(s.segments) > maxSegments {
		clear(s.segments)
	}
	for _, segment := range r.Segments {
		s.segments[segmentKey(r, segment)] = now
	}
	return t
}

// FirstByte records that the first byte of an answer arrived.
func (p *Picker) FirstByte(now time.Time, t *Ticket) {
	if t == nil || t.firstByte || t.done {
		return
	}
	t.firstByte = true
	t.server.local.Pending--
	t.server.local.Tokens -= t.tokens
	t.server.local.Running++
	if t.granter != 0 {
		t.server.granted[t.granter]++
	}
	latency := now.Sub(t.sent)
	if t.server.speed.known {
		p.learnPrefill(now, latency, t)
		latency = time.Duration(float64(latency) / t.server.factor(now, t.server.count(now)))
	}
	t.server.learnLatency(latency, t)
	p.learnLatency(latency, t)
}

// learnLatency updates the relative prefill time of a model from a prompt that was read while
// no other was pending.
func (p *Picker) learnLatency(latency time.Duration, t *Ticket) {
	if t.model == "" || !t.onlyPending || t.uncached < minPrefillSample {
		return
	}
	atDefaultRate := float64(t.uncached) / defaultPrefillRate * float64(time.Millisecond)
	sample := min(max(float64(latency-prefillOverhead)/atDefaultRate, minPrefillTime), maxPrefillTime)
	p.prefillTime[t.model] = p.RelativePrefillTime(t.model) + prefillSmoothing*(sample-p.RelativePrefillTime(t.model))
}

// learnLatency updates the slowness, and the base latency of plain services, from the time to the
// first byte and its estimate.
func (s *server) learnLatency(latency time.Duration, t *Ticket) {
	if t.tokens == 0 && t.wait < 50*time.Millisecond {
		if s.baseLatency == 0 {
			s.baseLatency = latency
		}
		s.baseLatency += time.Duration(slownessSmoothing * float64(latency-s.baseLatency))
	}
	ratio := float64(latency) / float64(max(t.wait, 40*time.Millisecond))
	ratio = min(max(ratio, 0.5), maxSlowness)
	s.slowness += slownessSmoothing * (ratio*s.slowness - s.slowness)
	s.slowness = min(max(s.slowness, 0.5), maxSlowness)
}

// RelativePrefillTime returns how long an engine takes to read a model's prompts, relative to
// defaultPrefillRate. It is 1 until it has been learned.
func (p *Picker) RelativePrefillTime(model string) float64 {
	if v, ok := p.prefillTime[model]; ok {
		return v
	}
	return 1
}

// SetGranter records which granter granted the request and counts it until its end. It must be called
// before FirstByte.
func (t *Ticket) SetGranter(granter int64) {
	if t != nil {
		t.granter = granter
	}
}

// RecordDone records the end of a request at a server.
func (p *Picker) RecordDone(now time.Time, t *Ticket, r Result) {
	if t == nil || t.done {
		return
	}
	t.done = true
	s := t.server
	if t.firstByte {
		s.local.Running--
		s.removeGranted(t.granter)
	} else {
		s.local.Pending--
		s.local.Tokens -= t.tokens
	}
	switch r {
	case Succeeded:
		s.failures = 0
		s.avoidUntil = time.Time{}
	case ConnFailed, Failed:
		s.failures++
		if r == ConnFailed || s.failures > 1 {
			s.avoidUntil = now.Add(min(minAvoid<<min(s.failures-1, 8), maxAvoid))
		}
	case Full:
		s.avoidUntil = now.Add(p.avoidAfterRejection(s))
	}
}

// removeGranted removes a running request from the count of a granter.
func (s *server) removeGranted(granter int64) {
	if granter == 0 {
		return
	}
	if s.granted[granter]--; s.granted[granter] <= 0 {
		delete(s.granted, granter)
	}
}
