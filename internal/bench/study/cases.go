// Package study measures a deployment in several cases. It interleaves the runs of each case
// with runs of a reference, so that noise of the machine affects both equally.
package study

import (
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/bench/trial"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Case is one case of a study.
type Case struct {
	Name       string
	Load       float64
	WarmupMs   int
	DurationMs int
	CooldownMs int
	// Measured and Reference run alternately; Reference may be nil.
	Measured  Variant
	Reference *Variant
}

// Variant is a system with a schedule of faults.
type Variant struct {
	System trial.System
	Faults []plan.Fault
}

// Times of the cases in milliseconds.
const (
	usualWarmup     = 1500
	fullWarmup      = 2500
	fullCooldown    = 2000
	overloadWarmup  = 6000
	shortDuration   = 3500
	zoneLeaveAt     = 1500
	zoneReturnAt    = 5500
	zoneDuration    = 9000
	restartAt       = 500
	restartDuration = 8000
	faultAt         = 1000
)

const (
	usualLoad         = 0.7
	fullLoad          = 1.0
	overload          = 1.5
	slowFactor        = 4
	stragglerInterval = 10
)

// Cases returns the cases that are measured by default.
func Cases(e *plan.Experiment) []Case {
	product, baseline := Variant{System: trial.Product()}, Variant{System: trial.Baseline()}
	withFaults := func(v Variant, faults ...plan.Fault) Variant { v.Faults = faults; return v }
	// The last zone has the fewest endpoints, so that the others can serve the load.
	zones := e.Deployment.AvailabilityZones
	zone := zones[len(zones)-1]
	stragglers, cold := slowEngines(e), faultAfter(faultAt, whole.EndpointRestart, engines(e)[0])
	straggling, restarting := withFaults(baseline, stragglers...), withFaults(baseline, cold)
	return []Case{
		{"load 0.7", usualLoad, usualWarmup, shortDuration, 0, product, &baseline},
		{"load 1.0", fullLoad, fullWarmup, shortDuration, fullCooldown, product, &baseline},
		{"load 1.5", overload, overloadWarmup, shortDuration, fullCooldown, product, &baseline},
		{"one straggler in ten", usualLoad, usualWarmup, shortDuration, 0, withFaults(product, stragglers...), &straggling},
		{"an engine restarts cold", usualLoad, usualWarmup, shortDuration, 0, withFaults(product, cold), &restarting},
		{"zone leaves and returns", usualLoad, usualWarmup, zoneDuration, 0, withFaults(product,
			faultAfter(zoneLeaveAt, whole.ZoneLeave, zone), faultAfter(zoneReturnAt, whole.ZoneReturn, zone)), nil},
		{"rolling restart", usualLoad, usualWarmup, restartDuration, 0, withFaults(product, faultAfter(restartAt, whole.RollingRestart, "")), nil},
		{"store down", usualLoad, usualWarmup, shortDuration, 0, withFaults(product, faultAfter(0, whole.PlatformDown, "")), &product},
	}
}

// ExtraCases returns the cases that are measured only if they are selected by name.
func ExtraCases(e *plan.Experiment) []Case {
	zone := e.Deployment.AvailabilityZones[0]
	return []Case{{
		"zone leaves, the rest can't bear it", usualLoad, usualWarmup, zoneDuration, 0, Variant{
			System: trial.Product(),
			Faults: []plan.Fault{faultAfter(zoneLeaveAt, whole.ZoneLeave, zone), faultAfter(zoneReturnAt, whole.ZoneReturn, zone)},
		}, nil,
	}}
}

func faultAfter(ms int, name whole.FaultName, target string) plan.Fault {
	return plan.Fault{AtMs: ms, Fault: whole.Fault{Name: name, Target: target}}
}

// engines returns the names of the endpoints with model engines.
func engines(e *plan.Experiment) []string {
	var names []string
	for i := range e.Deployment.Pools {
		pool := &e.Deployment.Pools[i]
		if pool.Kind != manif.KindGenerate {
			continue
		}
		for number := range e.Endpoints(pool.Name) {
			names = append(names, whole.EndpointName(pool.Name, number))
		}
	}
	return names
}

// slowEngines returns faults that make every tenth engine a straggler.
func slowEngines(e *plan.Experiment) []plan.Fault {
	var faults []plan.Fault
	for i, name := range engines(e) {
		if i%stragglerInterval == 0 {
			fault := faultAfter(0, whole.EndpointSlow, name)
			fault.Factor = slowFactor
			faults = append(faults, fault)
		}
	}
	return faults
}
