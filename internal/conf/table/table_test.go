package table_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/table"
)

func ExampleTable_Match() {
	routes := table.New(table.Content{Routes: []table.Route{
		{Name: "all", Host: "shop.example", Prefix: "/"},
		{Name: "orders", Host: "shop.example", Prefix: "/orders/"},
	}})
	fmt.Println(routes.Match("shop.example:80", "/orders/7").Name)
	fmt.Println(routes.Match("Shop.Example", "/ordersheet").Name)
	fmt.Println(routes.Match("other.example", "/"))
	// Output:
	// orders
	// all
	// <nil>
}

func TestKeysAndPriorities(t *testing.T) {
	routes := table.New(table.Content{
		Routes:        []table.Route{{Name: "open", Public: true}, {Name: "closed", Priority: 2}},
		Organisations: []table.Organisation{{Name: "plain"}, {Name: "ranked", Priority: 1, HasPriority: true}},
		Holders:       map[string]int{"a": 0, "b": 1},
	})
	closed := &table.Route{Priority: 2}
	assert.Assert(t, !routes.NeedsKey(&table.Route{Public: true}))
	assert.Assert(t, routes.NeedsKey(closed))
	assert.Equal(t, routes.Holder("b").Name, "ranked")
	assert.Assert(t, routes.Holder("unknown") == nil)
	assert.Equal(t, table.Priority(closed, routes.Holder("a")), 2)
	assert.Equal(t, table.Priority(closed, routes.Holder("b")), 1)
}

func TestSharesFollowWeights(t *testing.T) {
	route := table.Route{Targets: []table.Target{{Pool: "old", Weight: 90}, {Pool: "new", Weight: 10}}}
	counts := map[string]int{}
	for i := range 10_000 {
		counts[route.Pool(fmt.Sprint("request", i))]++
	}
	assert.Assert(t, counts["new"] > 800 && counts["new"] < 1200, counts["new"])
	assert.Equal(t, route.Pool("same"), route.Pool("same"))
}

func TestIdempotent(t *testing.T) {
	for _, tt := range []struct {
		route table.Route
		want  bool
	}{
		{table.Route{Kind: table.Safe}, true},
		{table.Route{Kind: table.Unsafe}, false},
		{table.Route{Kind: table.Stream}, false},
		{table.Route{Kind: table.Stream, Resumable: true}, true},
		{table.Route{Kind: table.Unsafe, Resumable: true}, false},
	} {
		assert.Equal(t, tt.route.Idempotent(), tt.want, "%+v", tt.route)
	}
}
