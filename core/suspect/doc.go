// Package suspect identifies requests that crash the backend servers that run
// them, and refuses them after two crashes.
//
// Every request that is in flight at a server when it crashes gets a suspicion
// mark: the incident (server and boot id) is recorded under the request's
// fingerprint. The incidents of a fingerprint that are not cleared decide how the
// request is treated:
//
//	none          Clear   it runs like any other request
//	one           Isolate it runs on trial: at most one trial of it runs in the
//	                      whole system, and on a server where no other marked
//	                      request runs
//	two or more   Refuse  it is refused
//
// A request on trial is charged before it is sent, with an incident that names
// the attempt. It therefore has two incidents, and is refused everywhere, while
// the trial runs and also if its result never becomes known. A success clears
// all incidents known at that time. When a server crashes, all but one of the
// requests in flight are usually harmless: each of these succeeds on its trial
// and is cleared.
//
// A Mark is a set of incidents and a set of cleared incidents. Marks are merged
// by taking the union of both sets, so that they may arrive late, repeatedly and
// in any order (an observed-remove set; Shapiro et al., "A comprehensive study of
// convergent and commutative replicated data types", 2011).
//
// Marks are stored in two places. Set is the copy of one node; nodes send each
// other their changes. The table has one row for the mark of each fingerprint. A
// node reads the row before every retry after a crash and before every trial, but
// not before a first attempt, and charges a trial by a conditional write. During
// an outage of the table only the node that had the first attempt in flight may
// retry it.
//
// A fingerprint crashes at most two servers, provided that no second copy of the
// request is sent before the first crash is known. A node that observes a crash
// therefore broadcasts it, and waits for the acknowledgements for a limited time,
// before it answers the caller. For the same reason UnprovenCopies directs concurrent
// copies to the same server.
//
// # Usage
//
//	changed := set.RecordCrash(now, suspect.Incident{Server: "e7", BootID: boot}, inflight)
//	// broadcast changed; then, for a request to retry:
//	p, err := set.Plan(now, fp, trial, until, markRow, slotRow)
//	// if p.Verdict is Isolate and p.Busy is false, commit p.Tx; once it is committed:
//	set.RecordCharge(now, fp, trial) // broadcast the result and send the request
//	set.RecordSuccess(now, fp)
package suspect
