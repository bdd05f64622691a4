package experiment

import (
	"cmp"
	"slices"
	"time"

	"guavapaddle/core/place"
	"guavapaddle/core/route"
	"guavapaddle/internal/node"
	"guavapaddle/internal/testbed/workload"
)

// Faults that a run may have. Each comes at a third of the run.
const (
	// ServerLoss takes one engine away for good, the one with most in its batch.
	ServerLoss = "server-loss"
	// NodeLoss ends one node at once, without a graceful shutdown.
	NodeLoss = "node-loss"
	// TableDown closes the table service for a third of the run.
	TableDown = "table-down"
	// DemandShift moves the popularity to other items at half of the run.
	DemandShift = "demand-shift"
)

const (
	defaultNodes    = 8
	defaultLoad     = 0.8
	defaultDuration = 30 * time.Second
	// defaultWarm is the time in which nodes hear of all servers and the first
	// plan is made.
	defaultWarm = 3 * time.Second
)

type (
	// Settings sets up a run. The zero value of a field stands for its default;
	// Deployment has none.
	Settings struct {
		Deployment workload.Deployment
		Policy     string        // of routing, default home
		Planner    string        // default by Policy, see PlannerOf
		Fault      string        // default none
		Seed       uint64        // default 1
		Load       float64       // mean work as a part of the capacity, default 0.8
		Duration   time.Duration // of the arrivals, default 30 s
		Nodes      int           // default 8
		Warm       time.Duration // between readiness and the first request, default 3 s
		MovePrice  float64       // default the deployment's; negative for zero
		Limit      string        // of teams, default by cost
		LogDir     string        // directory for the nodes' logs, default none
	}

	// SettingError tells that a setting has no such value.
	SettingError struct {
		Name, Value string
		Known       []string
	}

	// StartError tells that a part of the system did not start.
	StartError struct {
		Part string
		Err  error
	}
)

// Error names the setting, its value and what is known.
func (e *SettingError) Error() string {
	text := e.Name + " " + e.Value + " is unknown; known are"
	for _, k := range e.Known {
		text += " " + k
	}
	return text
}

// Error returns the part and the cause.
func (e *StartError) Error() string { return "start " + e.Part + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Faults returns the names of all faults.
func Faults() []string { return []string{ServerLoss, NodeLoss, TableDown, DemandShift} }

// Deployments returns the deployments that a run can have, by name.
func Deployments() map[string]workload.Deployment {
	return map[string]workload.Deployment{"corella": workload.Corella(), "kabinaki": workload.Kabinaki()}
}

// PlannerOf returns the planner that goes with a routing policy: the baselines
// bring their own placement.
func PlannerOf(policy string) string {
	switch policy {
	case route.NameRoundRobin:
		return place.NameLRU
	case route.NameStatic:
		return place.NameStatic
	default:
		return place.NameGain
	}
}

// withDefaults returns s with each zero field at its default, or a
// *SettingError.
func (s Settings) withDefaults() (Settings, error) {
	s.Policy = cmp.Or(s.Policy, route.NameHome)
	s.Planner = cmp.Or(s.Planner, PlannerOf(s.Policy))
	s.Seed = cmp.Or(s.Seed, 1)
	s.Load = cmp.Or(s.Load, defaultLoad)
	s.Duration = cmp.Or(s.Duration, defaultDuration)
	s.Nodes = cmp.Or(s.Nodes, defaultNodes)
	s.Warm = cmp.Or(s.Warm, defaultWarm)
	s.Limit = cmp.Or(s.Limit, node.LimitCost)
	s.MovePrice = cmp.Or(s.MovePrice, s.Deployment.Placement.MovePrice)
	s.MovePrice = max(0, s.MovePrice)
	s.Deployment.Placement.MovePrice = s.MovePrice
	for _, known := range []struct {
		name, value string
		values      []string
	}{
		{"policy", s.Policy, route.Names()},
		{"planner", s.Planner, place.Names()},
		{"limit", s.Limit, node.Limits()},
		{"fault", s.Fault, append(Faults(), "")},
	} {
		if !slices.Contains(known.values, known.value) {
			return s, &SettingError{Name: known.name, Value: known.value, Known: known.values}
		}
	}
	return s, nil
}

// load returns the settings of the load.
func (s Settings) load() workload.Settings {
	w := workload.Settings{Deployment: s.Deployment, Load: s.Load, Duration: s.Duration}
	if s.Fault == DemandShift {
		w.Shift = s.Duration / 2
	}
	return w
}
