package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// bench is one run of the program.
type bench struct {
	bin, dir     string // directories of the binaries and of the site's files
	sizes        []int
	rate         int // per second
	window       time.Duration
	rounds       int
	turns        int
	extraTargets int // targets declared in addition, for config
	extraEntries int // simulated entries that poll, for config
	groups       int
	messageBytes int
	traced       bool
	seed         uint64
}

var measurements = map[string]func(*bench) error{
	"ttft":     (*bench).ttft,
	"polls":    (*bench).polls,
	"config":   (*bench).config,
	"turns":    (*bench).turnRates,
	"groups":   (*bench).groupCounts,
	"buckets":  (*bench).buckets,
	"programs": (*bench).programs,
	"targets":  (*bench).targets,
	"share":    (*bench).share,
	"syncs":    (*bench).syncs,
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	b := &bench{}
	f := flag.NewFlagSet("bench", flag.ContinueOnError)
	sizes := f.String("sizes", "", "sizes to measure, separated by commas")
	f.IntVar(&b.rate, "rate", 500, "requests, turns or changes per second")
	f.DurationVar(&b.window, "window", 5*time.Second, "time of one measurement")
	f.IntVar(&b.rounds, "rounds", 3, "repetitions")
	f.IntVar(&b.turns, "turns", 4, "turns of a program")
	f.IntVar(&b.groups, "groups", 4, "organisation groups")
	f.IntVar(&b.extraTargets, "targets", 0, "config: declare this many more targets")
	f.IntVar(&b.extraEntries, "pollers", 0, "config: poll the configuration with this many simulated entries")
	f.IntVar(&b.messageBytes, "bytes", 1400, "bytes of a message and of an answer")
	f.BoolVar(&b.traced, "traced", false, "ttft: record spans and print the time of each hop")
	f.Uint64Var(&b.seed, "seed", 1, "seed of random choices")
	parent := f.String("dir", "", "directory for data; on a memory file system a sync costs nothing")
	if err := f.Parse(args); err != nil {
		return err
	}
	measure := measurements[f.Arg(0)]
	if measure == nil {
		return errors.Errorf("measurement %q is unknown", f.Arg(0))
	}
	for _, s := range strings.Split(*sizes, ",") {
		if s == "" {
			continue
		}
		n, err := strconv.Atoi(s)
		if err != nil {
			return errors.Wrap(err, "-sizes")
		}
		b.sizes = append(b.sizes, n)
	}
	dir, err := os.MkdirTemp(*parent, "figlb-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b.dir, b.bin = dir, filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", b.bin+string(filepath.Separator), "./cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Errorf("build: %v: %s", err, out)
	}
	fmt.Printf("# %s\n", strings.Join(args, " "))
	fmt.Println("# before:", b.hostState())
	defer func() { fmt.Println("# after:", b.hostState()) }()
	return measure(b)
}

// sizesOr returns the sizes given, or the defaults.
func (b *bench) sizesOr(defaults ...int) []int {
	if len(b.sizes) > 0 {
		return b.sizes
	}
	return defaults
}

func loadAverage() string {
	data, _ := os.ReadFile("/proc/loadavg")
	return strings.Join(strings.Fields(string(data))[:1], "")
}

// syncProbes is the number of syncs that are timed before and after a measurement.
const syncProbes = 40

// hostState describes the conditions on the host that influence the figures: the load average
// and the time of a sync of 4 KB.
func (b *bench) hostState() string {
	f, err := os.Create(filepath.Join(b.dir, "probe"))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = f.Close() }()
	var out sample
	for range syncProbes {
		start := time.Now()
		_, err := f.Write(make([]byte, 4096))
		if err == nil {
			err = f.Sync()
		}
		out.add(time.Since(start), err)
	}
	return fmt.Sprintf("load average %s, sync of 4 KB p50 %.2f p95 %.2f ms", loadAverage(), out.quantile(.5), out.quantile(.95))
}
