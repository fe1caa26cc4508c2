package check

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

func checkZones(m *manif.Manifest, report *step.Report) {
	const path = "availabilityZones"
	report.Count(path, len(m.AvailabilityZones), 1, manif.MaxZones)
	unique := step.Unique{Allowed: "each availability zone once"}
	for i, zone := range m.AvailabilityZones {
		checkName(report, &unique, step.Index(path, i), zone)
	}
}

// defaultPools sets FencingIgnored if the manifest doesn't set Fencing. The agent on
// the same host then checks the fencing numbers, which is correct whether the endpoint
// checks them or not.
func defaultPools(m *manif.Manifest) {
	for i := range m.Pools {
		p := &m.Pools[i]
		if p.Fencing == "" && p.Kind == manif.KindGenerate {
			p.Fencing = manif.FencingIgnored
		}
	}
}

func checkPools(m *manif.Manifest, report *step.Report) {
	report.Count("pools", len(m.Pools), 1, manif.MaxPools)
	unique := step.Unique{Allowed: "each pool name once"}
	for i := range m.Pools {
		p, path := &m.Pools[i], step.Index("pools", i)
		checkName(report, &unique, path+".name", p.Name)
		checkKind(report, path+".kind", p.Kind, manif.PoolKinds())
		checkFencing(report, path+".fencing", p)
		checkRole(report, path+".role", p)
		report.Range(path+".limit", int64(p.Limit), 0, manif.MaxLimit)
		checkColdLimit(report, path+".coldLimit", p)
	}
}

func checkKind(report *step.Report, path string, kind manif.StageKind, allowed []manif.StageKind) bool {
	if slices.Contains(allowed, kind) {
		return true
	}
	names := make([]string, 0, len(allowed))
	for _, k := range allowed {
		names = append(names, string(k))
	}
	report.Add(path, string(kind), "one of "+strings.Join(names, ", "))
	return false
}

func checkFencing(report *step.Report, path string, p *manif.Pool) {
	switch p.Fencing {
	case manif.FencingChecked, manif.FencingIgnored:
		if p.Kind != manif.KindGenerate {
			report.Add(path, string(p.Fencing), "only on pools of kind generate; other endpoints receive no orders")
		}
	case "":
	default:
		report.Add(path, string(p.Fencing), fmt.Sprintf("%s or %s", manif.FencingChecked, manif.FencingIgnored))
	}
}

func checkRole(report *step.Report, path string, p *manif.Pool) {
	switch {
	case p.Role == "":
	case p.Kind != manif.KindGenerate:
		report.Add(path, p.Role, "only on pools of kind generate; other endpoints receive no orders")
	case !namePattern.MatchString(p.Role):
		report.Add(path, p.Role, allowedName)
	}
}

func checkColdLimit(report *step.Report, path string, p *manif.Pool) {
	most := int64(manif.MaxLimit)
	if p.Limit > 0 {
		most = int64(p.Limit)
	}
	report.Range(path, int64(p.ColdLimit), 0, most)
}

func checkModels(m *manif.Manifest, report *step.Report) {
	for i := range m.Pools {
		p, path := &m.Pools[i], step.Index("pools", i)+".models"
		if p.Kind != manif.KindGenerate && len(p.Models) > 0 {
			report.Add(path, p.Models[0].Model, "only on pools of kind generate")
			continue
		}
		report.Count(path, len(p.Models), 0, manif.MaxModels)
		unique := step.Unique{Allowed: "each model once in a pool"}
		for j := range p.Models {
			checkModel(report, &unique, step.Index(path, j), &p.Models[j])
		}
	}
}

func checkModel(report *step.Report, unique *step.Unique, path string, model *manif.ModelVersion) {
	if modelPattern.MatchString(model.Model) {
		unique.Add(report, path+".model", model.Model)
	} else {
		report.Add(path+".model", model.Model, allowedModel)
	}
	if !modelPattern.MatchString(model.Version) {
		report.Add(path+".version", model.Version, allowedModel)
	}
	report.Count(path+".adapters", len(model.Adapters), 0, manif.MaxAdapters)
	uniqueAdapters := step.Unique{Allowed: "each adapter once"}
	for i, adapter := range model.Adapters {
		at := step.Index(path+".adapters", i)
		if !modelPattern.MatchString(adapter) {
			report.Add(at, adapter, allowedModel)
			continue
		}
		uniqueAdapters.Add(report, at, adapter)
	}
}

func checkLeftEndpoints(m *manif.Manifest, report *step.Report) {
	for i := range m.Pools {
		path := step.Index("pools", i) + ".leftEndpoints"
		unique := step.Unique{Allowed: "each endpoint once"}
		for j, endpoint := range m.Pools[i].LeftEndpoints {
			at := step.Index(path, j)
			if !endpointPattern.MatchString(endpoint) {
				report.Add(at, endpoint, allowedEndpoint)
				continue
			}
			unique.Add(report, at, endpoint)
		}
	}
}
