package speed

import (
	"math"
	"time"
)

const (
	// reportWeight is the weight of a sample of another node beside one of this node: it was compared with other
	// samples.
	reportWeight = 0.5
	// enoughSamples is the number of own samples from which on those of other nodes aren't used. A granter gets the
	// same ones from its requests.
	enoughSamples = 10
	// maxReportAge is the age from which on reports aren't used.
	maxReportAge = 4 * halfLife
)

// Report is what a node has learned of a server since it last reported it.
type Report struct {
	Server  string
	Born    int64   // start of the incarnation in Unix milliseconds, 0 if unknown
	Log     float64 // natural logarithm of the lasting factor
	Samples float64 // number of samples for it
	Pace    float64 // natural logarithm of the mean pace
	Paces   float64 // number of paces for it
	Age     time.Duration
}

// Samples returns how much is known of the lasting factor with some slots free, and of the mean pace, in numbers of samples.
func (s Server) Samples(now time.Time) float64 { return s.usual.decayed(now) + s.mean.decayed(now) }

// Report returns a report of up to a number of samples and paces.
func (s Server) Report(now time.Time, server string, born int64, samples float64) Report {
	return Report{Server: server, Born: born, Log: s.usual.log, Samples: min(samples, s.usual.decayed(now)),
		Pace: s.mean.log, Paces: min(samples, s.mean.decayed(now))}
}

// IsValid reports whether a report of another node can be used.
func (r Report) IsValid() bool {
	return math.Abs(r.Log) <= math.Log(maxLasting) && math.Abs(r.Pace) <= math.Log(MaxFactor) && isCount(r.Samples) && isCount(r.Paces) &&
		r.Samples+r.Paces > 0 && r.Age >= 0 && r.Age <= maxReportAge
}

// isCount reports whether a number of samples can be that of a report.
func isCount(samples float64) bool { return samples >= 0 && samples <= maxSamples }

// Merge returns the server with a report of another node. It has no effect on what this node has enough samples of, nor if the
// report is invalid.
func (s Server) Merge(now time.Time, r Report) Server {
	if !r.IsValid() {
		return s
	}
	s.usual = s.usual.merged(now, lasting{r.Log, r.Samples, now.Add(-r.Age)})
	s.mean = s.mean.merged(now, lasting{r.Pace, r.Paces, now.Add(-r.Age)})
	return s
}

// merged returns the average with one of another node.
func (l lasting) merged(now time.Time, o lasting) lasting {
	own, others := l.decayed(now), reportWeight*o.decayed(now)
	if own >= enoughSamples || others == 0 {
		return l
	}
	return lasting{(own*l.log + others*o.log) / (own + others), min(own+others, enoughSamples), now}
}
