package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what goes wrong.
type Kind string

// Kinds of trouble.
const (
	Kill         Kind = "kill"
	Pause        Kind = "pause"
	Terminate    Kind = "terminate"
	Reload       Kind = "reload"
	ResetLinks   Kind = "resetLinks"
	SilenceLinks Kind = "silenceLinks"
	DelayLinks   Kind = "delayLinks"
	CutOneWay    Kind = "cutOneWay"
	CutStore     Kind = "cutStore"
	StoreDown    Kind = "storeDown"
	StoreSilent  Kind = "storeSilent"
	StoreForgets Kind = "storeForgets"
	StoreLoses   Kind = "storeLoses"
	EngineFaults Kind = "engineFaults"
	EngineCrash  Kind = "engineCrash"
	EngineLeaves Kind = "engineLeaves"
	EmptyZone    Kind = "emptyZone"
	Configure    Kind = "configure"
	// RollingStop terminates all processes, one after the other.
	RollingStop Kind = "rollingStop"
)

// Kinds lists all of them.
func Kinds() []Kind { return append(mixed(), RollingStop) }

// mixed are the kinds that come at the same time as others.
func mixed() []Kind {
	return []Kind{
		Kill, Pause, Terminate, Reload, ResetLinks, SilenceLinks, DelayLinks, CutOneWay, CutStore, StoreDown, StoreSilent,
		StoreForgets, StoreLoses, EngineFaults, EngineCrash, EngineLeaves, EmptyZone, Configure,
	}
}

// Trouble is one thing that goes wrong for a while.
type Trouble struct {
	Kind Kind
	At   time.Duration
	// For is how long it lasts, or the time between two processes of a rolling stop.
	For time.Duration
	// Subject picks a process, an engine or a zone, by its number.
	Subject int
}

// String describes the trouble in one line.
func (t Trouble) String() string {
	return fmt.Sprintf("%6.2fs for %5.2fs %s %d", t.At.Seconds(), t.For.Seconds(), t.Kind, t.Subject)
}

// rollingStops are those of a seed. They come first, because nothing else may
// happen for a while before them if each request is to be answered.
func rollingStops(seed uint64) []Trouble {
	random := rand.New(rand.NewPCG(seed, 19))
	plan := make([]Trouble, 0, rollingCount)
	for i := range rollingCount {
		between := time.Duration(30+random.IntN(220)) * time.Millisecond
		plan = append(plan, Trouble{Kind: RollingStop, At: firstTrouble + time.Duration(i)*rollingSpan, For: between, Subject: random.IntN(64)})
	}
	return plan
}

// Plan draws troubles from a seed. After the rolling stops they come in series and
// overlap. The last part of the run is left in peace, so that recovery can be seen.
func Plan(seed uint64, length time.Duration) []Trouble {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	kinds := mixed()
	plan := rollingStops(seed)
	for at := firstTrouble + rollingCount*rollingSpan; at < length-peace; {
		series := 1 + random.IntN(3)
		kind := kinds[random.IntN(len(kinds))]
		for range series {
			t := Trouble{Kind: kind, At: at, For: time.Duration(200+random.IntN(2300)) * time.Millisecond, Subject: random.IntN(64)}
			t.For = min(t.For, length-peace-t.At)
			plan = append(plan, t)
			at += time.Duration(random.IntN(1200)) * time.Millisecond
			if at >= length-peace {
				break
			}
		}
		at += time.Duration(random.IntN(900)) * time.Millisecond
	}
	slices.SortStableFunc(plan, func(a, b Trouble) int { return int(a.At - b.At) })
	return plan
}
