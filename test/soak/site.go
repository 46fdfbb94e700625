package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/platform/standin"
)

const (
	controllers = 5
	gateways    = 3
	models      = 4
	apps        = 3
	// requestRate is the admitted requests a second of each organisation, below what its
	// callers send, so that refusals at the rate are part of each run.
	requestRate = 25
)

// host is one process of the site. A relay stands before its internal port.
type host struct {
	name, kind, ip, bind string
	settings             standin.Settings
	file                 string
	proc                 *testsite.Process
	relay                *testsite.Relay // nil: none
	// busy marks a process that a fault has stopped or is stopping: a second one would
	// start it twice.
	busy atomic.Bool
	// disturbed is when a fault last stopped the process or let it go on, in Unix ns.
	disturbed atomic.Int64
}

func (h *host) address(port int) string { return net.JoinHostPort(h.bind, fmt.Sprint(port)) }

// site is the running site.
type site struct {
	dir, bin string
	net      int // second number of all loopback addresses
	hosts    []*host
	list     standin.List
	claim    net.Listener // keeps the network
	listSrv  *http.Server
	listAddr string
	log      standin.Log
	rng      *rand.Rand

	mu      sync.Mutex
	targets []*standin.Target
	born    int
}

func newSite(bin, dir string, seed int64, rng *rand.Rand) (*site, error) {
	s := &site{dir: dir, bin: bin, rng: rng}
	var err error
	if s.net, s.claim, err = claimNetwork(seed); err != nil {
		return nil, err
	}
	if err := s.startList(); err != nil {
		return nil, err
	}
	for range models {
		if err := s.addTarget("lm"); err != nil {
			return nil, err
		}
	}
	for range apps {
		if err := s.addTarget("app"); err != nil {
			return nil, err
		}
	}
	for i := range controllers {
		if _, err := s.addHost("controller", i); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		if _, err := s.addHost("gateway", i); err != nil {
			return nil, err
		}
	}
	return s, s.startAll()
}

const (
	// firstNetwork and networks are the loopback networks 127.N.0.0 of soaks.
	firstNetwork = 20
	networks     = 200
	// claimPort is open in a network while a soak uses it.
	claimPort = 7699
)

// claimNetwork finds a loopback network that no other soak on this machine uses, beginning
// with that of the seed.
func claimNetwork(seed int64) (network int, claim net.Listener, err error) {
	for i := range int64(networks) {
		network = firstNetwork + int((seed+i)%networks)
		claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.3.1:%d", network, claimPort))
		if err == nil {
			return network, claim, nil
		}
	}
	return 0, nil, errors.Wrap(err, "no free loopback network")
}

func (s *site) startList() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	s.listAddr = ln.Addr().String()
	s.listSrv = &http.Server{Handler: &s.list}
	go func() { _ = s.listSrv.Serve(ln) }() // ends with Close
	return nil
}

func (s *site) addTarget(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born++
	t := &standin.Target{ID: fmt.Sprint(service, "-", s.born), Service: service, Zone: fmt.Sprint("z", s.born%3),
		Slots: 16, Log: &s.log, Stream: service == "lm"}
	if err := t.Start(fmt.Sprintf("127.%d.2.%d", s.net, s.born%250+1)); err != nil {
		return errors.WithStack(err)
	}
	s.targets = append(s.targets, t)
	s.list.Set(s.targets...)
	return nil
}

// allTargets returns the targets that have been started.
func (s *site) allTargets() []*standin.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.targets)
}

func (s *site) seeds() []string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("127.%d.0.%d", s.net, i+1))
	}
	return out
}

// addHost prepares a host. Controllers come first, so that the seeds are the first three.
func (s *site) addHost(kind string, n int) (*host, error) {
	i := len(s.hosts) + 1
	h := &host{name: fmt.Sprint(kind, "-", n), kind: kind,
		ip: fmt.Sprintf("127.%d.0.%d", s.net, i), bind: fmt.Sprintf("127.%d.1.%d", s.net, i)}
	h.settings = standin.Settings{Name: h.name, IP: h.ip, Zone: fmt.Sprint("z", n%3), Seeds: s.seeds(),
		Bootstrap: true, DataDir: filepath.Join(s.dir, h.name), List: s.listAddr}
	h.file = filepath.Join(s.dir, h.name+".toml")
	relay, err := testsite.NewRelayAt(net.JoinHostPort(h.ip, fmt.Sprint(standin.InternalPort)), h.address(standin.InternalPort))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.relay = relay
	h.proc = testsite.NewProcess(h.name, filepath.Join(s.bin, "figlb-"+kind), "-config", h.file, "-bind", h.bind)
	s.hosts = append(s.hosts, h)
	return h, s.write(h)
}

func (s *site) write(h *host) error {
	return errors.WithStack(os.WriteFile(h.file, []byte(h.settings.Text()), 0o600))
}

func (s *site) startAll() error {
	for _, h := range s.hosts {
		if err := h.proc.Start(); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		h.settings.Bootstrap = false
	}
	return nil
}

func (s *site) of(kind string) []*host {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.kind != kind })
}

// ready reports whether a gateway says that it takes requests.
func ready(h *host) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + h.address(standin.ReadinessPort) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes that the soak has started.
func (s *site) stop() {
	for _, h := range s.hosts {
		for until := time.Now().Add(stopTimeout); h.busy.Load() && time.Now().Before(until); {
			time.Sleep(20 * time.Millisecond)
		}
		h.proc.Thaw()
		h.proc.Kill()
		if h.relay != nil {
			h.relay.Close()
		}
	}
	for _, t := range s.allTargets() {
		t.Close()
	}
	_ = s.claim.Close()
	_ = s.listSrv.Close()
}

// saveLogs keeps what the processes wrote.
func (s *site) saveLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	for _, h := range s.hosts {
		if err := os.WriteFile(filepath.Join(dir, h.name+".log"), []byte(h.proc.Stdout()+h.proc.Log()), 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
