// Command figlb-load drives agent programs against entries of figlb and reports what
// their callers saw. It exits with 1 if a promise was broken and with 2 if it could not
// run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/inifile"
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

// run returns false if a promise was broken.
func run(args []string) (bool, error) {
	f := flag.NewFlagSet("figlb-load", flag.ContinueOnError)
	file := f.String("config", "", "INI file with [load], [organisation NAME] and [kind NAME]")
	entries := f.String("entries", "", "base URLs of the entries, separated by commas")
	direct := f.String("direct", "", "base URLs of model engines to call without figlb")
	executions := f.String("executions", "", "base URLs of order stand-ins, to check executions")
	seed := f.Int64("seed", 0, "seed of the arrivals and programs")
	duration := f.Duration("duration", 0, "time in which programs arrive")
	jsonFile := f.String("json", "", "write the result to this file")
	var orgs orgFlags
	f.Var(&orgs, "org", "organisation as name:key:PROGRAMS/s[:RATE/s:BURST]; may be repeated")
	if err := f.Parse(args); err != nil {
		return false, err
	}
	cfg := load.Defaults()
	if *file != "" {
		var err error
		if cfg, err = load.ReadFile(*file); err != nil {
			return false, err
		}
	}
	setList(&cfg.Entries, *entries)
	setList(&cfg.Entries, *direct)
	setList(&cfg.Executions, *executions)
	cfg.Direct = cfg.Direct || *direct != ""
	cfg.Orgs = append(cfg.Orgs, orgs...)
	if *seed != 0 {
		cfg.Seed = *seed
	}
	if *duration != 0 {
		cfg.Duration = *duration
	}
	return drive(cfg, *jsonFile)
}

func setList(out *[]string, text string) {
	if text != "" {
		*out = strings.Split(text, ",")
	}
}

func drive(cfg load.Config, jsonFile string) (bool, error) {
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

// orgFlags collects -org flags.
type orgFlags []load.Org

// String implements flag.Value.
func (o *orgFlags) String() string { return "" }

// Set implements flag.Value.
func (o *orgFlags) Set(text string) error {
	const shortForm, longForm = 3, 5
	parts := strings.Split(text, ":")
	if len(parts) != shortForm && len(parts) != longForm {
		return errors.Errorf("%q is not name:key:PROGRAMS/s[:RATE/s:BURST]", text)
	}
	org := load.Org{Name: parts[0], Key: parts[1]}
	var err error
	if org.Programs, err = rate(parts[2]); err != nil {
		return err
	}
	if len(parts) == longForm {
		if org.Rate, err = rate(parts[3]); err != nil {
			return err
		}
		if org.Burst, err = strconv.Atoi(parts[4]); err != nil {
			return errors.Wrap(err, "burst")
		}
	}
	*o = append(*o, org)
	return nil
}

func rate(text string) (inifile.Rate, error) {
	n, err := strconv.ParseFloat(strings.TrimSuffix(text, "/s"), 64)
	if err != nil || n <= 0 {
		return 0, errors.Errorf("%q is not a positive rate; write for example 20/s", text)
	}
	return inifile.Rate(n), nil
}
