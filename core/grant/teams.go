package grant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// teamFast is the time constant of a team's present rate of requests.
	teamFast = time.Second
	// teamUsual is the time constant of a team's usual rate.
	teamUsual = 20 * time.Second
	// teamMinAge is how long a team must have sent requests, and teamMinCount how many, until its usual rate is known.
	teamMinAge   = 4 * time.Second
	teamMinCount = 20
	// excessWeight is the weight of requests beyond its usual rate in a team's usual rate. With a weight of 0 a rate that
	// was estimated too low would take long to rise.
	excessWeight = 0.1
	// teamLimit is the factor of its usual rate beyond which a team's requests wait behind those of others, if others
	// don't send more than usual too.
	teamLimit = 1.5
	// teamSwing is the number of requests, in square roots of a second's usual number, that a team may send ahead.
	teamSwing = 3.0
	// teamMinAhead is the number of requests that any team may send ahead.
	teamMinAhead = 2.0
	// forgottenRate is the usual rate, per second, below which a team is forgotten.
	forgottenRate = 0.01
	// growthPeriod is how long the growth of all teams is used.
	growthPeriod = 200 * time.Millisecond
)

type (
	// teams tells which requests exceed the usual rate of their team, relative to the growth of all teams' rates.
	teams struct {
		teams    map[string]*teamRates
		growth   float64 // present rates relative to usual ones, the median of all teams
		growthAt time.Time
	}

	// growth is the present rate of a team relative to its usual one.
	growth struct{ ratio, weight float64 }

	// teamRates is what is known of a team.
	teamRates struct {
		since       time.Time
		count       int       // number of requests
		at          time.Time // of the last update of the rates
		refilledAt  time.Time // when requests were last added to left
		fast, usual float64   // requests per second, not corrected for their age
		left        float64   // requests that the team may send now without exceeding its share, unlimited while its usual rate is unknown
	}
)

// arrived records a request of a team and reports whether it exceeds the team's share.
func (t *teams) arrived(now time.Time, name string) bool {
	if name == "" {
		return false
	}
	if t.teams == nil {
		t.teams = map[string]*teamRates{}
	}
	v := t.teams[name]
	if v == nil {
		v = &teamRates{since: now, at: now, refilledAt: now, left: math.Inf(1)}
		t.teams[name] = v
	}
	if now.Sub(t.growthAt) >= growthPeriod {
		t.updateGrowth(now)
	}
	v.decay(now)
	if dt := now.Sub(v.refilledAt); dt > 0 {
		v.refill(now, dt, max(1, t.growth))
	}
	v.count++
	v.fast += 1 / teamFast.Seconds()
	if v.left < 1 {
		v.usual += excessWeight / teamUsual.Seconds()
		return true
	}
	v.left--
	v.usual += 1 / teamUsual.Seconds()
	return false
}

// refill adds the requests that the team may send in a period, if its usual rate is known.
func (v *teamRates) refill(now time.Time, period time.Duration, growth float64) {
	v.refilledAt = now
	if usual, known := v.usualRate(now); known {
		allowed := teamLimit * usual * growth
		v.left = min(v.left+allowed*period.Seconds(), teamMinAhead+allowed+teamSwing*math.Sqrt(allowed))
	}
}

// updateGrowth derives the growth of the teams' rates, the median weighted by how exactly each is known, so that a few
// teams don't raise the shares of all. It forgets teams that have sent nothing for a while.
func (t *teams) updateGrowth(now time.Time) {
	var list []growth
	total := 0.0
	for name, v := range t.teams {
		v.decay(now)
		if usual, known := v.usualRate(now); known {
			list = append(list, growth{v.fast / usual, math.Sqrt(usual)})
			total += math.Sqrt(usual)
		}
		if v.usual < forgottenRate {
			delete(t.teams, name)
		}
	}
	slices.SortFunc(list, func(a, b growth) int { return cmp.Compare(a.ratio, b.ratio) })
	t.growth, t.growthAt = 1, now
	sum := 0.0
	for _, g := range list {
		if sum += g.weight; sum >= total/2 {
			t.growth = g.ratio
			break
		}
	}
}

// decay brings the rates up to date.
func (v *teamRates) decay(now time.Time) {
	if dt := now.Sub(v.at); dt > 0 {
		v.fast *= math.Exp(-dt.Seconds() / teamFast.Seconds())
		v.usual *= math.Exp(-dt.Seconds() / teamUsual.Seconds())
		v.at = now
	}
}

// usualRate returns the usual rate, and whether it is known.
func (v *teamRates) usualRate(now time.Time) (float64, bool) {
	age := now.Sub(v.since)
	if age < teamMinAge || v.count < teamMinCount {
		return 0, false
	}
	return v.usual / (1 - math.Exp(-age.Seconds()/teamUsual.Seconds())), true
}
