package plan

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/conf/step"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Bounds of an experiment.
const (
	maxLoad       = 10
	maxRate       = 100_000
	maxDurationMs = 600_000
	maxEntries    = 64
	maxEndpoints  = 1000
)

// Fill applies the defaults of an experiment and checks it.
func Fill(e *Experiment) error {
	step.ApplyDefaults(steps(), e)
	return step.Check(steps(), e)
}

func steps() []step.Step[Experiment] {
	return []step.Step[Experiment]{
		{Name: "load and times", Default: applyDefaults, Check: checkLoad},
		{Name: "pools", Check: checkPools},
		{Name: "organisations", Check: checkOrganisations},
		{Name: "mix", Check: checkMix},
		{Name: "faults", Check: checkFaults},
	}
}

func checkRange(report *step.Report, path string, value, least, most float64) {
	if value < least || value > most {
		report.Add(path, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("%g to %g", least, most))
	}
}

func checkLoad(e *Experiment, report *step.Report) {
	if e.Name == "" {
		report.Add("name", "", "a name")
	}
	checkRange(report, "load", e.Load, 0, maxLoad)
	checkRange(report, "ratePerSecond", e.RatePerSecond, 0, maxRate)
	checkRange(report, "betweenZonesMs", e.BetweenZonesMs, 0, 1000)
	checkRange(report, "clientsMs", e.ClientsMs, 0, 1000)
	report.Range("entries", int64(e.Entries), 1, maxEntries)
	report.Range("warmupMs", int64(e.WarmupMs), 0, maxDurationMs)
	report.Range("cooldownMs", int64(e.CooldownMs), 0, maxDurationMs)
	report.Range("durationMs", int64(e.DurationMs), 1, maxDurationMs)
}

func checkPools(e *Experiment, report *step.Report) {
	unique := step.Unique{Allowed: "each pool once"}
	for i := range e.Pools {
		shape, at := &e.Pools[i], step.Index("pools", i)
		unique.Add(report, at+".pool", shape.Pool)
		report.Range(at+".endpoints", int64(shape.Endpoints), 1, maxEndpoints)
		for _, number := range []float64{
			shape.WorkMs, shape.PrefillMs, shape.CachedMs, shape.TokenMs, shape.ColdWorkMs, shape.LoadLagMs,
		} {
			checkRange(report, at, number, 0, maxDurationMs)
		}
	}
	for i := range e.Deployment.Pools {
		name := e.Deployment.Pools[i].Name
		if e.findShape(name) == nil {
			report.Add("pools", "", "a line for pool "+strconv.Quote(name))
		}
	}
}

func checkOrganisations(e *Experiment, report *step.Report) {
	report.Count("organisations", len(e.Organisations), 1, maxEndpoints)
	for i := range e.Organisations {
		checkRange(report, step.Index("organisations", i)+".share", e.Organisations[i].Share, 0, maxRate)
	}
}

func checkMix(e *Experiment, report *step.Report) {
	report.Count("mix", len(e.Mix), 1, maxEndpoints)
	for i := range e.Mix {
		request, at := &e.Mix[i], step.Index("mix", i)
		checkRange(report, at+".share", request.Share, 0, maxRate)
		s := e.FindService(request.Service)
		switch {
		case s == nil:
			report.Add(at+".service", request.Service, "a service of the manifest")
		case (s.Pool != "") != (request.Path != ""):
			report.Add(at+".path", request.Path, "a path exactly for plain services")
		}
	}
}

func checkFaults(e *Experiment, report *step.Report) {
	for i := range e.Faults {
		one, at := &e.Faults[i], step.Index("faults", i)
		report.Range(at+".atMs", int64(one.AtMs), 0, int64(e.DurationMs))
		if !slices.Contains(whole.FaultNames(), one.Name) {
			report.Add(at+".fault", string(one.Name), fmt.Sprint(whole.FaultNames()))
		}
		if i > 0 && one.AtMs < e.Faults[i-1].AtMs {
			report.Add(at+".atMs", strconv.Itoa(one.AtMs), "no earlier than the fault before it")
		}
	}
}
