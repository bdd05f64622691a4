package fleet

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once for each attempt of the client.
	Unsafe Kind = "unsafe"
	// Stream requests are answered event by event and run at most once unless
	// the route is resumable.
	Stream Kind = "stream"
)

type (
	// Split is a service with its part of a route's requests.
	Split struct {
		Service string
		Weight  float64
	}

	// Route says where requests of a host and path go, and how they are treated.
	Route struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		Kind        Kind
		Resumable   bool          // a stream may go on elsewhere after its last event
		Timeout     time.Duration // longest time until the final answer, zero for none
		Target      time.Duration // time to the answer, or to the first event, that earns full credit
		Gap         time.Duration // longest pause between events that is on time
		Priority    int           // 0 is the most urgent
		MaxAttempts int           // most backend servers that may run one attempt
		Public      bool          // needs no key
		Splits      []Split       // at least one
	}

	// Model is what the operator declares of a model.
	Model struct {
		Name      string
		MB        float64
		LoadTime  time.Duration // from the weight store
		DiskTime  time.Duration // from the backend server's disk
		WarmTime  time.Duration // from the backend server's host memory
		Adapters  int           // they are named a1, a2, and so on
		AdapterMB float64
	}

	// Engine is what all model engines of a service have in common.
	Engine struct {
		Slots        int
		KVTokens     int
		WeightsMB    float64 // memory for weights and adapters of one engine
		AdapterSlots int
		LoadsPerS    float64 // of the weight store, over all engines
		Models       map[string]Model
	}

	// Service is a group of backend servers that do the same work.
	Service struct {
		Name       string
		HealthPath string
		MaxConns   int     // connections that one server accepts from all callers
		Engine     *Engine // nil for a plain service
	}

	// Limits bound what a client may send, and how slowly.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Config is one accepted configuration.
	Config struct {
		version  int64
		byHost   map[string][]Route // longest prefix first
		services map[string]Service
		limits   Limits
		access   access
	}
)

// NewConfig returns a configuration with its routes indexed by host.
func NewConfig(version int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		version:  version,
		byHost:   map[string][]Route{},
		services: map[string]Service{},
		limits:   limits,
	}
	for _, r := range routes {
		h := strings.ToLower(r.Host)
		c.byHost[h] = append(c.byHost[h], r)
	}
	for _, rs := range c.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the operator's number of the configuration.
func (c *Config) Version() int64 { return c.version }

// Limits returns the bounds on clients.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by its name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services in order.
func (c *Config) Services() []string {
	names := make([]string, 0, len(c.services))
	for n := range c.services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Match returns the route of the host with the longest prefix that begins the
// path. The host may carry a port.
func (c *Config) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(host, ":") // addresses are IPv4
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service picks a service of the route by its splits; at is uniform in [0, 1).
func (r Route) Service(at float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Repeatable tells whether a request that may have run may run again elsewhere.
func (r Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }
