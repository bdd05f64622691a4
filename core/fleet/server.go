package fleet

import "slices"

type (
	// ResidentModel is a model in the memory of a model engine, with its loaded adapters.
	ResidentModel struct {
		Model    string
		Version  int64
		Adapters []string
	}

	// Server is one incarnation of a backend server, as reported by the server
	// itself. A server may restart under the same id; StartedAtMS distinguishes the
	// incarnations.
	Server struct {
		ID          string
		StartedAtMS int64 // start time in Unix milliseconds, 0 if the server doesn't report it
		Service     string
		Address     string // IP:port, which another server may use after this one has stopped
		Zone        string // data centre
		Slots       int
		Leaving     bool
		GrantOnly   bool // known from a granted slot, and not to be picked for other requests
		Resident    []ResidentModel
		OnDisk      []string // models that can be loaded from disk, without the weight store
		InMemory    []string // models that can be loaded from host memory, which is faster than from disk
		Version     int64    // version of this entry; a higher one is newer
		// Software is the version of the server's software. What two versions generate doesn't fit together.
		Software string
	}
)

// Holds reports whether the server has the model in memory and, unless adapter is
// empty, also that adapter of the model.
func (s Server) Holds(model, adapter string) bool {
	for _, h := range s.Resident {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}

// WithoutForeign returns the servers without those that other writers may have entered: entries that state no start
// while most entries of their service do. All servers of a service state it or none. The other entries keep
// their order, and the IDs of those left out are returned too.
func WithoutForeign(list []Server) (kept []Server, foreign []string) {
	type counts struct{ with, without int }
	byService := map[string]counts{}
	for _, s := range list {
		c := byService[s.Service]
		if s.StartedAtMS == 0 {
			c.without++
		} else {
			c.with++
		}
		byService[s.Service] = c
	}
	kept = make([]Server, 0, len(list))
	for _, s := range list {
		if c := byService[s.Service]; s.StartedAtMS == 0 && c.with > c.without {
			foreign = append(foreign, s.ID)
			continue
		}
		kept = append(kept, s)
	}
	return kept, foreign
}
