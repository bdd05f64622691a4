package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	defaultBurstFactor = 10.0
	defaultMeanOn      = 5 * time.Second
	defaultMeanOff     = 20 * time.Second
	defaultPrefixes    = 4
	popularityExponent = 0.9
	teamExponent       = 1.1
	prefixExponent     = 1.0
	prefixBytes        = 1024
	tailBytes          = 96
	bytesPerToken      = 4
	teamsPerItem       = 3
	adapterShare       = 0.5 // fraction of the requests that name an adapter
	lengthSpread       = 0.5 // output lengths are uniform within this fraction below and above their mean
	maxTokens          = 4096
)

type (
	// Settings configures the load. A field with its zero value has its default;
	// Deployment and Duration have no default.
	Settings struct {
		Deployment  Deployment
		Load        float64       // mean work as a fraction of the capacity, default 0.8
		Duration    time.Duration // duration of the arrivals
		BurstFactor float64       // ratio of an item's rates in on and off phases, default 10
		MeanOn      time.Duration // mean length of an on phase, default 5 s
		MeanOff     time.Duration // mean length of an off phase, default 20 s
		Prefixes    int           // shared prefixes per item, default 4
		Shift       time.Duration // when the popularity moves to other items, zero for never
	}

	// Arrival is a request and its arrival time.
	Arrival struct {
		At     time.Duration // since the start
		Model  string        // name of the requested model or adapter
		Team   string
		Mix    Mix // kind of work, with its deadline
		Tokens int // output length
		Prefix int // index of the shared prefix of the prompt
		Index  int // index in the arrivals
	}

	// phase is a period with a constant request rate of an item.
	phase struct {
		from, to time.Duration
		rate     float64 // before scaling
	}

	// item is a model or an adapter with the teams that request it and its phases.
	item struct {
		name   string
		teams  []int
		phases []phase
	}
)

func (s Settings) withDefaults() Settings {
	s.Load = cmp.Or(s.Load, 0.8)
	s.BurstFactor = cmp.Or(s.BurstFactor, defaultBurstFactor)
	s.MeanOn = cmp.Or(s.MeanOn, defaultMeanOn)
	s.MeanOff = cmp.Or(s.MeanOff, defaultMeanOff)
	s.Prefixes = cmp.Or(s.Prefixes, defaultPrefixes)
	return s
}

// Generate returns the arrivals, sorted by time.
func Generate(s Settings, seed uint64) []Arrival {
	s = s.withDefaults()
	random := rand.New(rand.NewPCG(seed, 0x6775617661))
	items := s.items(random)
	rateScale := s.rateScale(items)
	var out []Arrival
	kinds := distuv.NewCategorical(s.kindShares(), random)
	prefixes := distuv.NewCategorical(zipfWeights(s.Prefixes, prefixExponent), random)
	for i := range items {
		it := &items[i]
		weights := make([]float64, len(it.teams))
		for k, team := range it.teams {
			weights[k] = zipfWeight(team, teamExponent)
		}
		teams := distuv.NewCategorical(weights, random)
		for _, at := range it.arrivals(rateScale, random) {
			mix := s.Deployment.Mixes[int(kinds.Rand())]
			out = append(out, Arrival{
				At: at, Model: it.name, Team: s.Deployment.TeamName(it.teams[int(teams.Rand())]),
				Mix: mix, Tokens: outputLength(mix.Tokens, random), Prefix: int(prefixes.Rand()),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range out {
		out[i].Index = i
	}
	return out
}

// Prompt returns the prompt: the shared prefix followed by a unique part.
func (a Arrival) Prompt() string {
	head := fmt.Sprintf("%s prefix %d. ", a.Model, a.Prefix)
	prefix := strings.Repeat(head, prefixBytes/len(head)+1)[:prefixBytes]
	tail := fmt.Sprintf(" request %d of %s ", a.Index, a.Team)
	return prefix + (tail + strings.Repeat(".", tailBytes))[:tailBytes]
}

// items draws the popularity, the teams and the phases of each item.
func (s Settings) items(random *rand.Rand) []item {
	d := s.Deployment
	out := append(s.drawItems(d.Models, d.ModelName, 1-adapterShare, random), s.drawItems(d.Adapters, d.AdapterName, adapterShare, random)...)
	return out
}

// drawItems draws n items that together receive the given share of the requests.
func (s Settings) drawItems(n int, name func(int) string, share float64, random *rand.Rand) []item {
	weights := zipfWeights(n, popularityExponent)
	rankBefore, rankAfter := random.Perm(n), random.Perm(n)
	out := make([]item, n)
	for i := range out {
		out[i] = item{name: name(i), teams: s.teams(random)}
		out[i].phases = s.phases(share*weights[rankBefore[i]], share*weights[rankAfter[i]], random)
	}
	return out
}

// teams draws the teams that request an item. Large teams are drawn more often.
func (s Settings) teams(random *rand.Rand) []int {
	draw := distuv.NewCategorical(zipfWeights(s.Deployment.Teams, teamExponent), random)
	var out []int
	for range teamsPerItem {
		if team := int(draw.Rand()); !slices.Contains(out, team) {
			out = append(out, team)
		}
	}
	return out
}

// phases draws the on and off phases of an item. The arguments before and after are
// its rates in off phases before and after the shift.
func (s Settings) phases(before, after float64, random *rand.Rand) []phase {
	var out []phase
	on := random.Float64() < s.MeanOn.Seconds()/(s.MeanOn+s.MeanOff).Seconds()
	for at := time.Duration(0); at < s.Duration; on = !on {
		mean, factor := s.MeanOff, 1.0
		if on {
			mean, factor = s.MeanOn, s.BurstFactor
		}
		to := min(s.Duration, at+time.Duration(random.ExpFloat64()*float64(mean))+time.Millisecond)
		if s.Shift > at && s.Shift < to {
			out = append(out, phase{at, s.Shift, before * factor})
			at = s.Shift
		}
		rate := before
		if s.Shift > 0 && at >= s.Shift {
			rate = after
		}
		out = append(out, phase{at, to, rate * factor})
		at = to
	}
	return out
}

// rateScale returns the factor that converts the rates of the phases to requests per
// second.
func (s Settings) rateScale(items []item) float64 {
	var work float64
	for _, it := range items {
		for _, p := range it.phases {
			work += p.rate * (p.to - p.from).Seconds()
		}
	}
	if work == 0 {
		return 0
	}
	return s.Load * s.Deployment.Capacity() * s.Duration.Seconds() / work
}

// arrivals draws the arrival times of the requests for an item.
func (it *item) arrivals(scale float64, random *rand.Rand) []time.Duration {
	var out []time.Duration
	for _, p := range it.phases {
		rate := p.rate * scale
		if rate <= 0 {
			continue
		}
		for at := p.from; ; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= p.to {
				break
			}
			out = append(out, at)
		}
	}
	return out
}

func (s Settings) kindShares() []float64 {
	out := make([]float64, len(s.Deployment.Mixes))
	for i, m := range s.Deployment.Mixes {
		out[i] = m.Share
	}
	return out
}

// outputLength draws the output length of a request.
func outputLength(mean int, random *rand.Rand) int {
	n := float64(mean) * (1 - lengthSpread + 2*lengthSpread*random.Float64())
	return min(max(1, int(n)), maxTokens)
}

// zipfWeight returns the unnormalized weight of rank i, counted from zero, of a Zipf
// distribution.
func zipfWeight(i int, exponent float64) float64 { return math.Pow(float64(i+1), -exponent) }

// zipfWeights returns the weights of the first n ranks, normalized to a sum of one.
func zipfWeights(n int, exponent float64) []float64 {
	out := make([]float64, n)
	var sum float64
	for i := range out {
		out[i] = zipfWeight(i, exponent)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
