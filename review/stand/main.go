// Command stand holds the stand-ins of the review's scripts: the platform's store, engines and
// clients. The gateway that it starts is the project's own program.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(runEngine(os.Args[2:]))
	}
	flags := flag.NewFlagSet("stand", flag.ExitOnError)
	program := flags.String("gateway", "target/jujubed", "program of the gateway")
	record := flags.String("record", "record.txt", "file for the record")
	trouble := flags.Bool("trouble", true, "bring about the disruption")
	_ = flags.Parse(os.Args[1:]) // ExitOnError
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := runCase(flags.Arg(0), &world{program: *program, trouble: *trouble, record: newRecord(out)})
	_ = out.Close()
	os.Exit(code)
}

// cases holds the cases by name, with the deployment that each needs.
var cases = map[string]struct {
	config      *stand.Config
	numGateways int
	run         func(*world) int
}{
	"leaving": {config: streamConfig(), numGateways: 1, run: func(w *world) int { return runLeaving(w, false) }},
	"crash":   {config: streamConfig(), numGateways: 1, run: func(w *world) int { return runLeaving(w, true) }},
	"cold":    {config: coldConfig(), numGateways: coldGateways, run: runCold},
}

func runCase(name string, w *world) int {
	c, found := cases[name]
	if !found {
		w.record.printf("not run: no case %q", name)
		return exitNotRun
	}
	w.config, w.numGateways = c.config, c.numGateways
	defer w.stop()
	if err := w.start(); err != nil {
		w.record.printf("not run: %v", err)
		return exitNotRun
	}
	return c.run(w)
}
