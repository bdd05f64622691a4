// Package fleet holds what a node knows of the deployment that it serves: the
// routes with what may be repeated on them, the services with the models that
// their backend servers can hold, the bounds on callers, and the backend
// servers that are there now.
//
// All values are immutable: a change is a new value. A Config indexes its
// routes when it is made, so that Match costs a walk over the routes of one
// host only.
//
// # Usage
//
//	c := fleet.NewConfig(version, routes, services, limits)
//	r, ok := c.Match("desk.example", "/plans/42")
//	s := r.Service(rand.Float64())
package fleet
