// Package departure records which backend servers have announced that they leave.
//
// A server's store entry may show this late or never, and an entry that was read
// earlier may arrive after the server's own announcement. A server that leaves
// never returns in the same incarnation, so its announcement overrides any list.
//
// # Usage
//
//	var s departure.Set
//	if s.Add(departure.Incarnation{ID: "i-7", Born: startTime}) { ... }
//	servers = s.MarkLeaving(servers)
//
// A Set is not safe for concurrent use.
package departure
