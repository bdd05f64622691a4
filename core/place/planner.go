package place

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/view"
)

// Reason is the reason for a load or an unload.
type Reason string

const (
	// NameGain selects placement by marginal gain.
	NameGain = "gain"
	// NameStatic selects placement from the configuration document alone.
	NameStatic = "static"
	// NameLRU selects loading on demand with eviction of the least recently used copies.
	NameLRU = "lru"
)

const (
	// Unreachable means that no live server holds the item.
	Unreachable Reason = "no-copy"
	// BelowMinCopies means that the item has fewer than its minimum number of copies.
	BelowMinCopies Reason = "min-copies"
	// OneDataCentre means that all copies of the item are in one data centre.
	OneDataCentre Reason = "one-data-centre"
	// NeededByAdapter means that an adapter on the server needs the model.
	NeededByAdapter Reason = "adapter"
	// NetGain means that the gain of the copy exceeds the price of a move.
	NetGain Reason = "gain"
	// OnDemand means that requests wait for the item or that it overloads its holders.
	OnDemand Reason = "demand"
	// Declared means that the configuration document alone requires the copy.
	Declared Reason = "declared"
	// Superseded means that a newer version of the item replaces the copy.
	Superseded Reason = "superseded"
	// Undeclared means that the configuration document no longer has the item. It is also
	// used for an adapter whose model is gone and for what Static leaves out of its plan.
	Undeclared Reason = "undeclared"
	// Evicted means that the copy was evicted for another one.
	Evicted Reason = "gave-way"
	// NoRoom means that the item fits on no server.
	NoRoom Reason = "no-room"
)

type (
	// Copy is an item that a server holds.
	Copy struct {
		Item          backend.Item
		Bytes         int64
		ResidentSince time.Time // when it became resident; zero means long ago
		LastUsed      time.Time // when it was last requested; used by LRU
	}

	// Server is a model engine with its current contents.
	Server struct {
		Name           string
		DataCentre     string
		MemoryBytes    int64
		KVReserveBytes int64
		ReservedBytes  int64 // taken by items that are unloading or in an unknown state
		Slots          int
		Reachable      bool
		Leaving        bool
		Resident       []Copy
		Loading        []Copy
	}

	// Input holds everything that a plan depends on except the time.
	Input struct {
		Models           []config.Model
		Adapters         []config.Adapter
		Servers          []Server
		Demand           []view.Demand // of all nodes; rates with the same name are summed
		Placement        config.Placement
		MaxParallelLoads int // concurrent loads that the weight store serves at full speed; zero if unknown
		// Previous is the preceding plan, nil if there is none. A load that it proposed and
		// that has not started is proposed again while it is still justified, so that the
		// room made for it is not given to another item.
		Previous map[string][]backend.Item
	}

	// Move is a copy to load or unload.
	Move struct {
		Op     backend.Op
		Server string
		Item   backend.Item
		Bytes  int64
		Reason Reason
		Gain   float64 // weighted requests a second served in time; zero for required loads
	}

	// Output is a plan.
	Output struct {
		// Plan lists the items that each live server should hold, models before adapters,
		// each group sorted by name.
		Plan map[string][]backend.Item
		// Moves are the differences between the plan and the current contents: loads in
		// order of importance, then unloads, adapters before models. A model must not be
		// unloaded while an adapter on the server needs it.
		Moves []Move
		// Unplaced lists the declared items without a copy in the plan, because they fit on
		// no server.
		Unplaced []backend.Item
		// MayUnloadLast is set by policies that may drop the last copy of an item. Such a
		// baseline breaks reachability on purpose.
		MayUnloadLast bool
	}

	// Planner proposes the contents of each server.
	Planner interface {
		Name() string
		Plan(now time.Time, in Input) Output
	}

	// UnknownPlannerError is returned by New for a name that no planner has.
	UnknownPlannerError struct{ Name string }
)

// Error implements the error interface.
func (e *UnknownPlannerError) Error() string { return "place: no planner named " + e.Name }

// Names returns the planner names that New accepts.
func Names() []string { return []string{NameGain, NameStatic, NameLRU} }

// New returns the planner with the given name and its default settings, or an
// *UnknownPlannerError.
func New(name string) (Planner, error) {
	switch name {
	case NameGain:
		return &Gain{}, nil
	case NameStatic:
		return Static{}, nil
	case NameLRU:
		return LRU{}, nil
	default:
		return nil, &UnknownPlannerError{Name: name}
	}
}
