package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/platform/standin"
)

const (
	// memoryMB and maxFDs are the limits in the settings of the hosts, which the checks use as bounds.
	memoryMB = 100
	maxFDs   = 200
	// metricsPort is the port of the metrics on each host.
	metricsPort = 9464
	apiKey      = "key-1"
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "figlb-crowd")
	if err == nil {
		bin = dir
		var out []byte
		out, err = exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...").CombinedOutput()
		_, _ = os.Stderr.Write(out)
	}
	code := 1
	if err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// site is a gateway, a controller and a target.
type site struct {
	t                   *testing.T
	g                   *WithT
	gateway, controller *testsite.Process
	gatewayIP           string
	controllerIP        string
}

func startSite(t *testing.T) *site {
	s := &site{t: t, g: NewWithT(t)}
	a, b, c := 1+rand.IntN(250), 1+rand.IntN(250), 20+rand.IntN(200)
	s.controllerIP, s.gatewayIP = fmt.Sprintf("127.%d.%d.%d", c, a, b), fmt.Sprintf("127.%d.%d.%d", c, a, b+1)
	target := listen(t, http.HandlerFunc(serveTarget))
	list := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entries := []map[string]any{}
		for _, service := range []string{"app", "lm"} {
			entries = append(entries, map[string]any{"id": service + "-1", "service": service, "address": target, "zone": "z1",
				"slots": 1000, "state": "ready", "version": "v1", "cold-remaining-ms": 0})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
	}))
	start := func(kind, ip string) *testsite.Process {
		dir := t.TempDir()
		set := standin.Settings{Name: kind, IP: ip, Zone: "z1", Seeds: []string{s.controllerIP}, Bootstrap: true,
			DataDir: filepath.Join(dir, "data"), List: list, MemoryMB: memoryMB, MaxFDs: maxFDs, SingleHost: true}
		path := filepath.Join(dir, "settings.toml")
		s.g.Expect(os.WriteFile(path, []byte(set.Text()), 0o600)).To(Succeed())
		p := testsite.NewProcess(kind, filepath.Join(bin, "figlb-"+kind), "-config", path)
		s.g.Expect(p.Start()).To(Succeed())
		t.Cleanup(p.Kill)
		t.Cleanup(func() { logTail(t, p) })
		return p
	}
	s.controller = start("controller", s.controllerIP)
	s.gateway = start("gateway", s.gatewayIP)
	s.g.Eventually(func() bool {
		var o standin.Operator
		return o.Put(s.control(), standin.Document(1, map[string]string{"org": apiKey}, 1e6))
	}, "20s", "100ms").Should(BeTrue(), "no configuration accepted")
	s.g.Eventually(s.requestFromGateway, "20s", "50ms").Should(Succeed())
	return s
}

func listen(t *testing.T, h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }() // returns after Close
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// bigAnswer is the size of the target's answer to a path that ends with "big".
const bigAnswer = 8 << 20

// serveTarget answers as a target does: with a stream under /draft/, else with a plain response.
func serveTarget(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	standin.Sign(w, r)
	size := 2
	if strings.HasSuffix(r.URL.Path, "big") {
		size = bigAnswer
	}
	if strings.HasPrefix(r.URL.Path, "/draft/") {
		w.Header().Set("Content-Type", "text/event-stream")
		event := "data: " + strings.Repeat("x", 1000) + "\n\n"
		for n := 0; n < size; n += len(event) {
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
		}
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(w, strings.Repeat("x", size))
}

func logTail(t *testing.T, p *testsite.Process) {
	const tail = 3000
	out := p.Stdout() + p.Stderr()
	if t.Failed() {
		t.Logf("log of %s: %s", p.Name, out[max(0, len(out)-tail):])
	}
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (s *site) front() string     { return address(s.gatewayIP, standin.FrontPort) }
func (s *site) readiness() string { return address(s.gatewayIP, standin.ReadinessPort) }
func (s *site) metrics() string   { return address(s.gatewayIP, metricsPort) }
func (s *site) control() string   { return address(s.controllerIP, standin.ControlPort) }

// requestFromGateway sends an ordinary request with a body.
func (s *site) requestFromGateway() error {
	c := standin.NewCaller()
	defer c.Close()
	r := c.Do(context.Background(), s.front(), &standin.Call{ID: fmt.Sprint("ordinary-", rand.Int64()), Method: http.MethodPost, Host: "site.example",
		Path: "/look/x", Body: strings.Repeat("b", 17<<10), Key: apiKey, Deadline: 3 * time.Second})
	if r.Status != http.StatusOK || !r.Complete {
		return fmt.Errorf("status %d, complete %t: %s", r.Status, r.Complete, r.Body)
	}
	return nil
}

// get returns a check that a path answers with 200 on a new connection.
func get(addr, path string, header ...string) func() error {
	return func() error {
		client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			return err
		}
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d, %w", resp.StatusCode, err)
		}
		return nil
	}
}

// usage is the highest use of a process so far.
type usage struct {
	pid int
	fds int
}

func (u *usage) sample() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid))
	if err == nil {
		u.fds = max(u.fds, len(entries))
	}
}

// peakMB returns the peak resident set of the process.
func (u *usage) peakMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return -1
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}
