package forward

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const tokenFields = 3

// ResumeToken identifies the position at which a streamed answer can be resumed.
// Callers receive it as the id of each event and return it in Last-Event-ID.
type ResumeToken struct {
	RequestID string
	Offset    int // number of tokens that the caller has
	Server    string
}

// ResumeTokenError is the error for a resume token that can't be parsed.
type ResumeTokenError struct{ Token string }

// Error returns a message with the quoted token.
func (e *ResumeTokenError) Error() string {
	return "resume token does not parse: " + strconv.Quote(e.Token)
}

// String returns the text form of the token, which ParseResumeToken parses.
func (t ResumeToken) String() string {
	return t.RequestID + "." + strconv.Itoa(t.Offset) + "." + t.Server
}

// ParseResumeToken parses the text form of a token. The error is a *ResumeTokenError.
func ParseResumeToken(text string) (ResumeToken, error) {
	parts := strings.SplitN(text, ".", tokenFields)
	if len(parts) != tokenFields || parts[0] == "" || parts[2] == "" {
		return ResumeToken{}, &ResumeTokenError{Token: text}
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil || n < 0 {
		return ResumeToken{}, &ResumeTokenError{Token: text}
	}
	return ResumeToken{RequestID: parts[0], Offset: n, Server: parts[2]}, nil
}

// EngineID returns the request id at the engine. It contains a hash of the
// team, so that a team can't resume the answer of another team.
func EngineID(team, requestID string) string {
	var b [8]byte
	h := xxhash.Sum64String(team)
	for i := range b {
		b[i] = byte(h >> (8 * i))
	}
	return hex.EncodeToString(b[:]) + "-" + requestID
}
