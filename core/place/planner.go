package place

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/view"
)

// Why tells why a copy is loaded or dropped.
type Why string

const (
	// NameGain places by marginal gain.
	NameGain = "gain"
	// NameStatic places by the document alone.
	NameStatic = "static"
	// NameLRU loads on demand and drops what was used least recently.
	NameLRU = "lru"
)

const (
	// Unreachable means that no live server holds the item.
	Unreachable Why = "no-copy"
	// TooFew means that the item has less than its least number of copies.
	TooFew Why = "min-copies"
	// OneDataCentre means that all copies are in one data centre.
	OneDataCentre Why = "one-data-centre"
	// NeededByAdapter means that an adapter needs the model on the server.
	NeededByAdapter Why = "adapter"
	// Gained means that the copy's gain exceeds the price of a move.
	Gained Why = "gain"
	// Demanded means that requests wait for the item.
	Demanded Why = "demand"
	// Declared means that the document alone says so.
	Declared Why = "declared"
	// Superseded means that the new version of the item is resident.
	Superseded Why = "superseded"
	// Undeclared means that the document no longer has the item.
	Undeclared Why = "undeclared"
	// GaveWay means that the copy made room for another one.
	GaveWay Why = "gave-way"
	// NoRoom means that the item fits nowhere.
	NoRoom Why = "no-room"
)

type (
	// Copy is an item that a server holds.
	Copy struct {
		Item  backend.Item
		Bytes int64
		Since time.Time // when it became resident; zero counts as long ago
		Used  time.Time // when it was last asked for, for LRU
	}

	// Server is a model engine with what it holds.
	Server struct {
		Name           string
		DataCentre     string
		MemoryBytes    int64
		KVReserveBytes int64
		HeldBytes      int64 // of items that are unloading or uncertain
		Slots          int
		Reachable      bool
		Leaving        bool
		Resident       []Copy
		Loading        []Copy
	}

	// Input is all that a plan depends on, besides the time.
	Input struct {
		Models    []config.Model
		Adapters  []config.Adapter
		Servers   []Server
		Demand    []view.Demand // of all nodes; rates of the same name add up
		Placement config.Placement
		Loads     int // at once at the weight store's full speed, zero if unknown
		// Previous is the plan before this one, nil if there is none. A load
		// that it proposed and that has not begun is proposed again unless its
		// gain is gone, so that room which was made for it is not given away.
		Previous map[string][]backend.Item
	}

	// Move is a copy that is to be loaded or dropped.
	Move struct {
		Op     backend.Op
		Server string
		Item   backend.Item
		Bytes  int64
		Why    Why
		Gain   float64 // requests a second met in time, weighted; zero if required
	}

	// Output is a plan.
	Output struct {
		// Plan names the items that each live server should hold, models
		// before adapters, each sorted.
		Plan map[string][]backend.Item
		// Moves are the differences to what the servers hold, loads in the order
		// of importance, then drops, adapters before models. A model must not be
		// dropped while an adapter on the server needs it.
		Moves []Move
		// Unplaced are declared items that fit nowhere.
		Unplaced []backend.Item
		// MayDropLast tells that the policy drops last copies: a baseline that
		// breaks reachability on purpose.
		MayDropLast bool
	}

	// Planner proposes which server holds what.
	Planner interface {
		Name() string
		Plan(now time.Time, in Input) Output
	}

	// UnknownPlannerError tells that no planner has the name.
	UnknownPlannerError struct{ Name string }
)

// Error names the unknown planner.
func (e *UnknownPlannerError) Error() string { return "place: no planner named " + e.Name }

// Names returns the names that New knows.
func Names() []string { return []string{NameGain, NameStatic, NameLRU} }

// New returns the planner of a name with its default settings, or an
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
