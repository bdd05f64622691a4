package balance

import (
	"math"
	"slices"
	"strings"
	"time"

	"guavapaddle/core/speed"
)

const (
	// fullReportTTL is how long a server counts as full after it reported so. Requests to plain services last for tens of
	// milliseconds.
	fullReportTTL = 500 * time.Millisecond
	// muchSlower is the factor from which on an engine gets fewer streams, since all of them get their tokens late, and
	// minSlotShare the least fraction of its slots that may be taken.
	muchSlower, minSlotShare = 2.0, 0.5
	// maxTokensFactor bounds how many more prompt tokens than usual may be unread at a fast engine.
	maxTokensFactor = 2.0
	// minComparedTokens is how many tokens a prompt must have for its time to be compared with that at other engines.
	minComparedTokens = minPrefillSample
	// minComparedTime is the least time per event of a stream that is compared. Events that arrive in one piece show the
	// network's delay.
	minComparedTime = time.Millisecond
	// minSamplesToReport is the number of new paces of a server from which on its estimate is reported.
	minSamplesToReport = 2
	// factorsTTL is how long the factor of a server is used for picks after its last report or sample.
	factorsTTL = 100 * time.Millisecond
)

// LoadReport is the load and pace that a server reported with an answer.
type LoadReport struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes on its machine now, 1 for the usual time
	// Event is the mean time between the events of the answer while the pace held, zero if unknown.
	Event time.Duration
}

// speedState is what the picker keeps for a server that reports its pace.
type speedState struct {
	speed.Server

	load       LoadReport
	loadAt     time.Time
	unreported float64 // paces since the speed was last reported

	// known reports whether the server reports its pace. The factors are those of the estimates with some slots free and for a
	// nearly full server, until a time: each pick needs those of all engines that it may choose from.
	known        bool
	factors      [2]float64
	factorsUntil time.Time
}

// set replaces what is known of the server.
func (s *speedState) set(v speed.Server) {
	*s = speedState{Server: v, load: s.load, loadAt: s.loadAt, unreported: s.unreported, known: v.Reports()}
}

// factor returns the factor of the estimate for a fill.
func (s *speedState) factor(now time.Time, fill float64) float64 {
	if !now.Before(s.factorsUntil) {
		s.factors = [2]float64{s.Estimate(now, 0).Factor, s.Estimate(now, speed.NearlyFull).Factor}
		s.factorsUntil = now.Add(factorsTTL)
	}
	if fill < speed.NearlyFull {
		return s.factors[0]
	}
	return s.factors[1]
}

// RecordLoad records the load and pace that a server reported, before FirstByte for the same answer.
func (p *Picker) RecordLoad(now time.Time, id string, l LoadReport) {
	s := p.servers[id]
	if s == nil || !speed.IsPlausible(l.Pace) {
		return
	}
	s.speed.set(s.speed.WithReport(now, l.Pace))
	s.speed.unreported++
	s.speed.load, s.speed.loadAt = l, now
}

// RecordEvents records the time between the events of an answer.
func (p *Picker) RecordEvents(now time.Time, t *Ticket, l LoadReport) {
	if t == nil || t.model == "" || l.Event < minComparedTime {
		return
	}
	p.learnSpeed(now, t.server, speed.Sample{Work: speed.Work{Service: t.server.Service, Model: t.model, Kind: speed.Decode},
		Unit: l.Event.Seconds(), Pace: l.Pace, Fill: float64(l.Running) / float64(max(1, t.server.Slots))})
}

// learnPrefill compares the time to the first byte of a prompt that was read alone.
func (p *Picker) learnPrefill(now time.Time, latency time.Duration, t *Ticket) {
	s := t.server
	if t.model == "" || !t.onlyPending || t.uncached < minComparedTokens || now.Sub(s.speed.loadAt) >= speed.ReportTTL {
		return
	}
	p.learnSpeed(now, s, speed.Sample{Work: speed.Work{Service: s.Service, Model: t.model, Kind: speed.Prefill},
		Unit: (latency - prefillOverhead).Seconds() / float64(t.uncached), Pace: s.speed.load.Pace, Fill: s.fill(s.count(now))})
}

// learnSpeed adds a sample to a server's lasting speed.
func (p *Picker) learnSpeed(now time.Time, s *server, x speed.Sample) {
	x.Server = s.ID
	s.speed.set(p.baselines.Learn(now, s.speed.Server, x))
}

// factor returns by how much longer than estimated work takes at a server with the given requests.
func (s *server) factor(now time.Time, n Count) float64 {
	if !s.speed.known {
		return s.slowness
	}
	return s.speed.factor(now, s.fill(n))
}

// fill returns the fraction of a server's slots in use.
func (s *server) fill(n Count) float64 {
	return float64(n.Pending+n.Running) / float64(max(1, s.Slots))
}

// scaleBounds returns the bounds for an engine at which work takes longer by a factor: unread prompts delay the tokens of
// all its streams by the same time as at the usual engine.
func (s *server) scaleBounds(b Bounds, factor float64) Bounds {
	if !s.speed.known {
		return b
	}
	b.Tokens = int(float64(b.Tokens) * min(1/factor, maxTokensFactor))
	if factor > muchSlower {
		b.SlotFraction *= max(minSlotShare, muchSlower/factor)
	}
	return b
}

// isFull reports whether a server that reports its pace was full by its last report.
func (s *server) isFull(now time.Time) bool {
	return s.speed.known && now.Sub(s.speed.loadAt) < fullReportTTL && s.speed.load.Running >= max(1, s.Slots)
}

// withoutFull returns the servers that aren't full by their last report, or all if each is. It reorders the list.
func withoutFull(now time.Time, list []*server) []*server {
	n := 0
	for i, s := range list {
		if !s.isFull(now) {
			list[i], list[n] = list[n], list[i]
			n++
		}
	}
	if n == 0 {
		return list
	}
	return list[:n]
}

// Speed returns the estimate of a server's speed with the requests that it has now, and false if it is not known or
// doesn't report its pace.
func (p *Picker) Speed(now time.Time, id string) (speed.Estimate, bool) {
	s := p.servers[id]
	if s == nil || !s.speed.known {
		return speed.Estimate{}, false
	}
	return s.speed.Estimate(now, s.fill(s.count(now))), true
}

// Speeds returns the lasting speed of the servers that report their pace, relative to the usual one and more than 1 if they
// are faster, by ID.
func (p *Picker) Speeds(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for id, s := range p.servers {
		if s.speed.known {
			out[id] = 1 / s.speed.Lasting(now).Factor
		}
	}
	return out
}

// SpeedReports returns reports of up to limit servers, those with the most paces since they were last reported to the
// granter. Another granter gets all that is known.
func (p *Picker) SpeedReports(now time.Time, granter int64, limit int) []speed.Report {
	var due []*server
	for _, s := range p.servers {
		if granter != p.speedGranter {
			s.speed.unreported = s.speed.Samples(now)
		}
		if s.speed.unreported >= minSamplesToReport {
			due = append(due, s)
		}
	}
	p.speedGranter = granter
	slices.SortFunc(due, func(a, b *server) int {
		if a.speed.unreported != b.speed.unreported {
			return int(math.Copysign(1, b.speed.unreported-a.speed.unreported))
		}
		return strings.Compare(a.ID, b.ID)
	})
	var out []speed.Report
	for _, s := range due[:min(limit, len(due))] {
		out = append(out, s.speed.Report(now, s.ID, s.StartedAtMS, s.speed.unreported))
		s.speed.unreported = 0
	}
	return out
}

// MergeSpeeds merges the reports of other nodes. Those of other incarnations are ignored.
func (p *Picker) MergeSpeeds(now time.Time, list []speed.Report) {
	for _, r := range list {
		if s := p.servers[r.Server]; s != nil && s.StartedAtMS == r.Born {
			s.speed.set(s.speed.Merge(now, r))
		}
	}
}

// AdoptSpeeds takes over what another picker knows of the speed of the servers that both have.
func (p *Picker) AdoptSpeeds(o *Picker) {
	for id, s := range p.servers {
		if from := o.servers[id]; from != nil && from.StartedAtMS == s.StartedAtMS {
			s.speed = from.speed
		}
	}
	p.baselines = o.baselines
}
