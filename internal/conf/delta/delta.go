// Package delta compares two manifests and lists what differs by path. Entries
// of lists are matched by their name, so that moving one is no change, except
// where the order has a meaning: stages run, and models load, in their order.
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

// Kind says how a path differs.
type Kind string

// Kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference. From and To are JSON; From is absent when the path
// was added, To when it was removed.
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

// Compare lists what differs, ordered by path. A nil manifest is an empty one.
func Compare(from, to *manif.Manifest) ([]Change, error) {
	left, err := tree(from)
	if err != nil {
		return nil, err
	}
	right, err := tree(to)
	if err != nil {
		return nil, err
	}
	var c comparison
	c.compare("", left, right)
	sort.SliceStable(c.changes, func(i, j int) bool { return c.changes[i].Path < c.changes[j].Path })
	return c.changes, nil
}

// tree turns a manifest into JSON's generic form.
func tree(m *manif.Manifest) (any, error) {
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
		c.objects(path, leftObject, rightObject)
		return
	}
	if isList(from) && isList(to) {
		c.lists(path, listOf(from), listOf(to))
		return
	}
	if !reflect.DeepEqual(from, to) {
		c.addChange(path, from, to)
	}
}

// isList takes null for an empty list, as Go's encoder writes it.
func isList(node any) bool {
	_, ok := node.([]any)
	return ok || node == nil
}

func listOf(node any) []any {
	list, _ := node.([]any) // nil is the empty list
	return list
}

func (c *comparison) objects(path string, from, to map[string]any) {
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

func (c *comparison) lists(path string, from, to []any) {
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
	c.order(path, left, right)
}

// order notes that entries which stand in both lists changed their order.
func (c *comparison) order(path string, left, right []string) {
	if !strings.HasSuffix(path, ".stages") && !strings.HasSuffix(path, ".models") {
		return
	}
	both := func(names, others []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !slices.Contains(others, name) })
	}
	before, after := both(left, right), both(right, left)
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

// identity returns what names an entry within its list.
func identity(entry any, at int) string {
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
	return fmt.Sprint(at)
}

func encode(value any) json.RawMessage {
	raw, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage("null") // came from JSON, so it goes back
	}
	return raw
}
