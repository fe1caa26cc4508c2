package router

import (
	"context"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// Guards against a process that stops and removes the entry of the next run under its name, which its peers then don't use.
func TestStoppedProcessLeavesTheEntryOfTheNextRun(t *testing.T) {
	self, next := token.NewIncarnation(), token.NewIncarnation()
	for name, c := range map[string]struct {
		listed token.Incarnation
		left   bool
	}{"own entry": {self, false}, "entry of the next run": {next, true}} {
		t.Run(name, func(t *testing.T) {
			value, err := json.Marshal(memberEntry{Member: mesh.Member{Name: "g-1", Incarnation: c.listed}})
			assert.NilError(t, err)
			object, left := store.Object{Name: "members/g-1", Version: store.Revision{Number: 5}, Value: value}, true
			g := &Gateway{incarnation: self, Settings: Settings{Name: "g-1", Dialect: Dialect{MemberKind: "members"}, Store: &store.Store{
				GetFunc: func(context.Context, string) (store.Object, error) { return object, nil },
				DeleteFunc: func(context.Context, string, store.Revision) error {
					left = false
					return nil
				},
			}}}
			g.Deregister(t.Context())
			assert.Equal(t, left, c.left)
		})
	}
}
