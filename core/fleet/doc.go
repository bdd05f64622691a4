// Package fleet describes the deployment that a node serves: the routes and
// whether their requests may be repeated, the services and the models that their
// backend servers can hold, the teams with their keys and quotas, the limits on
// clients, and the current backend servers.
//
// All values are immutable; a change creates a new value. NewConfig indexes the
// routes by host, so Match only searches the routes of one host.
//
// # Usage
//
//	c := fleet.NewConfig(version, routes, services, limits)
//	r, ok := c.Match("desk.example", "/plans/42")
//	s := r.Service(rand.Float64())
package fleet
