package lease

import (
	"encoding/json"
	"strings"
	"time"
)

const (
	sessionPrefix = "lease/session/"
	serverPrefix  = "lease/server/"
)

type (
	// Session is the value of a session's row.
	Session struct {
		Node    string `json:"node"`
		TTLMS   int64  `json:"ttl-ms"`
		Renewal uint64 `json:"renewal"` // number of renewals of the session so far
	}

	// Server is the value of a backend server's row.
	Server struct {
		Holder string          `json:"holder"` // id of the owning session; empty if released
		Node   string          `json:"node"`   // node of that session
		Epoch  uint64          `json:"epoch"`
		Orders json.RawMessage `json:"orders,omitempty"` // recorded for the next owner
	}
)

// SessionKey returns the key of a session's row.
func SessionKey(id string) string { return sessionPrefix + id }

// ServerKey returns the key of a backend server's row.
func ServerKey(server string) string { return serverPrefix + server }

// SessionPrefix returns the prefix of the rows of all sessions.
func SessionPrefix() string { return sessionPrefix }

func (s Session) ttl() time.Duration { return time.Duration(s.TTLMS) * time.Millisecond }

func serverOf(key string) (string, bool) { return strings.CutPrefix(key, serverPrefix) }

func sessionOf(key string) (string, bool) { return strings.CutPrefix(key, sessionPrefix) }

// encode returns v as JSON. It panics on failure, which can't happen for the
// types of this package.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
