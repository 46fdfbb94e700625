package main

import (
	"flag"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/standin/engine"
	"github.com/figlb/figlb/standin/hostlist"
	"github.com/figlb/figlb/standin/orders"
	"github.com/figlb/figlb/standin/tools"
	"github.com/figlb/figlb/standin/weights"
)

const (
	defaultToolDelay   = 100 * time.Millisecond
	defaultWeightRate  = 64 << 20  // bytes per second
	defaultWeightBytes = 256 << 20 // bytes per object
	defaultListLag     = 2 * time.Second
)

// standin is a running stand-in.
type standin interface {
	Addr() string
	Close()
}

type options struct {
	role        string
	listen      string
	count       int
	engine      engine.Config
	toolDelay   time.Duration
	weightRate  int
	weightBytes int
	listLag     time.Duration
}

func parseOptions(args []string) (*options, error) {
	o := &options{engine: engine.DefaultConfig()}
	f := flag.NewFlagSet("figlb-standin", flag.ContinueOnError)
	f.StringVar(&o.role, "role", "engine", "engine, orders, tools, weights or hostlist")
	f.StringVar(&o.listen, "listen", "127.0.0.1:0", "addresses ip:port, separated by commas; one stand-in each")
	f.IntVar(&o.count, "engines", 1, "number of stand-ins on consecutive ports of a single -listen address")
	f.DurationVar(&o.toolDelay, "tool-delay", defaultToolDelay, "tools: duration of a call")
	f.IntVar(&o.weightRate, "weight-rate", defaultWeightRate, "weights: bytes per second of all downloads together")
	f.IntVar(&o.weightBytes, "weight-bytes", defaultWeightBytes, "weights: bytes of an object")
	f.DurationVar(&o.listLag, "list-lag", defaultListLag, "hostlist: delay before a change becomes visible")
	engineFlags(f, &o.engine)
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() > 0 {
		return nil, errors.Errorf("argument %q is unknown; use flags only", f.Arg(0))
	}
	return o, nil
}

func engineFlags(f *flag.FlagSet, c *engine.Config) {
	f.IntVar(&c.MaxBatch, "max-batch", c.MaxBatch, "engine: maximum number of concurrent requests")
	f.DurationVar(&c.StepBase, "step-base", c.StepBase, "engine: base duration of a step")
	f.DurationVar(&c.StepPerRequest, "step-per-request", c.StepPerRequest, "engine: step time per running request")
	f.DurationVar(&c.PrefillPerToken, "prefill-per-token", c.PrefillPerToken, "engine: time per uncached prompt token")
	f.IntVar(&c.PrefillChunk, "prefill-chunk", c.PrefillChunk, "engine: maximum number of prompt tokens per step")
	f.IntVar(&c.CacheTokens, "cache-tokens", c.CacheTokens, "engine: size of the KV cache in tokens")
	f.DurationVar(&c.ColdFor, "cold-for", c.ColdFor, "engine: time after a start during which the engine is cold")
	f.IntVar(&c.ColdSlots, "cold-slots", c.ColdSlots, "engine: concurrent requests that a cold engine can handle")
	f.StringVar((*string)(&c.ColdMode), "cold-mode", string(c.ColdMode), "engine: behaviour above the cold limit, 503 or slow")
	f.Float64Var(&c.ColdSlowdown, "cold-slowdown", c.ColdSlowdown, "engine: factor of the step time above the cold limit")
	f.DurationVar(&c.LoadLag, "load-lag", c.LoadLag, "engine: age of the load reported by GET /load")
	f.DurationVar(&c.EventLag, "event-lag", c.EventLag, "engine: delay of cache events")
	f.Float64Var(&c.EventLoss, "event-loss", c.EventLoss, "engine: share of cache events that are lost")
	f.BoolVar(&c.ChecksFencing, "checks-fencing", c.ChecksFencing, "engine: refuse orders with old fencing numbers")
	f.StringVar(&c.CrashMarker, "crash-marker", c.CrashMarker, "engine: text in a request that crashes it")
	f.DurationVar(&c.CrashDowntime, "crash-downtime", c.CrashDowntime, "engine: downtime after a crash")
}

// addresses returns the listen address of each stand-in. A single address with -engines N
// expands to N consecutive ports, or to N ports chosen by the system if its port is 0.
func (o *options) addresses() ([]string, error) {
	addrs := strings.Split(o.listen, ",")
	if o.count == 1 || len(addrs) > 1 {
		return addrs, nil
	}
	host, port, err := net.SplitHostPort(o.listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen address %s", o.listen)
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return nil, errors.Wrapf(err, "port of %s", o.listen)
	}
	addrs = nil
	for i := range o.count {
		p := first + i
		if first == 0 {
			p = 0
		}
		addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(p)))
	}
	return addrs, nil
}

// startAll starts one stand-in per address. If one fails, it returns the error together with
// the stand-ins already started, which the caller has to close.
func (o *options) startAll(addrs []string) ([]standin, error) {
	start, err := o.starter()
	if err != nil {
		return nil, err
	}
	var out []standin
	for _, a := range addrs {
		s, err := start(strings.TrimSpace(a))
		if err != nil {
			return out, err
		}
		out = append(out, s)
	}
	return out, nil
}

// starter returns a function that starts a stand-in of the chosen role.
func (o *options) starter() (func(addr string) (standin, error), error) {
	switch o.role {
	case "engine":
		return func(a string) (standin, error) { return engine.Start(a, o.engine) }, nil
	case "orders":
		store := orders.NewStore()
		return func(a string) (standin, error) { return orders.Start(a, store) }, nil
	case "tools":
		return func(a string) (standin, error) { return tools.Start(a, o.toolDelay) }, nil
	case "weights":
		return func(a string) (standin, error) { return weights.Start(a, o.weightRate, o.weightBytes) }, nil
	case "hostlist":
		return func(a string) (standin, error) { return hostlist.Start(a, o.listLag) }, nil
	}
	return nil, errors.Errorf("role %q is unknown; use engine, orders, tools, weights or hostlist", o.role)
}
