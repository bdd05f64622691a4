package apikey

import "strings"

const (
	// LongestKey bounds a key, in bytes.
	LongestKey = 256
	scheme     = "Bearer"
)

type (
	// Problem says why a request's credentials can't be used.
	Problem string

	// CredentialsError means that a request carries no usable key.
	CredentialsError struct{ Problem Problem }
)

const (
	// Missing means that there are no credentials.
	Missing Problem = "missing"
	// Repeated means that there are several.
	Repeated Problem = "repeated"
	// OtherScheme means that they aren't of the scheme Bearer.
	OtherScheme Problem = "other-scheme"
	// Malformed means that the key is empty, too long, or has bytes that no key has.
	Malformed Problem = "malformed"
)

// Error tells the problem.
func (e *CredentialsError) Error() string { return "credentials: " + string(e.Problem) }

// Bearer returns the key in the values of a request's Authorization fields. The
// scheme may be in any case. The error is a *CredentialsError.
func Bearer(values []string) (string, error) {
	switch len(values) {
	case 0:
		return "", &CredentialsError{Missing}
	case 1:
	default:
		return "", &CredentialsError{Repeated}
	}
	name, key, found := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if name == "" {
		return "", &CredentialsError{Missing}
	}
	if !strings.EqualFold(name, scheme) {
		return "", &CredentialsError{OtherScheme}
	}
	key = strings.Trim(key, " \t")
	if !found || key == "" || len(key) > LongestKey || !isToken(key) {
		return "", &CredentialsError{Malformed}
	}
	return key, nil
}

// isToken tells whether all bytes may be in a key: those of RFC 6750's b64token,
// and other visible ASCII but for the separators that would begin a second value.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '"' {
			return false
		}
	}
	return true
}
