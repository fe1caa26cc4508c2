package e2e_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	promisesPage = "../../docs/PROMISES.md"
	metricsPage  = "../../docs/METRICS.md"
	promiseCount = 9
)

// declaredFunctions returns the names of all functions in the test files of a
// directory.
func declaredFunctions(t *testing.T, directory string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("../..", directory, "*_test.go"))
	assert.NilError(t, err)
	names := make(map[string]bool)
	for _, file := range files {
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		for _, declaration := range tree.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				names[function.Name.Name] = true
			}
		}
	}
	return names
}

// Guards against a page of promises that names tests or metrics that were renamed
// or deleted. Such a promise would be untested without a sign on the page.
func TestPromisesPageNamesTestsAndMetricsThatExist(t *testing.T) {
	page, err := os.ReadFile(promisesPage)
	assert.NilError(t, err)
	metrics, err := os.ReadFile(metricsPage)
	assert.NilError(t, err)
	rows := regexp.MustCompile(`(?m)^\| [1-9] \|.*$`).FindAllString(string(page), -1)
	assert.Equal(t, len(rows), promiseCount)
	testPattern := regexp.MustCompile("`(internal/[a-z0-9/]+)\\.(Test[A-Za-z0-9]+)`")
	counterPattern := regexp.MustCompile("`(jujubescale_[a-z_]+)`")
	for _, row := range rows {
		tests := testPattern.FindAllStringSubmatch(row, -1)
		assert.Check(t, len(tests) > 0, "no test in %s", row)
		for _, test := range tests {
			assert.Check(t, declaredFunctions(t, test[1])[test[2]], "%s has no %s", test[1], test[2])
		}
		counters := counterPattern.FindAllStringSubmatch(row, -1)
		assert.Check(t, len(counters) > 0, "no counter in %s", row)
		for _, name := range counters {
			assert.Check(t, strings.Contains(string(metrics), "`"+name[1]+"`"), "no metric %s", name[1])
		}
	}
}
