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

// State is the state of a claim.
type State string

const (
	// Claimed means that the holder may send the call or has already sent it.
	Claimed State = "claimed"
	// Done means that the call was answered and its answer is stored.
	Done State = "done"
	// Unknown means that the call was sent and its answer was lost, so that it
	// may or may not have run.
	Unknown State = "unknown"
	// Released means that the call provably did not run: a new claim may replace
	// this row.
	Released State = "released"
)

const (
	// Prefix is the key prefix of claim rows.
	Prefix = "claim/"
	// DefaultRetention is how long a claim is kept. A call that is repeated
	// later than this after its first claim runs again.
	DefaultRetention = 24 * time.Hour
	// DefaultInlineBytes is the size of the largest body that is stored in the
	// row. Larger bodies are stored in the object store.
	DefaultInlineBytes = 64 << 10
	// ClockMargin is the time after a claim's deadline before requesters get
	// unknown. It allows for clock differences between VMs.
	ClockMargin = 2 * time.Second

	keyHexDigits = 40
)

type (
	// Claim is the value of a claim row.
	Claim struct {
		State       State          `json:"state"`
		Team        string         `json:"team"`
		BodyHash    string         `json:"body-hash"` // see BodyHash
		Attempt     string         `json:"attempt"`   // unique for each attempt of a node to send a call
		Node        string         `json:"node"`      // holder
		Incarnation uint64         `json:"incarnation"`
		RequestID   string         `json:"request-id"`
		AtMS        int64          `json:"at-ms"`       // holder's clock, milliseconds since 1970
		DeadlineMS  int64          `json:"deadline-ms"` // holder's clock, milliseconds since 1970
		Reason      outcome.Reason `json:"reason,omitempty"`
		Answer      *Answer        `json:"answer,omitempty"` // for state done
	}

	// Answer is the response of a plain service.
	Answer struct {
		Status int                 `json:"status"`
		Header map[string][]string `json:"header,omitempty"`
		Body   []byte              `json:"body,omitempty"`
		Object string              `json:"object,omitempty"` // key in the object store, if the body is there
		Lost   bool                `json:"lost,omitempty"`   // storing the body failed
	}

	// Held is a claim that this node holds, with the revision of its row.
	Held struct {
		Key      string
		Revision uint64
		Claim    Claim
	}
)

// Key returns the row key of an idempotency key of a team. Equal keys of
// different teams have different rows.
func Key(team, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + idempotencyKey))
	return Prefix + hex.EncodeToString(sum[:])[:keyHexDigits]
}

// BodyHash returns a hash of the whole call. It distinguishes a repeated call
// from a different call with the same key.
func BodyHash(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{service, method, path} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s) // writes to a hash never fail
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Decode returns the claim in r, and false if r is absent.
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

// Finish returns the change that stores the answer a.
func (h Held) Finish(a Answer) Change {
	c := h.Claim
	c.State, c.Answer = Done, &a
	return Change{Key: h.Key, Revision: h.Revision, Claim: c}
}

// MarkUnknown returns the change that sets the state to Unknown because the answer was
// lost for reason r.
func (h Held) MarkUnknown(r outcome.Reason) Change {
	c := h.Claim
	c.State, c.Reason = Unknown, r
	return Change{Key: h.Key, Revision: h.Revision, Claim: c}
}

// Release returns the change that allows the call to be claimed again. It may
// be committed only if the call provably did not run and will not be sent
// under h.
func (h Held) Release() Change {
	c := h.Claim
	c.State = Released
	return Change{Key: h.Key, Revision: h.Revision, Claim: c}
}
