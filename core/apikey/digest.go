package apikey

import (
	"crypto/sha256"
	"encoding/hex"
)

// printedBytes is the number of bytes of a digest that String prints.
const printedBytes = 4

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// Sum returns the digest of a key.
func Sum(key string) Digest { return sha256.Sum256([]byte(key)) }

// Parse parses a digest of 64 hexadecimal digits.
func Parse(s string) (Digest, bool) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != sha256.Size {
		return Digest{}, false
	}
	return Digest(raw), true
}

// Hex returns the whole digest as 64 hexadecimal digits.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// String returns the first 8 hexadecimal digits, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:printedBytes]) }
