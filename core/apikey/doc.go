// Package apikey identifies the owner of an API key without storing the key.
//
// Keys are replaced by their SHA-256 digests when they are read, and only digests
// are stored and compared. Index looks up a digest by a short prefix and compares
// the candidates in constant time, so the duration of a look-up reveals at most
// whether a digest with that prefix exists.
//
// Bearer reads the key of a request from its Authorization fields (RFC 6750,
// section 2.1). A Digest prints as a few hexadecimal digits, which are enough to
// identify a key in logs but too few to recover it.
//
// # Usage
//
//	var x apikey.Index[string]
//	x.Add(apikey.Sum("secret"), "desk")
//	key, err := apikey.Bearer(header["Authorization"])
//	team, ok := x.Find(apikey.Sum(key))
package apikey
