package main

import (
	"fmt"
	"net/http"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broke    = 1
	notRun   = 2
	useUsage = "usage: stand2 CASE RECORD"
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, useUsage)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	play := map[string]func() (bool, error){
		"rollout": func() (bool, error) { return playRollout(os.Args[2], trouble) },
		"grey":    func() (bool, error) { return playGrey(os.Args[2], trouble, http.StatusServiceUnavailable) },
	}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, useUsage)
		return notRun
	}
	broken, err := play()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case broken:
		return broke
	}
	return held
}
