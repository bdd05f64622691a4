package config

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// keyDigits is the number of hex digits of a SHA-256 hash.
const keyDigits = 64

// checker collects the problems of one document.
type checker struct {
	doc      *Document
	problems []Problem

	kinds    map[string]bool
	models   map[string]int // index in the document by name
	adapters map[string]int // index in the document by name
	services map[string]int // index in the document by name
	engines  int            // number of servers of type engine
}

func (c *checker) add(path string, code Code, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Code: code, Detail: fmt.Sprintf(format, args...)})
}

// elementPath returns the path of element i of a list.
func elementPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// name checks that a name or version consists of letters, digits and
// ". _ - / :" and starts with a letter or digit.
func (c *checker) name(path, name string) {
	if name == "" {
		c.add(path, Missing, "a name is required")
		return
	}
	if len(name) > MaxNameLength {
		c.add(path, BadName, "%d bytes long, at most %d are allowed", len(name), MaxNameLength)
		return
	}
	for i, r := range name {
		if isAlphanumeric(r) || (i > 0 && strings.ContainsRune("._-/:", r)) {
			continue
		}
		c.add(path, BadName, "%q: letters, digits and . _ - / : are allowed, the first a letter or digit", name)
		return
	}
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

// unique checks that value is not yet in seen, which maps each value to
// the path of its first occurrence, and adds it. Empty values are ignored.
func (c *checker) unique(seen map[string]string, path, value, what string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(path, Duplicate, "the %s %q stands at %s already", what, value, first)
		return
	}
	seen[value] = path
}

func (c *checker) int(path string, v int64, b intBound) {
	if v < b.min || v > b.max {
		c.add(path, OutOfRange, "%d, allowed is %d to %d", v, b.min, b.max)
	}
}

func (c *checker) float(path string, v float64, b floatBound) {
	if b.aboveMin && v > b.min && v <= b.max || !b.aboveMin && v >= b.min && v <= b.max {
		return
	}
	lower := "from"
	if b.aboveMin {
		lower = "above"
	}
	c.add(path, OutOfRange, "%s, allowed is %s %s to %s", formatNumber(v), lower, formatNumber(b.min), formatNumber(b.max))
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// reference checks that a referenced name is given and, by known, that it is
// declared.
func (c *checker) reference(path, name, what string, known bool) {
	if name == "" {
		c.add(path, Missing, "the name of a %s is required", what)
		return
	}
	if !known {
		c.add(path, UnknownReference, "no %s %q is declared", what, name)
	}
}

// keyHash checks that hash is KeyHashPrefix followed by a SHA-256 hash in hex.
func (c *checker) keyHash(path, hash string) {
	digits, ok := strings.CutPrefix(hash, KeyHashPrefix)
	if _, err := hex.DecodeString(digits); ok && err == nil && len(digits) == keyDigits {
		return
	}
	c.add(path, BadKeyHash, "\"sha256:\" and %d hex digits are required, the SHA-256 of the key", keyDigits)
}
