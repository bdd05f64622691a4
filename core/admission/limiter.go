package admission

import "time"

const (
	// processorTarget is the scheduling latency that is aimed at. A request waits for the processor about ten times until it is sent.
	processorTarget = 10 * time.Millisecond
	// linkTarget is the queueing delay of the link that is aimed at. A request crosses the link about three times until its answer begins.
	linkTarget = 25 * time.Millisecond
	// saturation is the probability of rejection from which clients are better served by other VMs, and relief the one below which they may return.
	saturation = 0.5
	relief     = 0.25
	// fullLink is the utilization from which the link is full. Headers of TCP, UDP and IP aren't counted in it.
	fullLink = 0.85
	// saturatedFor and relievedFor are by how many more observations must show saturation, or relief, than don't, until the VM turns new
	// clients away, or doesn't any more: 0.5 s and 2 s at intervals of 25 ms. The balancer notices a VM that isn't ready after two probes, a second apart.
	saturatedFor = 20
	relievedFor  = 80
	// maxBackoff is how often relievedFor may double, to 16 s, for a VM that is saturated again soon after its clients have returned. Each
	// steadyFor observations without saturation, 8 s, halve it again.
	maxBackoff = 3
	steadyFor  = 320
	// maxCloses bounds the closes that may be saved up, in admitted requests.
	maxCloses = 50
)

// Verdicts on a request.
const (
	Admit  Verdict = iota // it is served
	Close                 // its connection is closed before the request is read
	Reject                // it is read and rejected
)

type (
	// Verdict is what happens to a request.
	Verdict int

	// Limiter decides on requests. The zero value is ready to use and admits all.
	Limiter struct {
		processor Controller
		link      Controller
		closes    int // requests that may still be closed unread: one for each admitted one
		saturated bool
		evidence  int  // observations that speak for the other value of saturated, less those that don't
		relieved  bool // it was saturated recently
		backoff   int  // doublings of relievedFor
		steady    int  // observations without saturation since the last one, or since backoff changed
	}

	// Sample is what is observed of a VM at one time.
	Sample struct {
		Processor   time.Duration // how long work waits for the processor
		Link        time.Duration // how long packets wait at the link
		Utilization float64       // of the link, in the direction that carries more; zero if its rate isn't known
	}
)

// String returns the name of the verdict in metrics and logs.
func (v Verdict) String() string { return [...]string{"admit", "close", "reject"}[v] }

// Observe records a sample, each 25 ms.
func (l *Limiter) Observe(s Sample) {
	l.processor.Target, l.link.Target = processorTarget, linkTarget
	l.processor.Observe(s.Processor)
	l.link.Observe(s.Link)
	p := l.Probability()
	needed, changes := saturatedFor, p >= saturation || s.Utilization >= fullLink
	if l.saturated {
		needed, changes = relievedFor<<l.backoff, p < relief && s.Utilization < fullLink
	} else if l.steady++; l.steady >= steadyFor {
		l.relieved = l.backoff > 0
		l.backoff, l.steady = max(0, l.backoff-1), 0
	}
	if !changes {
		l.evidence = max(0, l.evidence-1)
		return
	}
	if l.evidence++; l.evidence < needed {
		return
	}
	if !l.saturated && l.relieved {
		l.backoff = min(l.backoff+1, maxBackoff)
	}
	l.relieved = l.saturated
	l.saturated = !l.saturated
	l.evidence, l.steady = 0, 0
}

// Saturated reports whether the VM should get no new connections: it rejects much of what it gets, or its link is full, and those that it
// rejects come back to it.
func (l *Limiter) Saturated() bool { return l.saturated }

// Probability returns the probability with which a request isn't admitted.
func (l *Limiter) Probability() float64 {
	return max(l.processor.Probability(), l.link.Probability())
}

// Decide returns the verdict on a request. r is a random number from 0 to below 1.
func (l *Limiter) Decide(r float64) Verdict {
	if r >= l.Probability() {
		l.closes = min(l.closes+1, maxCloses)
		return Admit
	}
	if l.closes > 0 {
		l.closes--
		return Close
	}
	return Reject
}
