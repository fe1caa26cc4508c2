package reach_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
)

// connect runs a command that only connects.
func connect(t *testing.T, args ...string) (exit.Code, string) {
	t.Helper()
	options := reach.New()
	root := &cobra.Command{Use: "jujubectl", RunE: func(*cobra.Command, []string) error {
		_, err := options.Connect()
		return err
	}}
	options.AddFlags(root)
	var errs bytes.Buffer
	root.SetErr(&errs)
	code := exit.RunContext(t.Context(), root, args)
	return code, errs.String()
}

func TestErrorsOfInvalidOptions(t *testing.T) {
	notPEM := filepath.Join(t.TempDir(), "ca.pem")
	assert.NilError(t, os.WriteFile(notPEM, []byte("x"), 0o600))
	cases := map[string]struct{ flag, want string }{
		"output":          {"--output=yaml", `"yaml" is not allowed; allowed: text, json`},
		"platform":        {"--platform=7000", "allowed: http://HOST:PORT"},
		"platform's CA":   {"--platform-ca=" + notPEM, "no certificate in it"},
		"operators' port": {"--operators-port=x", "allowed: 0 to 65535"},
		"token file":      {"--token-file=/nowhere", "/nowhere"},
		"daemons' CA":     {"--ca=/nowhere", "/nowhere"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, errs := connect(t, c.flag)
			assert.Equal(t, code, exit.Usage)
			assert.Assert(t, strings.Contains(errs, c.want), errs)
		})
	}
}

func TestFlagsOverrideTheEnvironment(t *testing.T) {
	t.Setenv("JUJUBECTL_OUTPUT", "yaml")
	code, _ := connect(t)
	assert.Equal(t, code, exit.Usage)
	code, errs := connect(t, "--output=json")
	assert.Equal(t, code, exit.OK, errs)
}
