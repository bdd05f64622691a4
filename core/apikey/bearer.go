package apikey

import "strings"

const (
	// MaxKeyBytes is the maximum length of a key in bytes.
	MaxKeyBytes = 256
	// scheme is the authentication scheme of RFC 6750.
	scheme = "Bearer"
)

type (
	// Problem is the reason why a request's credentials can't be used.
	Problem string

	// CredentialsError means that a request has no usable key.
	CredentialsError struct{ Problem Problem }
)

const (
	// Missing means that the request has no credentials.
	Missing Problem = "missing"
	// Repeated means that the request has several Authorization fields.
	Repeated Problem = "repeated"
	// OtherScheme means that the authentication scheme isn't Bearer.
	OtherScheme Problem = "other-scheme"
	// Malformed means that the key is empty, too long or has invalid bytes.
	Malformed Problem = "malformed"
)

// Error returns the problem.
func (e *CredentialsError) Error() string { return "credentials: " + string(e.Problem) }

// Bearer returns the key from the values of a request's Authorization fields. The
// scheme is case-insensitive. The error is a *CredentialsError.
func Bearer(values []string) (string, error) {
	switch len(values) {
	case 0:
		return "", &CredentialsError{Missing}
	case 1:
	default:
		return "", &CredentialsError{Repeated}
	}
	schemeName, key, found := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if schemeName == "" {
		return "", &CredentialsError{Missing}
	}
	if !strings.EqualFold(schemeName, scheme) {
		return "", &CredentialsError{OtherScheme}
	}
	key = strings.Trim(key, " \t")
	if !found || key == "" || len(key) > MaxKeyBytes || !isValidKey(key) {
		return "", &CredentialsError{Malformed}
	}
	return key, nil
}

// isValidKey reports whether all bytes of s are allowed in a key: those of
// RFC 6750's b64token and other visible ASCII, except for comma and double quote,
// which could start a second value.
func isValidKey(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '"' {
			return false
		}
	}
	return true
}
