package exit_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/ops/fleet"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

func TestCodeOfError(t *testing.T) {
	cases := map[string]struct {
		err  error
		want exit.Code
	}{
		"none":                           {nil, exit.OK},
		"other":                          {errors.New("x"), exit.Failed},
		"coded":                          {fmt.Errorf("while: %w", exit.With(exit.Unsafe, errors.New("x"))), exit.Unsafe},
		"invalid":                        {fmt.Errorf("while: %w", &fault.InvalidListError{}), exit.Invalid},
		"conflict":                       {&store.ConflictError{}, exit.Conflict},
		"unavailable":                    {&store.UnavailableError{Cause: errors.New("x")}, exit.Unavailable},
		"unknown":                        {&store.UnknownError{Cause: errors.New("x")}, exit.Unknown},
		"conflict of an operator":        {&apply.ConflictError{}, exit.Conflict},
		"gave up, may have taken effect": {&apply.GaveUpError{Unknown: true, Cause: &store.ConflictError{}}, exit.Unknown},
		"gave up, nothing written":       {&apply.GaveUpError{Cause: &store.UnavailableError{Cause: errors.New("x")}}, exit.Unavailable},
		"store is behind":                {&apply.StoreBehindError{}, exit.Unavailable},
		"no such release":                {&apply.NotFoundError{}, exit.NotFound},
		"not in force":                   {&apply.NotInForceError{}, exit.NotInForce},
		"wrong token":                    {&fleet.StatusError{Status: http.StatusUnauthorized}, exit.Denied},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, exit.Of(c.err), c.want) })
	}
}

func TestInvalidCommandLine(t *testing.T) {
	for _, args := range [][]string{{"--nope"}, {"one"}} {
		cmd := &cobra.Command{Use: "tool", Args: exit.Args(cobra.NoArgs), RunE: func(*cobra.Command, []string) error { return nil }}
		var out bytes.Buffer
		cmd.SetErr(&out)
		assert.Equal(t, exit.RunContext(t.Context(), cmd, args), exit.Usage)
		assert.Assert(t, out.Len() > 0)
	}
}

func TestGroupNeedsSubcommand(t *testing.T) {
	for name, args := range map[string][]string{"none": nil, "unknown": {"nope"}} {
		t.Run(name, func(t *testing.T) {
			root := exit.Group(&cobra.Command{Use: "tool"})
			root.AddCommand(&cobra.Command{Use: "one", Run: func(*cobra.Command, []string) {}})
			root.SetOut(&bytes.Buffer{})
			root.SetErr(&bytes.Buffer{})
			assert.Equal(t, exit.RunContext(t.Context(), root, args), exit.Usage)
		})
	}
}
