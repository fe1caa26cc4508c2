package e2e_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/oper"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// jujubectl runs the operators' client with command line arguments and returns
// its exit code and output.
func jujubectl(t *testing.T, system *whole.Whole, args ...string) (exit.Code, string) {
	t.Helper()
	t.Setenv("JUJUBECTL_PLATFORM", system.PlatformURL)
	cmd := oper.New()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	code := exit.RunContext(t.Context(), cmd, args)
	return code, out.String()
}

// Guards against commands of jujubectl that fail against running daemons: an
// operator evacuates a zone, shows the status and a request, returns the zone,
// applies a manifest and rolls it back.
func TestOperatorCommands(t *testing.T) {
	system := startSystem(t)
	assert.NilError(t, system.OpenOperators())

	code, out := jujubectl(t, system, "zone", "leave", "za", "--reason=power", "--wait", "--wait-limit-ms=60000")
	assert.Equal(t, code, exit.OK, out)
	assert.Assert(t, strings.Contains(out, "bears the load"), out)
	code, out = jujubectl(t, system, "status")
	assert.Equal(t, code, exit.OK, out)
	assert.Assert(t, !strings.Contains(out, "not seen"), out)

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		system.URL()+"/v1/services/setup-sheets", strings.NewReader(`{"input":"fold"}`))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	code, out = jujubectl(t, system, "request", "show", response.Header.Get("X-Request-Id"))
	assert.Equal(t, code, exit.OK, out)
	assert.Assert(t, strings.Contains(out, "setup-sheets for demo, answered"), out)
	assert.Assert(t, !strings.Contains(out, "engines-0"), "the evacuated zone got work:\n%s", out)

	code, out = jujubectl(t, system, "zone", "return", "za", "--wait", "--wait-limit-ms=60000")
	assert.Equal(t, code, exit.OK, out)
	changed := whole.Sample()
	changed.Pipelines[0].DeadlineMs = 2500
	raw, err := json.Marshal(changed)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "manifest.json")
	assert.NilError(t, os.WriteFile(file, raw, 0o600))
	code, out = jujubectl(t, system, "manifest", "apply", file, "--wait", "--wait-limit-ms=60000")
	assert.Equal(t, code, exit.OK, out)
	code, out = jujubectl(t, system, "manifest", "rollback", "1", "--wait", "--wait-limit-ms=60000")
	assert.Equal(t, code, exit.OK, out)
	code, out = jujubectl(t, system, "manifest", "history")
	assert.Equal(t, code, exit.OK, out)
	for _, action := range []string{"apply", "rollback", "zoneLeave", "zoneReturn", "power"} {
		assert.Assert(t, strings.Contains(out, action), out)
	}
}
