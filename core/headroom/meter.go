package headroom

import (
	"math"
	"time"
)

const (
	// Swing is the number of standard deviations of the number of urgent requests that is kept beyond their expected
	// number. With more, deferrable requests wait where nothing urgent comes, and meet a later burst.
	Swing = 2.0
	// OpenShare is the share of an engine's slots that stays open to deferrable requests.
	OpenShare = 0.125
	// FixedShare is the share of an engine's slots that is kept until urgent requests have been measured.
	FixedShare = 0.5
	// MinArrivals is the number of urgent arrivals of a service from which a plan is made by their rate.
	MinArrivals = 40
	// MinAge is how long arrivals must have been recorded for that.
	MinAge = 2 * time.Second
	// maxPeak bounds the scale by the peak, since a service with few requests has high ones.
	maxPeak = 4.0
	// slotTimeSmoothing is the weight of a new sample in a slot time.
	slotTimeSmoothing = 0.05
)

type (
	// Meter records the urgent requests of services. The zero value works.
	Meter struct{ services map[string]*service }

	// service is what is known of a service's urgent requests.
	service struct {
		arrivals arrivals
		slotTime time.Duration // mean over all models, 0 if unknown
		models   map[string]*model
	}

	// model is what is known of a model's urgent requests.
	model struct {
		arrivals arrivals
		slotTime time.Duration // mean, 0 if unknown
	}

	// Plan is the urgent work expected at each engine of a service.
	Plan struct {
		known    bool
		mean     map[string]float64 // requests at once in the mean, by server
		expected map[string]float64 // requests at once at the recent peak, by server
	}
)

// Arrived records the arrival of an urgent request.
func (m *Meter) Arrived(now time.Time, serviceName, modelName string) {
	s, v := m.model(serviceName, modelName)
	s.arrivals.add(now)
	v.arrivals.add(now)
}

// Ended records for how long an urgent request took its slot.
func (m *Meter) Ended(serviceName, modelName string, slotTime time.Duration) {
	s, v := m.model(serviceName, modelName)
	s.slotTime = smooth(s.slotTime, slotTime)
	v.slotTime = smooth(v.slotTime, slotTime)
}

// model returns the records of a service and of a model, which it creates if necessary.
func (m *Meter) model(serviceName, modelName string) (*service, *model) {
	if m.services == nil {
		m.services = map[string]*service{}
	}
	s := m.services[serviceName]
	if s == nil {
		s = &service{models: map[string]*model{}}
		m.services[serviceName] = s
	}
	v := s.models[modelName]
	if v == nil {
		v = &model{}
		s.models[modelName] = v
	}
	return s, v
}

// Plan spreads the expected urgent requests of a service over the servers that hold their models. It forgets models
// without a request within Window.
func (m *Meter) Plan(now time.Time, serviceName string, holders func(model string) []string) Plan {
	s := m.services[serviceName]
	if s == nil || s.arrivals.total(now) < MinArrivals || s.arrivals.age(now) < MinAge || s.slotTime == 0 {
		return Plan{}
	}
	p := Plan{known: true, mean: map[string]float64{}, expected: map[string]float64{}}
	peak := min(max(s.arrivals.peak(now)/s.arrivals.mean(now), 1), maxPeak)
	for name, v := range s.models {
		if v.arrivals.total(now) == 0 {
			delete(s.models, name)
			continue
		}
		slotTime := v.slotTime
		if slotTime == 0 {
			slotTime = s.slotTime
		}
		ids := holders(name)
		mean := v.arrivals.mean(now) * slotTime.Seconds() / float64(max(1, len(ids)))
		for _, id := range ids {
			p.mean[id] += mean
			p.expected[id] += mean * peak
		}
	}
	return p
}

// Kept returns how many of a server's slots a deferrable request must leave free, while urgent requests run at some.
func (p Plan) Kept(server string, slots, urgent int) float64 {
	kept := FixedShare * float64(slots)
	if p.known {
		kept = p.expected[server]
		kept += Swing * math.Sqrt(kept)
	}
	return max(0, min(kept, float64(slots)*(1-OpenShare))-float64(urgent))
}

// Left returns how many of a server's slots urgent requests leave to others in the mean, OpenShare at least.
func (p Plan) Left(server string, slots int) float64 {
	mean := FixedShare * float64(slots)
	if p.known {
		mean = p.mean[server]
	}
	return max(float64(slots)-mean, OpenShare*float64(slots))
}

// Known reports whether the plan is made by measured rates.
func (p Plan) Known() bool { return p.known }

// smooth returns a mean with a new sample.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(slotTimeSmoothing*float64(sample-mean))
}
