// Package delta compares two manifests and lists the differences by path. It matches
// entries of lists by their names, so a moved entry is not a difference. The exceptions
// are stages, which run in their order, and models, which load in their order: a
// changed order of those is a difference.
package delta

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference. From and To are JSON. From is absent if the path was
// added, To if it was removed.
type Change struct {
	Path string          `json:"path"`
	Kind Kind            `json:"kind"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.To)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.From)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.From, c.To)
	}
}

// Compare returns the differences between two manifests, ordered by path. It treats a
// nil manifest as an empty one.
func Compare(from, to *manif.Manifest) ([]Change, error) {
	left, err := generic(from)
	if err != nil {
		return nil, err
	}
	right, err := generic(to)
	if err != nil {
		return nil, err
	}
	var c comparison
	c.compare("", left, right)
	sort.SliceStable(c.changes, func(i, j int) bool { return c.changes[i].Path < c.changes[j].Path })
	return c.changes, nil
}

// generic converts a manifest into maps, lists and values, as json.Unmarshal returns
// them.
func generic(m *manif.Manifest) (any, error) {
	if m == nil {
		m = &manif.Manifest{}
	}
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	var out any
	err = json.Unmarshal(raw, &out)
	return out, err
}

type comparison struct {
	changes []Change
}

func (c *comparison) compare(path string, from, to any) {
	leftObject, isLeft := from.(map[string]any)
	rightObject, isRight := to.(map[string]any)
	if isLeft && isRight {
		c.compareObjects(path, leftObject, rightObject)
		return
	}
	if isList(from) && isList(to) {
		c.compareLists(path, listOf(from), listOf(to))
		return
	}
	if !reflect.DeepEqual(from, to) {
		c.addChange(path, from, to)
	}
}

// isList reports whether a value is a list. Null is an empty list, because Go's encoder
// writes a nil slice as null.
func isList(node any) bool {
	_, ok := node.([]any)
	return ok || node == nil
}

func listOf(node any) []any {
	list, _ := node.([]any) // a nil node gives an empty list
	return list
}

func (c *comparison) compareObjects(path string, from, to map[string]any) {
	names := make(map[string]bool)
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	for name := range names {
		c.compare(strings.TrimPrefix(path+"."+name, "."), from[name], to[name])
	}
}

func (c *comparison) compareLists(path string, from, to []any) {
	left, right := identities(from), identities(to)
	for i, name := range left {
		at := path + "[" + name + "]"
		if j := slices.Index(right, name); j >= 0 {
			c.compare(at, from[i], to[j])
		} else {
			c.addChange(at, from[i], nil)
		}
	}
	for j, name := range right {
		if !slices.Contains(left, name) {
			c.addChange(path+"["+name+"]", nil, to[j])
		}
	}
	c.compareOrder(path, left, right)
}

// compareOrder adds a change if the entries that are in both lists are in a different
// order. It does so only for stages and models.
func (c *comparison) compareOrder(path string, left, right []string) {
	if !strings.HasSuffix(path, ".stages") && !strings.HasSuffix(path, ".models") {
		return
	}
	common := func(names, others []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(others, name) })
	}
	before, after := common(left, right), common(right, left)
	if !slices.Equal(before, after) {
		c.addChange(path+" order", before, after)
	}
}

func (c *comparison) addChange(path string, from, to any) {
	change := Change{Path: path, Kind: Changed, From: encode(from), To: encode(to)}
	switch {
	case from == nil:
		change.Kind, change.From = Added, nil
	case to == nil:
		change.Kind, change.To = Removed, nil
	}
	c.changes = append(c.changes, change)
}

func identities(list []any) []string {
	names := make([]string, 0, len(list))
	for i, entry := range list {
		names = append(names, identity(entry, i))
	}
	return names
}

// identity returns the text that identifies an entry within its list. For an object it
// is the name, the model, the method and path, or else the index; for any other value
// it is the value itself.
func identity(entry any, index int) string {
	object, ok := entry.(map[string]any)
	if !ok {
		return fmt.Sprint(entry)
	}
	for _, field := range []string{"name", "model"} {
		if name, found := object[field].(string); found {
			return name
		}
	}
	if method, found := object["method"].(string); found {
		return fmt.Sprint(method, " ", object["path"])
	}
	return fmt.Sprint(index)
}

func encode(value any) json.RawMessage {
	raw, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage("null") // the value was decoded from JSON, so encoding can't fail
	}
	return raw
}
