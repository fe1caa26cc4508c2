package intake_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/intake"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
)

// Guards against a configuration that stays in force although the store holds another one under its version: its operator has
// counted on from a copy of the store, or a peer has sent wrong contents.
func TestOtherContentsUnderTheSameVersionComeIntoForce(t *testing.T) {
	for name, tt := range map[string]struct{ before, after store.Revision }{
		"written again after a return": {store.Revision{Era: 2, Number: 7}, store.Revision{Era: 3, Number: 7}},
		"corrected by a list":          {store.Revision{Era: 3, Number: 7}, store.Revision{Era: 3, Number: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			book := proof.New(t.Context(), 2*clock.Second, 0)
			tables := make(map[string]*table.Table)
			for _, content := range []string{"lost", "current"} {
				tables[content] = table.New(table.Content{Version: 7})
			}
			i := intake.New("config/main", book, func(raw []byte) (*table.Table, error) { return tables[string(raw)], nil })
			i.TakeList([]store.Object{{Name: "config/main", Version: tt.before, Value: []byte("lost"), Digest: 1}}, 0)
			i.Next()
			i.TakeList([]store.Object{{Name: "config/main", Version: tt.after, Value: []byte("current"), Digest: 2}}, 0)
			i.Next()
			assert.Equal(t, book.Table(), tables["current"])
		})
	}
}
