package gateway_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEachReasonIsDocumented guards against reasons that the operators' page doesn't
// explain, and against rows of the page without a reason in the code.
func TestEachReasonIsDocumented(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "outcome.go", nil, 0)
	require.NoError(t, err)
	code := map[string]bool{"busy": true} // a reason of core/balance that the gateway passes on
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || v.Type == nil {
			return true
		}
		if name, ok := v.Type.(*ast.Ident); !ok || name.Name != "Reason" {
			return true
		}
		lit, ok := v.Values[0].(*ast.BasicLit)
		require.True(t, ok)
		s, err := strconv.Unquote(lit.Value)
		require.NoError(t, err)
		code[s] = true
		return true
	})
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	rows := map[string]bool{}
	_, table, found := bytes.Cut(page, []byte("## Reasons"))
	require.True(t, found)
	table, _, _ = bytes.Cut(table, []byte("## "))
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|([^|]*\\|){3}$").FindAllSubmatch(table, -1) {
		rows[string(m[1])] = true
	}
	require.Equal(t, code, rows)
}
