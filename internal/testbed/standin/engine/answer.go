package engine

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"guavapaddle/core/backend"
)

// Token returns token i, counted from zero, of the output of item for prompt.
func Token(item backend.Item, prompt string, i int) string {
	h := xxhash.Sum64String(item.String() + "\x00" + prompt + "\x00" + strconv.Itoa(i))
	return " t" + fmt.Sprintf("%016x", h)[:6]
}

// ExpectedTokens returns the first n tokens of the output of item for prompt.
func ExpectedTokens(item backend.Item, prompt string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = Token(item, prompt, i)
	}
	return out
}
