// Package apikey finds out who holds an API key without keeping the key.
//
// A key is reduced to its SHA-256 digest when it is read, and only digests are
// kept and compared. Index looks a digest up by a short prefix and compares the
// candidates in constant time, so that the time of a look-up tells at most
// whether a digest with that prefix exists.
//
// Bearer reads the key of a request from its Authorization fields (RFC 6750,
// section 2.1). A Digest prints as a few hexadecimal digits, enough to find a
// key in logs and too few to find the key.
//
// # Usage
//
//	var x apikey.Index[string]
//	x.Add(apikey.Sum("secret"), "desk")
//	key, err := apikey.Bearer(header["Authorization"])
//	team, ok := x.Find(apikey.Sum(key))
package apikey
