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

// Faults of a run. Each is injected after a third of the run unless stated otherwise.
const (
	// ServerLoss permanently stops the engine with the most running and waiting
	// requests.
	ServerLoss = "server-loss"
	// NodeLoss kills one node, without a graceful shutdown.
	NodeLoss = "node-loss"
	// TableDown makes the table service unavailable for a third of the run.
	TableDown = "table-down"
	// DemandShift moves the popularity to other items after half of the run.
	DemandShift = "demand-shift"
)

const (
	defaultNodes    = 8
	defaultLoad     = 0.8
	defaultDuration = 30 * time.Second
	// defaultWarmUp is enough time for the nodes to discover all servers and for the
	// first plan.
	defaultWarmUp = 3 * time.Second
)

type (
	// Settings configures a run. A field with its zero value has its default;
	// Deployment has no default.
	Settings struct {
		Deployment workload.Deployment
		Policy     string        // routing policy, default home
		Planner    string        // default depends on Policy, see PlannerOf
		Fault      string        // default none
		Seed       uint64        // default 1
		Load       float64       // mean work as a fraction of the capacity, default 0.8
		Duration   time.Duration // duration of the arrivals, default 30 s
		Nodes      int           // default 8
		WarmUp     time.Duration // between readiness and the first request, default 3 s
		MovePrice  float64       // default is that of the deployment; negative for zero
		Limit      string        // how the use of teams is limited, default by cost
		LogDir     string        // directory for the logs of the nodes; logs are discarded if empty
	}

	// SettingError reports a setting with an unknown value.
	SettingError struct {
		Name, Value string
		Known       []string
	}

	// StartError reports that a part of the system did not start.
	StartError struct {
		Part string
		Err  error
	}
)

// Error names the setting, its value and the known values.
func (e *SettingError) Error() string {
	text := e.Name + " " + e.Value + " is unknown; known values:"
	for _, k := range e.Known {
		text += " " + k
	}
	return text
}

// Error names the part and the cause.
func (e *StartError) Error() string { return "start " + e.Part + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Faults returns the names of all faults.
func Faults() []string { return []string{ServerLoss, NodeLoss, TableDown, DemandShift} }

// Deployments returns the available deployments by name.
func Deployments() map[string]workload.Deployment {
	return map[string]workload.Deployment{"corella": workload.Corella(), "kabinaki": workload.Kabinaki()}
}

// PlannerOf returns the default planner of a routing policy. The baseline policies
// have planners of their own.
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

// withDefaults returns s with defaults for its zero fields, or a *SettingError.
func (s Settings) withDefaults() (Settings, error) {
	s.Policy = cmp.Or(s.Policy, route.NameHome)
	s.Planner = cmp.Or(s.Planner, PlannerOf(s.Policy))
	s.Seed = cmp.Or(s.Seed, 1)
	s.Load = cmp.Or(s.Load, defaultLoad)
	s.Duration = cmp.Or(s.Duration, defaultDuration)
	s.Nodes = cmp.Or(s.Nodes, defaultNodes)
	s.WarmUp = cmp.Or(s.WarmUp, defaultWarmUp)
	s.Limit = cmp.Or(s.Limit, node.LimitCost)
	s.MovePrice = cmp.Or(s.MovePrice, s.Deployment.Placement.MovePrice)
	s.MovePrice = max(0, s.MovePrice)
	s.Deployment.Placement.MovePrice = s.MovePrice
	for _, setting := range []struct {
		name, value string
		values      []string
	}{
		{"policy", s.Policy, route.Names()},
		{"planner", s.Planner, place.Names()},
		{"limit", s.Limit, node.LimitNames()},
		{"fault", s.Fault, append(Faults(), "")},
	} {
		if !slices.Contains(setting.values, setting.value) {
			return s, &SettingError{Name: setting.name, Value: setting.value, Known: setting.values}
		}
	}
	return s, nil
}

// loadSettings returns the settings of the load.
func (s Settings) loadSettings() workload.Settings {
	w := workload.Settings{Deployment: s.Deployment, Load: s.Load, Duration: s.Duration}
	if s.Fault == DemandShift {
		w.Shift = s.Duration / 2
	}
	return w
}
