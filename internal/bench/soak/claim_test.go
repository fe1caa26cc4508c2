package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check that finds no claim, or calls a true one false.
func TestFalseClaimsAreFound(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	line := func(ms int, text string) string {
		return "time=" + began.Add(time.Duration(ms)*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00") + " level=info " + text + "\n"
	}
	inForce := func(ms, version int) string {
		return line(ms, fmt.Sprintf(`msg="configuration in force" configuration=%d`, version))
	}
	ended := func(ms, version, age, took, status int) string {
		return line(ms, fmt.Sprintf(`msg="request ended" request=r configuration=%d configurationAgeMs=%d claim=1/2,1/2,store status=%d tookMs=%d`, version, age, status, took))
	}
	for name, tt := range map[string]struct {
		lines string
		want  int64
	}{
		"old, by an old confirmation": {ended(5000, 1, 4100, 10, 200), 0},
		"old, by a young one":         {ended(5000, 1, 600, 10, 200), 1},
		"denied by a young one":       {ended(5000, 1, 600, 0, 404), 1},
		"refused":                     {ended(5000, 1, 600, 10, 503), 0},
		"decided early, ended late":   {ended(5000, 1, 100, 4000, 200), 0},
		"the newest":                  {ended(5000, 2, 10, 10, 200), 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{Options: Options{Folder: t.TempDir()}}
			for i, text := range []string{inForce(100, 1) + inForce(1000, 2), tt.lines} {
				p := &process{name: fmt.Sprint("gateway-", i), folder: r.Folder}
				assert.NilError(t, os.WriteFile(filepath.Join(r.Folder, p.name+".log"), []byte(text), 0o600))
				r.processes = append(r.processes, p)
			}
			r.checkClaims()
			assert.Equal(t, r.falseClaims.Load(), tt.want, "%v", r.violations)
		})
	}
}
