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
	modelsEach    = 3 // that a team may call
	deadlineMS    = 10_000
	kindName      = "live"
	orderLifetime = 30_000
)

type (
	// Size is how much there is of everything.
	Size struct {
		Nodes    int     `json:"nodes"`
		Servers  int     `json:"servers"` // model engines
		Models   int     `json:"models"`
		Adapters int     `json:"adapters"` // in all
		Teams    int     `json:"teams"`
		Rate     float64 `json:"rate"` // requests a second to all nodes together
	}

	// Dimension names a field of Size, or "ray": nodes with twice as many
	// servers.
	Dimension string

	// UsageError tells that something was asked for that can't be measured.
	UsageError struct{ Text string }
)

// Dimensions of a Size.
const (
	Nodes   Dimension = "nodes"
	Servers Dimension = "servers"
	Models  Dimension = "models"
	Teams   Dimension = "teams"
	Rate    Dimension = "rate"
	// Ray varies nodes and servers together, two servers a node, as the size
	// of two years from now has them.
	Ray Dimension = "ray"
)

const (
	serversEach  = 2 // servers a node on the ray
	adaptersEach = 3 // adapters a model when models vary
)

// Error returns what is wrong.
func (e *UsageError) Error() string { return e.Text }

// Register declares the flags of a size with the values of s as defaults.
func (s *Size) Register(f *flag.FlagSet) {
	f.IntVar(&s.Nodes, "nodes", s.Nodes, "nodes")
	f.IntVar(&s.Servers, "servers", s.Servers, "model engines")
	f.IntVar(&s.Models, "models", s.Models, "models")
	f.IntVar(&s.Adapters, "adapters", s.Adapters, "adapters in all")
	f.IntVar(&s.Teams, "teams", s.Teams, "teams")
	f.Float64Var(&s.Rate, "rate", s.Rate, "requests a second to all nodes together")
}

// Flags returns the command line that Register reads s from.
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

// With returns s with value v of a dimension, or a *UsageError.
func (s Size) With(d Dimension, v int) (Size, error) {
	switch d {
	case Nodes:
		s.Nodes = v
	case Servers:
		s.Servers = v
	case Models:
		s.Models, s.Adapters = v, v*adaptersEach
	case Teams:
		s.Teams = v
	case Rate:
		s.Rate = float64(v)
	case Ray:
		s.Nodes, s.Servers = v, v*serversEach
	default:
		return s, &UsageError{Text: fmt.Sprintf("no dimension %q", d)}
	}
	return s, s.Check()
}

// Values reads whole numbers separated by commas.
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

// Document returns a configuration of the size with servers at addresses.
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
		c := config.Team{
			Name: fmt.Sprintf("team-%04d", i), KeyHashes: []string{config.KeyHashPrefix + hex.EncodeToString(sum[:])},
			Kinds: []string{kindName}, DefaultKind: kindName, Weight: 1,
		}
		for j := range min(modelsEach, s.Models) {
			c.Models = append(c.Models, ModelName((i+j)%s.Models))
		}
		d.Teams = append(d.Teams, c)
	}
	// Just enough memory for what is there from the start and for the change
	// of one version, so that next to nothing moves while control is measured.
	for _, p := range s.placement(d) {
		d.Servers[p.server].MemoryBytes += p.bytes
	}
	adapters := (s.Adapters + s.Models - 1) / s.Models
	d.Servers[s.Servers-1].MemoryBytes += modelBytes + int64(adapters)*adapterBytes
	return d
}

// placed is an item and the server that has it from the start.
type placed struct {
	item   backend.Item
	bytes  int64
	server int
}

// placement puts the items of d on servers, adapters with their models.
func (s Size) placement(d *config.Document) []placed {
	var out []placed
	home := map[string]int{}
	for i, m := range d.Models {
		home[m.Name] = i % s.Servers
		out = append(out, placed{item: m.Item(), bytes: m.Bytes, server: home[m.Name]})
	}
	for _, a := range d.Adapters {
		out = append(out, placed{item: a.Item(), bytes: a.Bytes, server: home[a.Model]})
	}
	return out
}
