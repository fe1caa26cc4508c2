package order_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/engine/order"
)

func TestPlan(t *testing.T) {
	sheet := func(version string, adapters ...string) manif.ModelVersion {
		return manif.ModelVersion{Model: "sheet", Version: version, Adapters: adapters}
	}
	load := func(version, adapter string) order.Order {
		return order.Order{Op: order.OpLoad, Model: "sheet", Version: version, Adapter: adapter}
	}
	unload := func(version, adapter string) order.Order {
		return order.Order{Op: order.OpUnload, Model: "sheet", Version: version, Adapter: adapter}
	}
	cases := []struct {
		name   string
		wanted []manif.ModelVersion
		have   []string
		want   []order.Order
	}{
		{"no difference", []manif.ModelVersion{sheet("1", "fold")}, []string{"sheet@1", "sheet@1+fold"}, nil},
		{"empty engine", []manif.ModelVersion{sheet("1", "fold")}, nil, []order.Order{load("1", ""), load("1", "fold")}},
		{
			"new version is loaded before the old one is unloaded",
			[]manif.ModelVersion{sheet("2")},
			[]string{"sheet@1", "sheet@1+fold"},
			[]order.Order{load("2", ""), unload("1", "fold"), unload("1", "")},
		},
		{"surplus adapter is unloaded", []manif.ModelVersion{sheet("1")}, []string{"sheet@1", "sheet@1+fold"}, []order.Order{unload("1", "fold")}},
		{"invalid name is ignored", []manif.ModelVersion{sheet("1")}, []string{"sheet@1", "base"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, order.Plan(c.wanted, "", c.have, ""), c.want)
		})
	}
}
