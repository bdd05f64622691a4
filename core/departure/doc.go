// Package departure remembers which backend servers have said that they leave.
//
// A server's entry in the store may say so late or never, and an entry read before may
// come after the server's own word. A server that leaves never comes back in the same
// incarnation, so what it said holds over any list.
//
// # Usage
//
//	var s departure.Set
//	if s.Add(departure.Incarnation{ID: "i-7", Born: born}) { ... }
//	servers = s.Apply(servers)
//
// A Set is not safe for concurrent use.
package departure
