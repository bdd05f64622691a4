package fleet

import "slices"

type (
	// Held is a model in the memory of a model engine, with its adapters.
	Held struct {
		Model    string
		Version  int64
		Adapters []string
	}

	// Server is one incarnation of a backend server, as it says of itself. It may
	// start again under its id; Born tells the incarnations apart.
	Server struct {
		ID       string
		Born     int64 // Unix time of its start in milliseconds, 0 if it doesn't tell
		Service  string
		Address  string // IP:port, used by others after the server has ended
		Zone     string // data centre
		Slots    int
		Leaving  bool
		Held     []Held
		OnDisk   []string // models that load without the weight store
		InMemory []string // models that load from host memory, faster still
		Version  int64    // of the entry: a higher one is newer
	}
)

// Holds tells whether the server has a model, and the adapter of it unless
// that is empty.
func (s Server) Holds(model, adapter string) bool {
	for _, h := range s.Held {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}
