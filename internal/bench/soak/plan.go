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
)

// Kinds lists all of them.
func Kinds() []Kind {
	return []Kind{
		Kill, Pause, Terminate, Reload, ResetLinks, SilenceLinks, DelayLinks, CutOneWay, CutStore, StoreDown, StoreSilent,
		StoreForgets, StoreLoses, EngineFaults, EngineCrash, EngineLeaves, EmptyZone, Configure,
	}
}

// Trouble is one thing that goes wrong for a while.
type Trouble struct {
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Subject picks a process, an engine or a zone, by its number.
	Subject int
}

// String describes the trouble in one line.
func (t Trouble) String() string {
	return fmt.Sprintf("%6.2fs for %5.2fs %s %d", t.At.Seconds(), t.For.Seconds(), t.Kind, t.Subject)
}

// Plan draws troubles from a seed: they come in series and overlap. The last
// part of the run is left in peace, so that recovery can be seen.
func Plan(seed uint64, length time.Duration) []Trouble {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	kinds := Kinds()
	var plan []Trouble
	for at := firstTrouble; at < length-peace; {
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
