package speed

import (
	"math"
	"time"
)

const (
	// ReportTTL is how long the pace that a server reports holds.
	ReportTTL = 500 * time.Millisecond
	// NearlyFull is the fraction of a server's slots from which it counts as nearly full.
	NearlyFull = 0.8
	// MaxFactor bounds estimates and reported paces: beyond it a server does no work worth waiting for.
	MaxFactor = 100.0
	// maxLasting bounds the lasting factor and its inverse. Servers of one service differ by a factor of three.
	maxLasting = 8.0
	// minWeight is the weight of a sample in the lasting factor once there are many. The first samples have more.
	minWeight = 0.1
	// priorSamples is the number of samples at which the confidence is a half.
	priorSamples = 3
	// maxSamples bounds the number of samples that count for the confidence.
	maxSamples = 50
	// meanTime is the time over which reported paces are averaged: what passes within a second shows little of the next.
	meanTime = 5 * time.Second
	// halfLife is the time after which the confidence of the last sample has halved: a server may be moved to
	// another machine, or its neighbours may change for good.
	halfLife = 30 * time.Second
)

const (
	// None means that nothing is known of a server.
	None Source = "none"
	// Reported means that the server reported its pace.
	Reported Source = "reported"
	// Measured means that the times of the server's requests were measured.
	Measured Source = "measured"
	// Both means that both were.
	Both Source = "both"
)

type (
	// Source is what an estimate comes from.
	Source string

	// Estimate is by how much longer work takes at a server than at the usual one of its service.
	Estimate struct {
		Factor     float64       // positive, 1 for the usual speed
		Confidence float64       // of the lasting part, from 0 to 1
		Age        time.Duration // of the latest report or, if it has expired, sample that it comes from; -1 if there is none
		Source     Source
	}

	// Server is what is known of one incarnation of a server. The zero value knows nothing.
	Server struct {
		pace       float64 // as last reported, 0 if never
		reportedAt time.Time
		mean       lasting // of the reported paces, over meanTime
		usual      lasting // of samples with some slots free
		full       lasting // of samples with the server nearly full
	}

	// lasting is the average of the logarithms of samples, relative to other servers.
	lasting struct {
		log     float64
		samples float64
		at      time.Time // of the last sample
	}
)

// IsPlausible reports whether a factor or pace can be that of a server.
func IsPlausible(factor float64) bool {
	return factor >= 1/MaxFactor && factor <= MaxFactor // false for NaN
}

// WithReport returns the server with a pace that it reported, where 1 is the usual one. An implausible pace
// changes nothing.
func (s Server) WithReport(now time.Time, pace float64) Server {
	if IsPlausible(pace) && !now.Before(s.reportedAt) {
		s.mean = s.mean.withPace(now, math.Log(pace))
		s.pace, s.reportedAt = pace, now
	}
	return s
}

// Reports reports whether the server has reported its pace, to this node or to another one that reported its samples.
func (s Server) Reports() bool { return s.mean.samples > 0 || s.usual.samples > 0 }

// Estimate returns the estimate for a server with a fraction of its slots in use.
func (s Server) Estimate(now time.Time, fill float64) Estimate {
	log, confidence, at := s.lastingAt(now, fill)
	e := Estimate{Factor: math.Exp(log), Confidence: confidence, Age: -1, Source: None}
	if confidence > 0 {
		e.Source, e.Age = Measured, now.Sub(at)
	}
	if s.pace > 0 && now.Sub(s.reportedAt) < ReportTTL {
		e.Factor *= s.pace
		if e.Source = Reported; confidence > 0 {
			e.Source = Both
		}
		e.Age = now.Sub(s.reportedAt)
	} else if mean := s.mean.confidence(now); mean > 0 {
		e.Factor *= math.Exp(mean * s.mean.log)
		if e.Source == None {
			e.Source, e.Age = Reported, now.Sub(s.mean.at)
		}
	}
	e.Factor = min(max(e.Factor, 1/MaxFactor), MaxFactor)
	return e
}

// Lasting returns the estimate with the mean of the reported paces in place of the one of the moment, for decisions that
// outlast it.
func (s Server) Lasting(now time.Time) Estimate {
	s.pace = 0
	return s.Estimate(now, 0)
}

// lastingAt returns the logarithm of the lasting factor for a fill, drawn towards zero by its confidence, and when
// the last sample for it came. Without samples for a nearly full server those with free slots are used.
func (s Server) lastingAt(now time.Time, fill float64) (log, confidence float64, at time.Time) {
	usual := s.usual.confidence(now)
	log, confidence, at = usual*s.usual.log, usual, s.usual.at
	if fill < NearlyFull {
		return log, confidence, at
	}
	full := s.full.confidence(now)
	if full == 0 {
		return log, confidence, at
	}
	return full*s.full.log + (1-full)*log, max(full, usual), s.full.at
}

// withSample returns the server with the logarithm of a sample relative to other servers.
func (s Server) withSample(now time.Time, fill, log float64) Server {
	if fill >= NearlyFull {
		s.full = s.full.with(now, log)
	} else {
		s.usual = s.usual.with(now, log)
	}
	return s
}

// with returns the average with another sample.
func (l lasting) with(now time.Time, log float64) lasting {
	bound := math.Log(maxLasting)
	log = min(max(log, -bound), bound)
	l.samples = l.decayed(now)
	l.log += max(minWeight, 1/(l.samples+priorSamples)) * (log - l.log)
	l.samples = min(l.samples+1, maxSamples)
	l.at = now
	return l
}

// withPace returns the average with another reported pace, which counts for the time since the last one.
func (l lasting) withPace(now time.Time, log float64) lasting {
	weight := 1.0
	if l.samples > 0 {
		weight = max(-math.Expm1(-now.Sub(l.at).Seconds()/meanTime.Seconds()), 1/(l.samples+1))
	}
	l.log += weight * (log - l.log)
	l.samples = min(l.decayed(now)+1, maxSamples)
	l.at = now
	return l
}

// decayed returns the number of samples, less for their age.
func (l lasting) decayed(now time.Time) float64 {
	if l.samples == 0 {
		return 0
	}
	return l.samples * math.Exp2(-max(0, now.Sub(l.at).Seconds())/halfLife.Seconds())
}

// confidence returns how far the average is to be relied on, from 0 to 1.
func (l lasting) confidence(now time.Time) float64 {
	n := l.decayed(now)
	return n / (n + priorSamples)
}
