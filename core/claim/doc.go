// Package claim decides who may send a call that must run at most once, and
// what everyone else who asks for the same call is told.
//
// A claim is one row of the table for each pair of team and idempotency
// key. Its states:
//
//	absent ──insert──▶ claimed ──▶ done      (the answer is stored)
//	                    │  ├─────▶ unknown   (sent, the answer was lost)
//	                    │  └─────▶ released  (provably not run)
//	                    ▲                │
//	                    └──insert────────┘
//
// Every arrow is one conditional write. Two rules carry the proof:
//
//   - A row that is claimed is changed only by the holder of its attempt id.
//     So a holder whose write has an unknown fate can write it again: either
//     write takes effect and the other then fails its condition.
//   - A release is a write, never a deletion. So an insert that arrives late
//     finds a row where its condition demands none and has no effect.
//
// The holder sends the call after its insert is known to have taken effect, and
// never again once a send may have run. The clock decides only what an asker is
// told (in-progress or unknown), never whether a call may be sent.
//
// # Usage
//
// A node that wants to send makes a Claim with a new attempt id and commits
// Insert(mine, 0). When the fate of the write is not known, the row is read and
// Change.Fate tells it. On Lost, Ask judges the row that stands in the way:
//
//	c := claim.Insert(mine, 0)
//	switch v := claim.Ask(standing, mine, now, dead); v.Kind {
//	case claim.Free:   // commit claim.Insert(mine, v.Revision)
//	case claim.Stored: // give v.Answer
//	case claim.Closed: // tell v.Err
//	}
//
// The holder ends with Held.Finish, Held.Lose or Held.Release. A node that gives
// up on an insert of unknown fate has not sent, tells its caller not run, and
// commits what Settle returns when the table is back.
//
// Batches make the removal of old claims cheap: see Batch and Sweep.
package claim
