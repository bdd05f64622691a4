package config

import (
	"slices"
	"strings"
)

// reservedPaths are the path prefixes that guavapaddle serves itself.
var reservedPaths = []string{"/v1/", "/operator/", "/healthz/", "/readyz/", "/metrics/"}

// methods are the allowed methods of a call.
var methods = []string{AnyMethod, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (c *checker) checkServices() {
	names, paths := make(map[string]string), make(map[string]string)
	for i, s := range c.doc.Services {
		p := elementPath("services", i)
		c.name(p+".name", s.Name)
		c.unique(names, p+".name", s.Name, "name")
		c.checkServicePath(p+".path", s.Path)
		c.unique(paths, p+".path", s.Path, "path")
		c.checkCalls(p+".calls", s.Calls)
		runsService := func(b BackendServer) bool { return b.Type == Service && b.Service == s.Name }
		if s.Name != "" && !slices.ContainsFunc(c.doc.Servers, runsService) {
			c.add(p, ServiceWithoutServers, "no backend server runs service %q", s.Name)
		}
	}
}

func (c *checker) checkServicePath(path, value string) {
	if len(value) < 3 || !strings.HasPrefix(value, "/") || !strings.HasSuffix(value, "/") || !isPlainPath(value) {
		c.add(path, BadPath, "%q: a path that begins and ends with \"/\" is required, as in \"/bookings/\"", value)
		return
	}
	for _, r := range reservedPaths {
		if strings.HasPrefix(value, r) {
			c.add(path, ReservedPath, "%q: guavapaddle serves paths below %q itself", value, r)
		}
	}
}

// isPlainPath reports whether p has no query, escapes, blanks, empty segments
// or dot segments, so that a prefix matches exactly the paths that it appears to
// match.
func isPlainPath(p string) bool {
	if strings.Contains(p, "//") {
		return false
	}
	for _, segment := range strings.Split(p, "/") {
		if segment == "." || segment == ".." {
			return false
		}
		for _, r := range segment {
			if !isAlphanumeric(r) && !strings.ContainsRune("._-~", r) {
				return false
			}
		}
	}
	return true
}

func (c *checker) checkCalls(path string, calls []Call) {
	if len(calls) == 0 {
		c.add(path, Missing, "at least one call is required")
	}
	for i, call := range calls {
		p := elementPath(path, i)
		if !slices.Contains(methods, call.Method) {
			c.add(p+".method", BadMethod, "%q, allowed are %s", call.Method, strings.Join(methods, ", "))
		}
		if strings.HasPrefix(call.Path, "/") || !isPlainPath(call.Path) {
			c.add(p+".path", BadPath, "%q: a path below the service's path is required, without \"/\" at its beginning", call.Path)
		}
		c.reference(p+".kind", call.Kind, "kind", c.kinds[call.Kind])
		for j, earlier := range calls[:i] {
			if (earlier.Method == AnyMethod || earlier.Method == call.Method) && hasPathPrefix(call.Path, earlier.Path) {
				c.add(p, Unreachable, "%s matches the same calls before it", elementPath(path, j))
				break
			}
		}
	}
}

func (c *checker) checkServers() {
	names, addresses := make(map[string]string), make(map[string]string)
	for i, s := range c.doc.Servers {
		p := elementPath("backend-servers", i)
		c.name(p+".name", s.Name)
		c.unique(names, p+".name", s.Name, "name")
		c.unique(addresses, p+".address", s.Address, "address")
		if !isAddress(s.Address) {
			c.add(p+".address", BadAddress, "%q: an IP number and a port are required, as in \"10.0.0.7:8080\"", s.Address)
		}
		c.name(p+".data-centre", s.DataCentre)
		c.int(p+".slots", int64(s.Slots), countBound)
		switch s.Type {
		case Engine:
			c.checkEngine(p, s)
		case Service:
			c.checkServiceServer(p, s)
		default:
			c.add(p+".type", BadValue, "%q, allowed are %q and %q", s.Type, Engine, Service)
		}
	}
}

func (c *checker) checkEngine(p string, s BackendServer) {
	if s.Service != "" {
		c.add(p+".service", NotForType, "an engine runs no plain service")
	}
	c.int(p+".memory-bytes", s.MemoryBytes, bytesBound)
	c.int(p+".kv-reserve-bytes", s.KVReserveBytes, zeroBytesBound)
	if s.KVReserveBytes >= s.MemoryBytes && s.MemoryBytes > 0 {
		c.add(p+".kv-reserve-bytes", OutOfRange, "%d leaves nothing of the memory of %d bytes for models", s.KVReserveBytes, s.MemoryBytes)
	}
	c.float(p+".step-ms", s.StepMS, stepBound)
	if s.ChecksOrders {
		c.int(p+".order-lifetime-ms", s.OrderLifetimeMS, intBound{min: 0, max: lifetimeBound.max})
		return
	}
	if s.OrderLifetimeMS == 0 {
		c.add(p+".order-lifetime-ms", Missing, "an engine that doesn't check orders needs the time after which an order can no longer arrive")
		return
	}
	c.int(p+".order-lifetime-ms", s.OrderLifetimeMS, lifetimeBound)
}

func (c *checker) checkServiceServer(p string, s BackendServer) {
	_, ok := c.services[s.Service]
	c.reference(p+".service", s.Service, "service", ok)
	engineOnly := []struct {
		name  string
		given bool
	}{
		{"memory-bytes", s.MemoryBytes != 0},
		{"kv-reserve-bytes", s.KVReserveBytes != 0},
		{"checks-orders", s.ChecksOrders},
		{"order-lifetime-ms", s.OrderLifetimeMS != 0},
		{"step-ms", s.StepMS != 0},
	}
	for _, f := range engineOnly {
		if f.given {
			c.add(p+"."+f.name, NotForType, "only a backend server of type %q has it", Engine)
		}
	}
}
