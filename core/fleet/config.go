package fleet

import (
	"sort"
	"strings"
	"time"
)

// Kind specifies whether the requests of a route may be repeated.
type Kind string

const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once per attempt of the client.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a stream of events and run at most once
	// unless the route is resumable.
	Stream Kind = "stream"
)

type (
	// Split is a service and its weight, which is relative to the weights of the
	// route's other splits.
	Split struct {
		Service string
		Weight  float64
	}

	// Route specifies where the requests for a host and path prefix are sent, and
	// how they are handled.
	Route struct {
		Name          string
		Host          string
		Prefix        string // starts and ends with a slash
		Kind          Kind
		Resumable     bool          // a stream may continue on another server after its last event
		Timeout       time.Duration // maximum time until the response is complete, zero for no limit
		TargetLatency time.Duration // target time to the response, or to the first event of a stream, for full credit
		MaxEventGap   time.Duration // maximum interval between events of a stream that is on time
		Priority      int           // 0 is the most urgent
		MaxAttempts   int           // maximum number of backend servers that may run one attempt of the client
		Public        bool          // requests need no API key
		Splits        []Split       // at least one
	}

	// Model is a model as declared by the operator.
	Model struct {
		Name      string
		MB        float64
		LoadTime  time.Duration // time to load from the weight store
		DiskTime  time.Duration // time to load from the backend server's disk
		WarmTime  time.Duration // time to load from the backend server's host memory
		Adapters  int           // number of adapters, which are named a1, a2, and so on
		AdapterMB float64
	}

	// Engine holds the properties that all model engines of a service share.
	Engine struct {
		Slots        int
		KVTokens     int
		WeightsMB    float64 // memory of one engine for weights and adapters
		AdapterSlots int
		LoadsPerS    float64 // loads per second from the weight store, for all engines together
		Models       map[string]Model
	}

	// Service is a group of interchangeable backend servers.
	Service struct {
		Name       string
		HealthPath string
		MaxConns   int     // maximum number of connections that one server accepts in total
		Engine     *Engine // nil for a plain service
	}

	// Limits bounds the size of clients' requests and the time that clients may
	// take to send them.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Config is an accepted configuration.
	Config struct {
		version  int64
		byHost   map[string][]Route // sorted by descending length of prefix
		services map[string]Service
		limits   Limits
		access   access

		deferrable map[string]bool // services with a deferrable route
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

// Version returns the version that the operator gave the configuration.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits on clients.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the named service.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services in alphabetical order.
func (c *Config) Services() []string {
	names := make([]string, 0, len(c.services))
	for n := range c.services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Match returns the host's route with the longest prefix of path. The host may
// include a port.
func (c *Config) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(host, ":") // a host is a name or an IPv4 address, so a colon starts the port
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service selects a service of the route in proportion to the weights of its
// splits; x is a random number, uniform in [0, 1).
func (r Route) Service(x float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	x *= total
	for _, s := range r.Splits {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// IsDeferrable reports whether the requests of a streaming route may start seconds later without being late: their target
// latency is at least the given one. Zero means that no route is deferrable.
func (r Route) IsDeferrable(target time.Duration) bool {
	return target > 0 && r.Kind == Stream && r.TargetLatency >= target
}

// WithDeferrable returns the configuration with an index of the services that have a route which is deferrable by a
// target latency.
func (c *Config) WithDeferrable(target time.Duration) *Config {
	out := *c
	out.deferrable = map[string]bool{}
	for _, routes := range c.byHost {
		for _, r := range routes {
			if !r.IsDeferrable(target) {
				continue
			}
			for _, s := range r.Splits {
				out.deferrable[s.Service] = true
			}
		}
	}
	return &out
}

// IsContended reports whether some service has a deferrable route: urgent requests then compete with deferrable ones for
// room.
func (c *Config) IsContended() bool { return len(c.deferrable) > 0 }

// HasDeferrable reports whether a service has a deferrable route, by the target latency given to WithDeferrable.
func (c *Config) HasDeferrable(service string) bool { return c.deferrable[service] }

// Repeatable reports whether a request that may already have run on one server
// may be run again on another.
func (r Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }
