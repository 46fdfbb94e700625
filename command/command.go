package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/inifile"
)

// Exit codes, which scripts may rely on.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3 // another operator's change came first
	ExitInvalid     = 4 // the declaration or settings are refused
	ExitUnavailable = 5 // no answer: the change may or may not be accepted
)

const defaultTimeout = 10 * time.Second

// Env is what a verb runs in.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Connect opens the state members' API; tests replace it.
	Connect func(c *Common) (API, error)
}

// Common are the flags that all verbs which talk to the state members have.
type Common struct {
	State   string        // comma-separated ip:port
	Groups  int           // organisation groups of the site
	TLSDir  string        // folder with ca.pem, operator.pem and operator.key
	Output  string        // "table" or "json"
	Timeout time.Duration // for the whole verb
	Author  string
	Request string // request id, for a resend
}

func (c *Common) register(fs *flag.FlagSet) {
	fs.StringVar(&c.State, "state", envOr("FIGLB_STATE", ""), "addresses of the state members, ip:port separated by commas (or FIGLB_STATE)")
	fs.IntVar(&c.Groups, "groups", envInt("FIGLB_GROUPS", 4), "number of organisation groups of the site (or FIGLB_GROUPS)")
	fs.StringVar(&c.TLSDir, "tls", envOr("FIGLB_TLS", ""), "folder with ca.pem, operator.pem and operator.key (or FIGLB_TLS)")
	fs.StringVar(&c.Output, "output", "table", "table or json")
	fs.DurationVar(&c.Timeout, "timeout", defaultTimeout, "give up after this time")
	fs.StringVar(&c.Author, "author", envOr("USER", "operator"), "name recorded in the history")
	fs.StringVar(&c.Request, "request-id", "", "repeat a command whose answer was lost: the same id changes nothing twice")
}

// verb is one command of figlbctl.
type verb struct {
	name     string // for example "key grant"
	synopsis string
	args     string // arguments after the flags
	example  string
	// flags registers the verb's flags and returns its run function.
	flags func(fs *flag.FlagSet) runFunc
	// local verbs do not talk to the state members.
	local bool
}

type runFunc func(ctx context.Context, in *invocation) error

// invocation is one run of a verb.
type invocation struct {
	env    *Env
	common Common
	args   []string
	api    API
}

// usageError is a mistake in the command line.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// Run executes a command line without the program's name and returns the exit code.
func Run(env *Env, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return help(env, args)
	}
	v, rest := find(args)
	if v == nil {
		fmt.Fprintf(env.Stderr, "figlbctl: unknown command %q; see 'figlbctl help'\n", strings.Join(args[:min(len(args), 2)], " "))
		return ExitUsage
	}
	return runVerb(env, v, rest)
}

func runVerb(env *Env, v *verb, args []string) int {
	in := &invocation{env: env}
	fs := flag.NewFlagSet(v.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	if !v.local {
		in.common.register(fs)
	} else {
		fs.StringVar(&in.common.Output, "output", "table", "table or json")
	}
	run := v.flags(fs)
	positional, err := parseMixed(fs, args)
	if err == flag.ErrHelp {
		printVerb(env.Stdout, v, fs)
		return ExitOK
	}
	if err == nil {
		err = in.checkCommon(v)
	}
	if err != nil {
		fmt.Fprintf(env.Stderr, "figlbctl %s: %v; see 'figlbctl help %s'\n", v.name, err, v.name)
		return ExitUsage
	}
	in.args = positional
	return in.finish(v, in.execute(v, run))
}

// parseMixed accepts flags before, between and after the arguments.
func parseMixed(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := fs.Parse(args); err != nil {
			return nil, err
		}
		if fs.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

func (in *invocation) checkCommon(v *verb) error {
	if in.common.Output != "table" && in.common.Output != "json" {
		return usagef("output %q is unknown, use table or json", in.common.Output)
	}
	if !v.local && in.common.State == "" {
		return usagef("no state member named, use -state ip:port or FIGLB_STATE")
	}
	return nil
}

func (in *invocation) execute(v *verb, run runFunc) error {
	if v.local {
		return run(context.Background(), in)
	}
	api, err := in.env.Connect(&in.common)
	if err != nil {
		return err
	}
	defer api.Close()
	in.api = api
	ctx, cancel := context.WithTimeout(context.Background(), in.common.Timeout)
	defer cancel()
	return run(ctx, in)
}

func (in *invocation) finish(v *verb, err error) int {
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if code == ExitUsage {
		fmt.Fprintf(in.env.Stderr, "figlbctl %s: %v; see 'figlbctl help %s'\n", v.name, err, v.name)
		return code
	}
	fmt.Fprintf(in.env.Stderr, "figlbctl %s: %v\n", v.name, err)
	if code == ExitUnavailable && in.common.Request != "" {
		fmt.Fprintf(in.env.Stderr, "the command may have been accepted; repeat it with -request-id %s to learn its answer\n", in.common.Request)
	}
	return code
}

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var problems inifile.Problems
	if errors.As(err, &problems) {
		return ExitInvalid
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return ExitUnavailable
	}
	switch errs.From(err).Code {
	case errs.RevisionConflict:
		return ExitConflict
	case errs.InvalidDeclaration:
		return ExitInvalid
	case errs.Unavailable, errs.Uncertain, errs.NotLeader:
		return ExitUnavailable
	}
	return ExitFailed
}

// find matches the longest verb name at the start of args.
func find(args []string) (*verb, []string) {
	for n := min(2, len(args)); n >= 1; n-- {
		name := strings.Join(args[:n], " ")
		for _, v := range verbs() {
			if v.name == name {
				return v, args[n:]
			}
		}
	}
	return nil, nil
}

func verbs() []*verb {
	vs := []*verb{
		validateVerb(), planVerb(), applyVerb(), getVerb(), statusVerb(), historyVerb(), rollbackVerb(),
		keyGrantVerb(), keyRevokeVerb(), keyListVerb(), drainVerb(), returnVerb(),
		orderSubmitVerb(), orderListVerb(), callGetVerb(), callResolveVerb(),
		fingerprintListVerb(), fingerprintLiftVerb(), memberListVerb(), memberRemoveVerb(),
		snapshotSaveVerb(), snapshotLoadVerb(), certInitVerb(), certIssueVerb(), versionVerb(),
	}
	sort.SliceStable(vs, func(i, j int) bool { return vs[i].name < vs[j].name })
	return vs
}
