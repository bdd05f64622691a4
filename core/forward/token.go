package forward

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const tokenParts = 3

// Token tells where a streamed answer can be resumed. Callers get it as the id
// of each event and give it back as Last-Event-ID.
type Token struct {
	RequestID string
	Offset    int // tokens that the caller has
	Server    string
}

// BadToken is the failure of a token that does not parse.
type BadToken struct{ Token string }

// Error names the token.
func (e *BadToken) Error() string { return "resume token does not parse: " + strconv.Quote(e.Token) }

// String returns the token's text.
func (t Token) String() string {
	return t.RequestID + "." + strconv.Itoa(t.Offset) + "." + t.Server
}

// ParseToken returns the token of a text, or a *BadToken.
func ParseToken(text string) (Token, error) {
	parts := strings.SplitN(text, ".", tokenParts)
	if len(parts) != tokenParts || parts[0] == "" || parts[2] == "" {
		return Token{}, &BadToken{Token: text}
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil || n < 0 {
		return Token{}, &BadToken{Token: text}
	}
	return Token{RequestID: parts[0], Offset: n, Server: parts[2]}, nil
}

// EngineID returns the request id at the engine. It contains a hash of the
// team, so that no team can resume another's answer.
func EngineID(team, requestID string) string {
	var b [8]byte
	h := xxhash.Sum64String(team)
	for i := range b {
		b[i] = byte(h >> (8 * i))
	}
	return hex.EncodeToString(b[:]) + "-" + requestID
}
