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
	controllerCount = 5
	gatewayCount    = 3
	storeCount      = 4
	// diskMB is the size of the hosts' disks in their settings. Turns fill the part of it that makes their
	// bodies go to the store hosts within some seconds.
	diskMB       = 8
	modelTargets = 4
	appTargets   = 3
	// targetsPerVersion is the number of targets that are started with the same software version.
	targetsPerVersion = 2
	// requestRate is the admitted requests per second of each organisation. It is below the
	// rate at which its callers send, so that each run includes requests refused at the limit.
	requestRate = 25
)

// host is a controller or gateway process of the site, with a relay in front of its internal
// port.
type host struct {
	name, kind, ip, bind string
	settings             standin.Settings
	configFile           string
	process              *testsite.Process
	relay                *testsite.Relay // nil if there is none
	links                *testsite.Proxy // of a gateway to the targets; nil for other hosts
	// busy is set while a fault stops or restarts the process. Without it, two concurrent
	// faults would start the process twice.
	busy atomic.Bool
	// lastDisturbed is when a fault last stopped or resumed the process, in Unix nanoseconds.
	lastDisturbed atomic.Int64
	// partitionedUntil is when the host last could not be reached by the other processes, in Unix nanoseconds;
	// the largest number while it cannot.
	partitionedUntil atomic.Int64
	// previousBuild is set until replaceBuild has replaced the program.
	previousBuild atomic.Bool
}

func (h *host) address(port int) string { return net.JoinHostPort(h.bind, fmt.Sprint(port)) }

// site holds the processes, targets and addresses of one soak.
type site struct {
	dir, bin     string
	network      int // second octet of the site's loopback addresses
	hosts        []*host
	list         standin.List
	networkClaim net.Listener // reserves the network; see claimNetwork
	listServer   *http.Server
	listAddr     string
	log          standin.RunLog
	rng          *rand.Rand
	power        *rand.Rand // of crash
	upgrading    bool       // some hosts run the production build

	mu             sync.Mutex
	targets        []*standin.Target
	targetsStarted int
}

func newSite(bin, dir string, seed int64, rng *rand.Rand) (*site, error) {
	s := &site{dir: dir, bin: bin, rng: rng, power: rand.New(rand.NewSource(seed ^ powerSeed))}
	var err error
	if s.network, s.networkClaim, err = claimNetwork(seed); err != nil {
		return nil, err
	}
	if err := s.startList(); err != nil {
		return nil, err
	}
	for range modelTargets {
		if err := s.addTarget("lm"); err != nil {
			return nil, err
		}
	}
	for range appTargets {
		if err := s.addTarget("app"); err != nil {
			return nil, err
		}
	}
	for i := range controllerCount {
		if _, err := s.addHost("controller", i); err != nil {
			return nil, err
		}
	}
	for i := range gatewayCount {
		if _, err := s.addHost("gateway", i); err != nil {
			return nil, err
		}
	}
	for i := range storeCount {
		if _, err := s.addHost("store", i); err != nil {
			return nil, err
		}
	}
	return s, s.startAll()
}

const (
	// firstNetwork and networks bound the loopback networks 127.N.0.0 that soaks use.
	firstNetwork = 20
	networkCount = 200
	// claimPort is the port on which a soak listens to reserve its network.
	claimPort = 7699
)

// claimNetwork reserves a loopback network that no other soak on this computer uses, starting
// the search at a network derived from the seed.
func claimNetwork(seed int64) (network int, claim net.Listener, err error) {
	for i := range int64(networkCount) {
		network = firstNetwork + int((seed+i)%networkCount)
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
	s.listServer = &http.Server{Handler: &s.list}
	go func() { _ = s.listServer.Serve(ln) }() // returns when stop closes the server
	return nil
}

func (s *site) addTarget(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsStarted++
	t := &standin.Target{ID: fmt.Sprint(service, "-", s.targetsStarted), Service: service, Zone: fmt.Sprint("z", s.targetsStarted%3),
		Slots: 16, Log: &s.log, Stream: service == "lm", Version: fmt.Sprint("v", (s.targetsStarted+1)/targetsPerVersion)}
	if err := t.Start(fmt.Sprintf("127.%d.2.%d", s.network, s.targetsStarted%250+1)); err != nil {
		return errors.WithStack(err)
	}
	s.targets = append(s.targets, t)
	s.list.Set(s.targets...)
	return nil
}

// allTargets returns all targets that have been started, including stopped ones.
func (s *site) allTargets() []*standin.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.targets)
}

func (s *site) seeds() []string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("127.%d.0.%d", s.network, i+1))
	}
	return out
}

// addHost prepares a host and writes its settings file. Controllers must be added first, so
// that the seed addresses are those of the first three controllers.
func (s *site) addHost(kind string, n int) (*host, error) {
	i := len(s.hosts) + 1
	h := &host{name: fmt.Sprint(kind, "-", n), kind: kind,
		ip: fmt.Sprintf("127.%d.0.%d", s.network, i), bind: fmt.Sprintf("127.%d.1.%d", s.network, i)}
	h.settings = standin.Settings{Name: h.name, IP: h.ip, Zone: fmt.Sprint("z", n%3), Seeds: s.seeds(),
		Bootstrap: true, DataDir: filepath.Join(s.dir, h.name), List: s.listAddr, DiskMB: diskMB}
	h.configFile = filepath.Join(s.dir, h.name+".toml")
	relay, err := testsite.NewRelayAt(net.JoinHostPort(h.ip, fmt.Sprint(standin.InternalPort)), h.address(standin.InternalPort))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.relay = relay
	args := []string{"-config", h.configFile, "-bind", h.bind}
	if kind == "gateway" {
		if h.links, err = testsite.NewProxy(); err != nil {
			return nil, errors.WithStack(err)
		}
		args = append(args, "-target-proxy", h.links.Addr())
	}
	h.process = testsite.NewProcess(h.name, filepath.Join(s.bin, "figlb-"+kind), args...)
	s.hosts = append(s.hosts, h)
	return h, s.writeConfig(h)
}

func (s *site) writeConfig(h *host) error {
	return errors.WithStack(writeFile(h.configFile, h.settings.Text()))
}

func (s *site) startAll() error {
	for _, h := range s.hosts {
		if err := h.process.Start(); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		h.settings.Bootstrap = false
	}
	return nil
}

func (s *site) hostsOfKind(kind string) []*host {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.kind != kind })
}

// ready reports whether a gateway's readiness endpoint answers with 200.
func ready(h *host) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + h.address(standin.ReadinessPort) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes, targets and listeners that the soak has started. It waits up to
// stopTimeout for each running fault on a host to end.
func (s *site) stop() {
	for _, h := range s.hosts {
		for until := time.Now().Add(stopTimeout); h.busy.Load() && time.Now().Before(until); {
			time.Sleep(20 * time.Millisecond)
		}
		h.process.Resume()
		h.process.Kill()
		if h.relay != nil {
			h.relay.Close()
		}
		if h.links != nil {
			h.links.Close()
		}
	}
	for _, t := range s.allTargets() {
		t.Close()
	}
	_ = s.networkClaim.Close()
	_ = s.listServer.Close()
}

// saveLogs writes the standard output and logs of the processes to dir.
func (s *site) saveLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	for _, h := range s.hosts {
		if err := os.WriteFile(filepath.Join(dir, h.name+".log"), []byte(h.process.Stdout()+h.process.Stderr()), 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
