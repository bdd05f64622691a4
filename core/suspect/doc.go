// Package suspect finds requests that crash the backend servers that run them,
// and stops them after two servers.
//
// Every request in flight at a server when it crashes gets a mark: the
// incident (server and boot id) is noted under the request's fingerprint. The
// marks of a fingerprint decide what may be done with it:
//
//	no incident   Clear   it runs as any request
//	one           Alone   it runs on trial: once at a time in the whole system,
//	                      and on a server where no other marked request runs
//	two or more   Refuse  it is refused
//
// A request on trial is charged before it is sent, with an incident that names
// its attempt. So while it runs, and if nobody ever hears of it again, it has
// two incidents and is refused everywhere. Success clears all incidents known
// by then. A server crashes with many requests in flight, all but one innocent:
// each succeeds on its trial and loses its mark.
//
// A Mark is a set of incidents and a set of cleared incidents. Merging takes
// the union of both, so that marks may arrive late, doubled and in any order
// (an observed-remove set; Shapiro et al., "A comprehensive study of convergent
// and commutative replicated data types", 2011).
//
// Marks live in two places. Set is the copy of a node, which nodes pass on to
// each other. The table keeps the marks of each fingerprint in one row: it is
// read before every retry after a crash and every trial, never for a first
// attempt, and charged by a conditional write. During an outage of the table
// only the node that had the first attempt in flight may try it again.
//
// At most two servers are lost to one fingerprint if no second copy of it is
// sent before the first crash is known. So a node that saw a crash tells all
// others, and waits for them for a bounded time, before it answers its caller;
// and Copies sends copies that run at the same time to the same server.
//
// # Usage
//
//	changed := set.Crash(now, suspect.Incident{Server: "e7", BootID: boot}, inflight)
//	// tell the other nodes of changed; then, for a request to retry:
//	p, err := set.Plan(now, fp, trial, markRow, slotRow)
//	// commit p.Tx if p.Verdict is Alone, and set.Charged(now, fp, trial) when it took
//	set.Success(now, fp)
package suspect
