package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
)

// State is where a claim stands.
type State string

const (
	// Claimed means that the holder may send the call or has sent it.
	Claimed State = "claimed"
	// Done means that the call was answered and the answer is stored.
	Done State = "done"
	// Unknown means that the call was sent and its answer was lost.
	Unknown State = "unknown"
	// Released means that the call provably did not run: it may be claimed
	// again over this row.
	Released State = "released"
)

const (
	// Prefix begins the key of every claim row.
	Prefix = "claim/"
	// DefaultRetention is how long a claim is kept: a call repeated later than
	// this after its first claim runs again.
	DefaultRetention = 24 * time.Hour
	// DefaultInlineBytes is the largest body that is stored in the row itself.
	// Larger ones go to the object store.
	DefaultInlineBytes = 64 << 10
	// ClockMargin is added to a claim's deadline before an asker is told that
	// its fate is unknown, for clocks that differ between VMs.
	ClockMargin = 2 * time.Second

	keyHexDigits = 40
)

type (
	// Claim is the value of a claim row.
	Claim struct {
		State       State          `json:"state"`
		Team        string         `json:"team"`
		BodyHash    string         `json:"body-hash"` // see BodyHash
		Attempt     string         `json:"attempt"`   // unique for each try of a node to send a call
		Node        string         `json:"node"`      // holder
		Incarnation uint64         `json:"incarnation"`
		RequestID   string         `json:"request-id"`
		AtMS        int64          `json:"at-ms"`       // holder's clock, milliseconds since 1970
		DeadlineMS  int64          `json:"deadline-ms"` // holder's clock, milliseconds since 1970
		Reason      outcome.Reason `json:"reason,omitempty"`
		Answer      *Answer        `json:"answer,omitempty"` // for state done
	}

	// Answer is what a plain service answered.
	Answer struct {
		Status int                 `json:"status"`
		Header map[string][]string `json:"header,omitempty"`
		Body   []byte              `json:"body,omitempty"`
		Object string              `json:"object,omitempty"` // key in the object store, if the body is there
		Lost   bool                `json:"lost,omitempty"`   // the body could not be stored
	}

	// Held is a claim that this node holds, as its row stands.
	Held struct {
		Key      string
		Revision uint64
		Claim    Claim
	}
)

// Key returns the row key of a team's idempotency key. Two teams never
// share a row.
func Key(team, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + idempotencyKey))
	return Prefix + hex.EncodeToString(sum[:])[:keyHexDigits]
}

// BodyHash returns the hash that tells whether two calls with the same key are
// the same call.
func BodyHash(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{service, method, path} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s) // a hash does not fail
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Decode returns the claim in r. It returns false if r is absent.
func Decode(r row.Row) (Claim, bool, error) {
	var c Claim
	if r.Revision == 0 {
		return c, false, nil
	}
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return c, true, &RowError{Key: r.Key, Err: err}
	}
	return c, true, nil
}

// Finish returns the change that stores the answer.
func (h Held) Finish(a Answer) Change {
	c := h.Claim
	c.State, c.Answer = Done, &a
	return Change{Key: h.Key, Revision: h.Revision, Claim: c}
}

// Lose returns the change that records that the answer was lost for reason r.
func (h Held) Lose(r outcome.Reason) Change {
	c := h.Claim
	c.State, c.Reason = Unknown, r
	return Change{Key: h.Key, Revision: h.Revision, Claim: c}
}

// Release returns the change that lets the call be claimed again. It may only
// be committed if the call provably did not run and will not be sent under h.
func (h Held) Release() Change {
	c := h.Claim
	c.State = Released
	return Change{Key: h.Key, Revision: h.Revision, Claim: c}
}
