package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs one case on a started site. It returns how often the rule was broken.
type scenario func(s *site) (broken int, err error)

// cases holds the scenario of each case.
var cases = map[string]scenario{
	"unreadable-entry": unreadableEntry,
	"foreign-entry":    foreignEntry,
	"moved-list":       movedList,
	"resumed-turn":     resumedTurn,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		return exitNotRun
	}
	runCase, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "cases2: no case %q\n", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases2:", err)
		return exitNotRun
	}
	defer rec.close()
	s, err := startSite(rec)
	defer s.stop()
	broken := 0
	if err == nil {
		broken, err = runCase(s)
	}
	switch {
	case err != nil:
		rec.line("not run: %v", err)
		return exitNotRun
	case broken > 0:
		rec.line("rule broken %d times", broken)
		return exitBroken
	}
	rec.line("rule held")
	return exitHeld
}

// troubled reports whether the case brings about its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }
