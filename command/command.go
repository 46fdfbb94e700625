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

// Exit codes. They are part of the interface to scripts and must not change.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3 // the configuration was changed after the change was planned
	ExitInvalid     = 4 // the declaration or the settings are invalid
	ExitUnavailable = 5 // no response: the change may or may not have been accepted
)

const defaultTimeout = 10 * time.Second

// Env holds the output streams of a command and the function that connects it to the site.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	// Connect returns a client of the state members. Tests replace it.
	Connect func(c *CommonFlags) (API, error)
	// ConnectRollouts returns a client of the operator API at an address.
	ConnectRollouts func(address string) Rollouts
}

// CommonFlags holds the flags shared by all verbs that contact the state members.
type CommonFlags struct {
	Members   string        // addresses of the state members, ip:port separated by commas
	Groups    int           // number of organisation groups of the site
	TLSDir    string        // folder with ca.pem, operator.pem and operator.key
	Output    string        // "table" or "json"
	Timeout   time.Duration // bounds all calls of a verb together
	Author    string
	RequestID string // request id of a retry; generated if empty
}

func (c *CommonFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&c.Members, "state", envOr("FIGLB_STATE", ""), "addresses of the state members, ip:port separated by commas (or FIGLB_STATE)")
	fs.IntVar(&c.Groups, "groups", envInt("FIGLB_GROUPS", 4), "number of organisation groups of the site (or FIGLB_GROUPS)")
	fs.StringVar(&c.TLSDir, "tls", envOr("FIGLB_TLS", ""), "folder with ca.pem, operator.pem and operator.key (or FIGLB_TLS)")
	fs.StringVar(&c.Output, "output", "table", "table or json")
	fs.DurationVar(&c.Timeout, "timeout", defaultTimeout, "give up after this time")
	fs.StringVar(&c.Author, "author", envOr("USER", "operator"), "name recorded in the history")
	fs.StringVar(&c.RequestID, "request-id", "", "request id of a command whose response was lost; repeating it with the same id applies it at most once")
}

// verb describes one command of figlbctl.
type verb struct {
	name     string // one or two words, such as "key grant"
	synopsis string
	args     string // positional arguments, for the usage line
	example  string
	// flags registers the flags of the verb and returns the function that runs it.
	flags func(fs *flag.FlagSet) runFunc
	// local marks a verb that does not contact the state members.
	local bool
}

type runFunc func(ctx context.Context, in *invocation) error

// invocation holds the parsed flags, the arguments and the client of one run of a verb.
type invocation struct {
	env    *Env
	common CommonFlags
	args   []string
	api    API
}

// usageError reports an invalid command line. It leads to ExitUsage.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// Run executes a command line, given without the program name, and returns the exit code.
func Run(env *Env, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return help(env, args)
	}
	v, rest := findVerb(args)
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
	positional, err := parseInterspersed(fs, args)
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
	return in.report(v, in.execute(v, run))
}

// parseInterspersed parses flags that stand before, between or after the positional
// arguments and returns those arguments. Package flag stops at the first one.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
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
	if !v.local && in.common.Members == "" {
		return usagef("no state member is given, use -state ip:port or FIGLB_STATE")
	}
	return nil
}

// execute connects to the state members, unless the verb is local, and runs the verb.
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

// report prints err, if any, and returns the exit code.
func (in *invocation) report(v *verb, err error) int {
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if code == ExitUsage {
		fmt.Fprintf(in.env.Stderr, "figlbctl %s: %v; see 'figlbctl help %s'\n", v.name, err, v.name)
		return code
	}
	fmt.Fprintf(in.env.Stderr, "figlbctl %s: %v\n", v.name, err)
	if code == ExitUnavailable && in.common.RequestID != "" {
		fmt.Fprintf(in.env.Stderr, "the command may have been accepted; repeat it with -request-id %s to get its result\n", in.common.RequestID)
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

// findVerb returns the verb with the longest name that args starts with, and the remaining
// arguments. It returns a nil verb if none matches.
func findVerb(args []string) (*verb, []string) {
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
		rolloutStartVerb(), rolloutStatusVerb(),
	}
	sort.SliceStable(vs, func(i, j int) bool { return vs[i].name < vs[j].name })
	return vs
}
