package check

import (
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

func checkPipelines(m *manif.Manifest, report *step.Report) {
	report.Count("pipelines", len(m.Pipelines), 0, manif.MaxPipelines)
	unique := step.Unique{Allowed: "each pipeline name once"}
	for i := range m.Pipelines {
		p, path := &m.Pipelines[i], step.Index("pipelines", i)
		checkName(report, &unique, path+".name", p.Name)
		report.Range(path+".deadlineMs", int64(p.DeadlineMs), manif.MinDeadlineMs, manif.MaxDeadlineMs)
		report.Count(path+".stages", len(p.Stages), manif.MinStages, manif.MaxStages)
	}
}

func defaultStages(m *manif.Manifest) {
	for i := range m.Pipelines {
		for j := range m.Pipelines[i].Stages {
			s := &m.Pipelines[i].Stages[j]
			if s.Cost == 0 {
				s.Cost = 1
			}
		}
	}
}

func checkStages(m *manif.Manifest, report *step.Report) {
	for i := range m.Pipelines {
		path := step.Index("pipelines", i) + ".stages"
		unique := step.Unique{Allowed: "each stage name once in a pipeline"}
		for j := range m.Pipelines[i].Stages {
			s, at := &m.Pipelines[i].Stages[j], step.Index(path, j)
			checkName(report, &unique, at+".name", s.Name)
			report.Range(at+".cost", s.Cost, 1, manif.MaxCost)
			if checkKind(report, at+".kind", s.Kind, manif.StageKinds()) {
				checkStagePool(m, report, at, s)
			}
		}
	}
}

func checkStagePool(m *manif.Manifest, report *step.Report, path string, s *manif.Stage) {
	pool := findPool(m, s.Pool)
	if pool == nil {
		report.Add(path+".pool", s.Pool, existingNames("a pool", poolNames(m, s.Kind)))
		return
	}
	if pool.Kind != s.Kind {
		report.Add(path+".pool", s.Pool, "a pool of kind "+string(s.Kind)+"; this one is of kind "+string(pool.Kind))
		return
	}
	checkStageModel(report, path+".model", s, pool)
}

func checkStageModel(report *step.Report, path string, s *manif.Stage, pool *manif.Pool) {
	if s.Kind != manif.KindGenerate {
		if s.Model != "" {
			report.Add(path, s.Model, "only on stages of kind generate")
		}
		return
	}
	var models []string
	for i := range pool.Models {
		if pool.Models[i].Model == s.Model {
			return
		}
		models = append(models, pool.Models[i].Model)
	}
	report.Add(path, s.Model, existingNames("a model of pool "+pool.Name, models))
}

func findPool(m *manif.Manifest, name string) *manif.Pool {
	for i := range m.Pools {
		if m.Pools[i].Name == name {
			return &m.Pools[i]
		}
	}
	return nil
}

// poolNames returns the names of the pools of a kind.
func poolNames(m *manif.Manifest, kind manif.StageKind) []string {
	var names []string
	for i := range m.Pools {
		if m.Pools[i].Kind == kind {
			names = append(names, m.Pools[i].Name)
		}
	}
	return names
}
