package measure

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
)

const (
	dataCentres   = 7
	modelBytes    = int64(1e9)
	adapterBytes  = int64(1e7)
	kvReserve     = int64(1e9)
	slots         = 64
	stepMS        = 7
	modelsPerTeam = 3 // models that a team may use
	deadlineMS    = 10_000
	kindName      = "live"
	orderLifetime = 30_000
)

type (
	// Size is the size of a measured system.
	Size struct {
		Nodes    int     `json:"nodes"`
		Servers  int     `json:"servers"` // model engines
		Models   int     `json:"models"`
		Adapters int     `json:"adapters"` // in total
		Teams    int     `json:"teams"`
		Rate     float64 `json:"rate"` // requests per second, to all nodes together
	}

	// Dimension names a field of Size, or "ray": nodes with twice as many
	// servers.
	Dimension string

	// UsageError reports a request that can't be measured.
	UsageError struct{ Text string }
)

// Dimensions of a Size.
const (
	Nodes   Dimension = "nodes"
	Servers Dimension = "servers"
	Models  Dimension = "models"
	Teams   Dimension = "teams"
	Rate    Dimension = "rate"
	// Ray varies nodes and servers together, with two servers per node, as in the
	// size expected in two years.
	Ray Dimension = "ray"
)

const (
	serversPerNode   = 2 // servers per node on the ray
	adaptersPerModel = 3 // adapters per model when the models vary
)

// Error describes the invalid request.
func (e *UsageError) Error() string { return e.Text }

// Register defines the flags of a size, with the values of s as defaults.
func (s *Size) Register(f *flag.FlagSet) {
	f.IntVar(&s.Nodes, "nodes", s.Nodes, "nodes")
	f.IntVar(&s.Servers, "servers", s.Servers, "model engines")
	f.IntVar(&s.Models, "models", s.Models, "models")
	f.IntVar(&s.Adapters, "adapters", s.Adapters, "adapters in all")
	f.IntVar(&s.Teams, "teams", s.Teams, "teams")
	f.Float64Var(&s.Rate, "rate", s.Rate, "requests a second to all nodes together")
}

// Flags returns the command-line arguments for the flags of Register.
func (s Size) Flags() []string {
	return []string{
		"-nodes", strconv.Itoa(s.Nodes), "-servers", strconv.Itoa(s.Servers), "-models", strconv.Itoa(s.Models),
		"-adapters", strconv.Itoa(s.Adapters), "-teams", strconv.Itoa(s.Teams),
		"-rate", strconv.FormatFloat(s.Rate, 'g', -1, 64),
	}
}

// Check returns a *UsageError if s can't be measured.
func (s Size) Check() error {
	if s.Nodes < 1 || s.Servers < 1 || s.Models < 1 || s.Teams < 1 || s.Adapters < 0 || s.Rate < 0 {
		return &UsageError{Text: fmt.Sprintf("size %+v: counts must be positive", s)}
	}
	return nil
}

// With returns s with dimension d set to v, or a *UsageError.
func (s Size) With(d Dimension, v int) (Size, error) {
	switch d {
	case Nodes:
		s.Nodes = v
	case Servers:
		s.Servers = v
	case Models:
		s.Models, s.Adapters = v, v*adaptersPerModel
	case Teams:
		s.Teams = v
	case Rate:
		s.Rate = float64(v)
	case Ray:
		s.Nodes, s.Servers = v, v*serversPerNode
	default:
		return s, &UsageError{Text: fmt.Sprintf("no dimension %q", d)}
	}
	return s, s.Check()
}

// Values parses integers separated by commas.
func Values(text string) ([]int, error) {
	var out []int
	for _, part := range strings.Split(text, ",") {
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil {
			return nil, &UsageError{Text: fmt.Sprintf("%q is not a whole number", part)}
		}
		out = append(out, v)
	}
	return out, nil
}

// Key returns the key of a team.
func Key(team int) string { return "key-" + strconv.Itoa(team) }

// ModelName returns the name of a model.
func ModelName(i int) string { return fmt.Sprintf("model-%04d", i) }

// Document returns a configuration of size s with its servers at the given addresses.
func (s Size) Document(addresses []string) *config.Document {
	d := &config.Document{Deployment: "measure", Limits: config.DefaultLimits(), Placement: config.DefaultPlacement()}
	d.Kinds = []config.Kind{{Name: kindName, Urgency: config.Urgent, Value: 1, DeadlineMS: deadlineMS, Repeatable: true}}
	for i := range s.Models {
		d.Models = append(d.Models, config.Model{Name: ModelName(i), Version: "1", Bytes: modelBytes, MinCopies: 1})
	}
	for i := range s.Adapters {
		d.Adapters = append(d.Adapters, config.Adapter{Name: fmt.Sprintf("adapter-%05d", i), Model: ModelName(i % s.Models), Version: "1", Bytes: adapterBytes, MinCopies: 1})
	}
	for i := range s.Servers {
		d.Servers = append(d.Servers, config.BackendServer{
			Name: fmt.Sprintf("engine-%03d", i), Type: config.Engine, Address: addresses[i],
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres+1), MemoryBytes: kvReserve, KVReserveBytes: kvReserve,
			ChecksOrders: true, OrderLifetimeMS: orderLifetime, Slots: slots, StepMS: stepMS,
		})
	}
	for i := range s.Teams {
		sum := sha256.Sum256([]byte(Key(i)))
		team := config.Team{
			Name: fmt.Sprintf("team-%04d", i), KeyHashes: []string{config.KeyHashPrefix + hex.EncodeToString(sum[:])},
			Kinds: []string{kindName}, DefaultKind: kindName, Weight: 1,
		}
		for j := range min(modelsPerTeam, s.Models) {
			team.Models = append(team.Models, ModelName((i+j)%s.Models))
		}
		d.Teams = append(d.Teams, team)
	}
	// The memory is just enough for the initial items and for one change of a version,
	// so that almost no items are moved during the measurement.
	for _, p := range s.placement(d) {
		d.Servers[p.server].MemoryBytes += p.bytes
	}
	adapters := (s.Adapters + s.Models - 1) / s.Models
	d.Servers[s.Servers-1].MemoryBytes += modelBytes + int64(adapters)*adapterBytes
	return d
}

// placedItem is an item and the index of the server on which it is initially resident.
type placedItem struct {
	item   backend.Item
	bytes  int64
	server int
}

// placement assigns the items of d to servers, adapters to the servers of their models.
func (s Size) placement(d *config.Document) []placedItem {
	var out []placedItem
	serverOf := map[string]int{}
	for i, m := range d.Models {
		serverOf[m.Name] = i % s.Servers
		out = append(out, placedItem{item: m.Item(), bytes: m.Bytes, server: serverOf[m.Name]})
	}
	for _, a := range d.Adapters {
		out = append(out, placedItem{item: a.Item(), bytes: a.Bytes, server: serverOf[a.Model]})
	}
	return out
}
