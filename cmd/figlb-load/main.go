// Command figlb-load is a load generator. It runs agent programs against the entries of figlb
// and reports latencies and errors as the callers see them. It exits with 1 if a guarantee of
// figlb was violated and with 2 if the run failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/load"
)

const (
	exitViolation = 1
	exitFailure   = 2
)

func main() {
	ok, err := run(os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(exitFailure)
	case err != nil:
		fmt.Fprintln(os.Stderr, "figlb-load:", err)
		os.Exit(exitFailure)
	case !ok:
		os.Exit(exitViolation)
	}
}

// run reports whether all guarantees held.
func run(args []string) (bool, error) {
	f := flag.NewFlagSet("figlb-load", flag.ContinueOnError)
	file := f.String("config", "", "INI file with [load], [organisation NAME] and [kind NAME]")
	entries := f.String("entries", "", "base URLs of the entries, separated by commas")
	direct := f.String("direct", "", "base URLs of model engines to call without figlb")
	executions := f.String("executions", "", "base URLs of orders stand-ins, to check how often calls were executed")
	seed := f.Int64("seed", 0, "random seed of the arrivals and programs")
	duration := f.Duration("duration", 0, "period during which programs arrive")
	jsonFile := f.String("json", "", "write the result to this file")
	compare := f.Bool("compare", false, "print two result files, given as arguments, side by side")
	if err := f.Parse(args); err != nil {
		return false, err
	}
	if *compare {
		return true, compareFiles(f.Args())
	}
	cfg := load.DefaultConfig()
	if *file != "" {
		var err error
		if cfg, err = load.ReadFile(*file); err != nil {
			return false, err
		}
	}
	setIfNotEmpty(&cfg.Entries, *entries)
	setIfNotEmpty(&cfg.Entries, *direct)
	setIfNotEmpty(&cfg.Executions, *executions)
	cfg.Direct = cfg.Direct || *direct != ""
	if *seed != 0 {
		cfg.Seed = *seed
	}
	if *duration != 0 {
		cfg.Duration = *duration
	}
	return runLoad(cfg, *jsonFile)
}

func compareFiles(files []string) error {
	const wantFiles = 2
	if len(files) != wantFiles {
		return errors.Errorf("-compare got %d files; give two", len(files))
	}
	a, err := load.ReadResult(files[0])
	if err != nil {
		return err
	}
	b, err := load.ReadResult(files[1])
	if err != nil {
		return err
	}
	load.Compare(os.Stdout, files[0], files[1], a, b)
	return nil
}

func setIfNotEmpty(out *[]string, text string) {
	if text != "" {
		*out = strings.Split(text, ",")
	}
}

func runLoad(cfg load.Config, jsonFile string) (bool, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	res, err := load.Run(ctx, cfg)
	if err != nil {
		return false, err
	}
	res.WriteTable(os.Stdout)
	if jsonFile != "" {
		err = res.WriteFile(jsonFile)
	}
	return res.OK(), err
}
