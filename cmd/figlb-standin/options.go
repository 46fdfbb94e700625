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

func parse(args []string) (*options, error) {
	o := &options{engine: engine.DefaultConfig()}
	f := flag.NewFlagSet("figlb-standin", flag.ContinueOnError)
	f.StringVar(&o.role, "role", "engine", "engine, orders, tools, weights or hostlist")
	f.StringVar(&o.listen, "listen", "127.0.0.1:0", "addresses ip:port, separated by commas; one stand-in each")
	f.IntVar(&o.count, "engines", 1, "number of stand-ins on consecutive ports of a single -listen address")
	f.DurationVar(&o.toolDelay, "tool-delay", defaultToolDelay, "tools: time of a call")
	f.IntVar(&o.weightRate, "weight-rate", defaultWeightRate, "weights: bytes per second of all downloads together")
	f.IntVar(&o.weightBytes, "weight-bytes", defaultWeightBytes, "weights: bytes of an object")
	f.DurationVar(&o.listLag, "list-lag", defaultListLag, "hostlist: time after which a change shows")
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
	f.IntVar(&c.MaxBatch, "max-batch", c.MaxBatch, "engine: most requests that run at the same time")
	f.DurationVar(&c.StepBase, "step-base", c.StepBase, "engine: time of a step")
	f.DurationVar(&c.StepPerRequest, "step-per-request", c.StepPerRequest, "engine: step time per running request")
	f.DurationVar(&c.PrefillPerToken, "prefill-per-token", c.PrefillPerToken, "engine: time per uncached prompt token")
	f.IntVar(&c.PrefillChunk, "prefill-chunk", c.PrefillChunk, "engine: most prompt tokens per step")
	f.IntVar(&c.CacheTokens, "cache-tokens", c.CacheTokens, "engine: memory for KV cache in tokens")
	f.DurationVar(&c.ColdFor, "cold-for", c.ColdFor, "engine: time after a start in which it is cold")
	f.IntVar(&c.ColdSlots, "cold-slots", c.ColdSlots, "engine: requests a cold engine can carry")
	f.StringVar((*string)(&c.ColdMode), "cold-mode", string(c.ColdMode), "engine: above the cold limit, 503 or slow")
	f.Float64Var(&c.ColdSlowdown, "cold-slowdown", c.ColdSlowdown, "engine: factor of the step time above the cold limit")
	f.DurationVar(&c.LoadLag, "load-lag", c.LoadLag, "engine: age of what GET /load reports")
	f.DurationVar(&c.EventLag, "event-lag", c.EventLag, "engine: delay of cache events")
	f.Float64Var(&c.EventLoss, "event-loss", c.EventLoss, "engine: share of cache events that are lost")
	f.BoolVar(&c.ChecksFencing, "checks-fencing", c.ChecksFencing, "engine: refuse orders with old fencing numbers")
	f.StringVar(&c.CrashMarker, "crash-marker", c.CrashMarker, "engine: text in a request that crashes it")
	f.DurationVar(&c.CrashDowntime, "crash-downtime", c.CrashDowntime, "engine: time it is gone after a crash")
}

// listeners returns the address of each stand-in.
func (o *options) listeners() ([]string, error) {
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

// start starts one stand-in per address. It returns those that were started also when
// one of them fails.
func (o *options) start(addrs []string) ([]standin, error) {
	open, err := o.opener()
	if err != nil {
		return nil, err
	}
	var out []standin
	for _, a := range addrs {
		s, err := open(strings.TrimSpace(a))
		if err != nil {
			return out, err
		}
		out = append(out, s)
	}
	return out, nil
}

// opener returns the function that starts a stand-in of the role.
func (o *options) opener() (func(addr string) (standin, error), error) {
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
