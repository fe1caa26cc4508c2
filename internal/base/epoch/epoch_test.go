package epoch_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/epoch"
)

func ExampleRevision() {
	before, after := epoch.Revision{Era: 1, Number: 500}, epoch.Revision{Era: 2, Number: 310}
	fmt.Println(before, after, before.Before(after), epoch.Latest(before, after))
	// Output: 1/500 2/310 true 2/310
}

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []epoch.Revision{{}, {Number: 1}, {Number: 9}, {Era: 1}, {Era: 1, Number: 7}, {Era: 2, Number: 3}, {Era: 2, Number: 4}, {Era: 10, Number: 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, a.Before(b), i < j, "%v before %v", a, b)
			assert.Equal(t, a.Compare(b) == 0, i == j, "%v and %v", a, b)
			assert.Equal(t, a.EraBefore(b), i < j && a.Era != b.Era, "era of %v before that of %v", a, b)
		}
	}
}

// Guards against revisions that are ordered by their number alone, which goes back when the store
// returns from a copy: only Revision.Compare may order the fields that hold such numbers.
func TestNoCodeOrdersBareRevisions(t *testing.T) {
	numbers := map[string]bool{"Number": true, "Era": true, "Revision": true, "Changed": true, "Since": true, "Over": true}
	// Releases of the own interface have numbers that no store gives out.
	allowed := map[string]bool{"epoch.go": true, "release.go": true, "agent.go": true}
	root := filepath.Join("..", "..", "..")
	for _, area := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, area), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
				strings.Contains(path, string(filepath.Separator)+"stand"+string(filepath.Separator)) || allowed[entry.Name()] {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				for _, operand := range orderedOperands(node) {
					if field, ok := operand.(*ast.SelectorExpr); ok && numbers[field.Sel.Name] {
						t.Errorf("%s orders %s, which is a number of one era", files.Position(node.Pos()), field.Sel.Name)
					}
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
}

// orderedOperands returns the operands of a comparison, and the arguments of min and max.
func orderedOperands(node ast.Node) []ast.Expr {
	switch n := node.(type) {
	case *ast.BinaryExpr:
		if n.Op == token.LSS || n.Op == token.LEQ || n.Op == token.GTR || n.Op == token.GEQ {
			return []ast.Expr{n.X, n.Y}
		}
	case *ast.CallExpr:
		if name, ok := n.Fun.(*ast.Ident); ok && (name.Name == "min" || name.Name == "max") {
			return n.Args
		}
	}
	return nil
}
