package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	controllers = 3
	gateways    = 2
	// readyTimeout bounds the start of the site.
	readyTimeout = 20 * time.Second
	// The following are bounds of the small deployments in the users' pages.
	contact    = 3 * time.Second
	drainBound = 3 * time.Second
	evacuation = 5 * time.Second
	// firstNetwork and networkCount bound the loopback networks 127.N.0.0 of a site, claimPort is the port
	// that reserves one.
	firstNetwork = 20
	networkCount = 200
	claimPort    = 7698

	key      = "3fexd9dnn2ctnfzs989a"
	tenant   = "hule930"
	callRate = 100000 // requests per second that the tenant may send: no limit here
)

// host is a process of the site with its settings.
type host struct {
	process
	ip       string
	settings standin.Settings
}

// site holds the processes and stand-ins of a case.
type site struct {
	rec         *record
	dir         string
	network     int
	claim       net.Listener
	list        *list
	log         standin.RunLog
	targets     []*standin.Target
	controllers []*host
	gateways    []*host
	operator    standin.Operator
}

// startSite starts a site with four targets of a plain service and two of a model service. The site has to be
// stopped also after an error.
func startSite(rec *record) (*site, error) {
	s := &site{rec: rec}
	var err error
	if s.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return s, err
	}
	if err := s.claimNetwork(); err != nil {
		return s, err
	}
	if s.list, err = startList(); err != nil {
		return s, err
	}
	for i := range 4 {
		if err := s.addTarget(fmt.Sprint("app-", i+1), "app", fmt.Sprint("z", i/2)); err != nil {
			return s, err
		}
	}
	for i := range 2 {
		if err := s.addTarget(fmt.Sprint("lm-", i+1), "lm", fmt.Sprint("z", i)); err != nil {
			return s, err
		}
	}
	s.list.set(s.targets)
	for i := range controllers {
		s.controllers = append(s.controllers, s.newHost("controller", i))
	}
	for i := range gateways {
		s.gateways = append(s.gateways, s.newHost("gateway", i))
	}
	for _, h := range append(append([]*host{}, s.controllers...), s.gateways...) {
		if err := s.writeSettings(h); err != nil {
			return s, err
		}
		if err := h.start(); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// claimNetwork reserves a loopback network that no other site on this computer uses.
func (s *site) claimNetwork() (err error) {
	for i := range networkCount {
		s.network = firstNetwork + (os.Getpid()+i)%networkCount
		s.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.3.1:%d", s.network, claimPort))
		if err == nil {
			return nil
		}
	}
	return err
}

func (s *site) addTarget(id, service, zone string) error {
	t := &standin.Target{ID: id, Service: service, Zone: zone, Slots: 16, Log: &s.log, Stream: service == "lm", Version: "v1"}
	if err := t.Start(fmt.Sprintf("127.%d.2.%d", s.network, len(s.targets)+1)); err != nil {
		return err
	}
	s.targets = append(s.targets, t)
	return nil
}

func (s *site) newHost(kind string, n int) *host {
	number := len(s.controllers) + len(s.gateways)
	h := &host{ip: fmt.Sprintf("127.%d.0.%d", s.network, number+1)}
	name := fmt.Sprint(kind, "-", n)
	h.process = process{name: name, bin: "target/figlb-" + kind, config: filepath.Join(s.dir, name+".toml"),
		logFile: filepath.Join(s.dir, name+".log")}
	h.settings = standin.Settings{Name: name, IP: h.ip, Zone: fmt.Sprint("z", n%2), Bootstrap: true,
		Seeds: []string{s.hostIP(0), s.hostIP(1), s.hostIP(2)}, DataDir: filepath.Join(s.dir, name), List: s.list.address(),
		MemoryMB: 284, MaxFDs: 4200, DiskMB: 128}
	return h
}

func (s *site) hostIP(number int) string { return fmt.Sprintf("127.%d.0.%d", s.network, number+1) }

func (s *site) writeSettings(h *host) error {
	return os.WriteFile(h.config, []byte(h.settings.Text()), 0o600)
}

func (h *host) front() string   { return fmt.Sprintf("%s:%d", h.ip, standin.FrontPort) }
func (h *host) control() string { return fmt.Sprintf("%s:%d", h.ip, standin.ControlPort) }

// ready reports whether a gateway answers the load balancer's question with 200.
func (h *host) ready() bool {
	c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, standin.ReadinessPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady sends the manifest until it is acknowledged and waits until all gateways are ready.
func (s *site) awaitReady() error {
	manifest := standin.Document(1, map[string]string{tenant: key}, callRate)
	until := time.Now().Add(readyTimeout)
	for n := 0; !s.operator.Put(s.controllers[n%controllers].control(), manifest); n++ {
		if time.Now().After(until) {
			return errors.New("the manifest was not acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.rec.line("manifest 1 acknowledged")
	for _, h := range s.gateways {
		if !awaitHost(h, until) {
			return fmt.Errorf("%s did not become ready", h.name)
		}
	}
	s.rec.line("all gateways ready")
	return nil
}

func awaitHost(h *host, until time.Time) bool {
	for !h.ready() {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return true
}

// orderEvacuation orders that a zone is evacuated and returns the time of the acknowledgement.
func (s *site) orderEvacuation(zone string) (time.Time, error) {
	for n := range 20 {
		if s.operator.SetZoneOut(s.controllers[n%controllers].control(), zone, true) {
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errors.New("the evacuation was not acknowledged")
}

// runsAfter records and counts the requests that some targets have run after a time.
func (s *site) runsAfter(at time.Time, targets ...*standin.Target) int {
	counted := map[string]bool{}
	for _, t := range targets {
		counted[t.ID] = true
	}
	n := 0
	for _, r := range s.log.All() {
		s.rec.line("run: at %s, attempt %s, target %s", s.rec.at(r.At), r.ID, r.Target)
		if counted[r.Target] && r.At.After(at) {
			n++
		}
	}
	return n
}

// busiest returns the target of the plain service that has run the most requests in the last second. Gateways
// prefer targets to which they have a connection, so some may have run none.
func (s *site) busiest() *standin.Target {
	runs := map[string]int{}
	for _, r := range s.log.All() {
		if time.Since(r.At) < time.Second {
			runs[r.Target]++
		}
	}
	best := s.targets[0]
	for _, t := range s.targets {
		if runs[t.ID] > runs[best.ID] {
			best = t
		}
	}
	return best
}

// inZone returns the targets in a zone.
func (s *site) inZone(zone string) []*standin.Target {
	var out []*standin.Target
	for _, t := range s.targets {
		if t.Zone == zone {
			out = append(out, t)
		}
	}
	return out
}

// stop ends all processes and stand-ins. The logs of the processes stay in the temporary folder if KEEP is set
// in the environment.
func (s *site) stop() {
	for _, h := range append(append([]*host{}, s.gateways...), s.controllers...) {
		h.signal(syscall.SIGCONT)
		h.kill()
	}
	for _, t := range s.targets {
		t.Close()
	}
	if s.list != nil {
		s.list.close()
	}
	if s.claim != nil {
		_ = s.claim.Close()
	}
	if s.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
