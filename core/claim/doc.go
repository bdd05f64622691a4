// Package claim decides which node may send a call that must run at most once,
// and what other requesters of the same call receive.
//
// A claim is a row of the table, one for each pair of team and idempotency key.
// Its states are:
//
//	absent ──insert──▶ claimed ──▶ done      (the answer is stored)
//	                    │  ├─────▶ unknown   (sent, the answer was lost)
//	                    │  └─────▶ released  (provably not run)
//	                    ▲                │
//	                    └──insert────────┘
//
// Each transition is one conditional write. At-most-once execution follows from
// two rules:
//
//   - A claimed row is changed only by the holder of its attempt id. A holder
//     that does not know the outcome of a write can therefore repeat it: one of
//     the two writes is committed and the condition of the other fails.
//   - A release is a write, never a deletion. An insert that arrives late
//     therefore finds a row although its condition requires that there is none,
//     and is not committed.
//
// The holder sends the call after its insert is known to be committed, and does
// not send it again once an earlier send may have run. The clock only decides
// whether a requester gets in-progress or unknown, never whether a call may be
// sent.
//
// # Usage
//
// A node that wants to send a call creates a Claim with a new attempt id and
// commits the change returned by Insert. If the outcome of the write is not
// known, the node reads the row and calls Change.Outcome. If the change is Lost,
// Evaluate evaluates the row that was found instead:
//
//	c := claim.Insert(key, own, 0)
//	v, err := claim.Evaluate(current, own, now, dead)
//	switch v.Decision {
//	case claim.Free:   // commit claim.Insert(key, own, v.Revision)
//	case claim.Stored: // return v.Answer
//	case claim.Denied: // return v.Err
//	}
//
// The holder ends its claim with Held.Finish, Held.MarkUnknown or Held.Release. A node
// that gives up on an insert whose outcome is unknown has not sent the call. It
// reports to its caller that the call did not run, and commits the change
// returned by Settle when the table is available again.
//
// Batches make the removal of old claims cheap: see Batch and Sweep.
package claim
