package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Zones are the availability zones of the deployment.
var Zones = []string{"neng-a", "neng-b", "neng-c"}

// Size is the number of hosts of each class.
type Size struct{ Controllers, Gateways, Stores int }

// Small is the size of the deployment "gldw-figlb".
var Small = Size{Controllers: 5, Gateways: 6, Stores: 3}

// Site is a running deployment.
type Site struct {
	Record                        *Record
	List                          *List
	Controllers, Gateways, Stores []*Host
	Operator                      *Operator

	root, dir string
	prefix    string // of the loopback addresses
}

// Main runs a case and ends the process with the case's exit code. The working directory must be
// the root of the repository, and the first argument the folder of the case.
func Main(limit time.Duration, run func(folder string, trouble bool) (int, error)) {
	runtime.LockOSThread() // see Host.Start
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	time.AfterFunc(limit, func() {
		fmt.Println("the case took too long")
		os.Exit(ExitNotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; os.Exit(ExitNotRun) }()
	code, err := run(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = ExitNotRun
	}
	os.Exit(code)
}

// New prepares a deployment whose record is written to folder.
func New(folder string, size Size) (*Site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "figlb-review-")
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, root: root, dir: dir}
	if s.prefix, err = freeNetwork(); err != nil {
		return nil, err
	}
	if s.List, err = startList(s.Address(200) + ":8362"); err != nil {
		return nil, err
	}
	s.Controllers = s.hosts("core", size.Controllers, 10)
	s.Gateways = s.hosts("edge", size.Gateways, 40)
	s.Stores = s.hosts("storage", size.Stores, 100)
	s.Operator = &Operator{site: s}
	return s, nil
}

func (s *Site) hosts(class string, n, first int) []*Host {
	var out []*Host
	for i := range n {
		zone := Zones[i%len(Zones)]
		out = append(out, &Host{Name: fmt.Sprintf("%s-%s-%d", class, zone, i/len(Zones)+1), Class: class, Zone: zone,
			IP: s.Address(first + i), site: s, bootstrap: true})
	}
	return out
}

// Address returns a loopback address of the deployment.
func (s *Site) Address(n int) string { return fmt.Sprintf("%s.%d", s.prefix, n) }

// freeNetwork returns the first three bytes of a loopback network in which the ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		if portsFree(prefix) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback network")
}

func portsFree(prefix string) bool {
	for _, port := range []int{internalPort, controlPort, frontPort, readinessPort, metricsPort} {
		for _, host := range []int{10, 40, 100} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// Start starts all hosts, puts the first configuration and waits until all gateways are ready.
func (s *Site) Start(config []byte) error {
	for _, hosts := range [][]*Host{s.Controllers, s.Stores, s.Gateways} {
		for _, h := range hosts {
			if err := h.Start(); err != nil {
				return err
			}
			h.bootstrap = false
		}
	}
	if !s.Operator.Put(config, 20*time.Second) {
		return errors.New("the first configuration was not acknowledged")
	}
	until := time.Now().Add(20 * time.Second)
	for _, g := range s.Gateways {
		for !g.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not become ready", g.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Ready reports whether a gateway's readiness check succeeds.
func (h *Host) Ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.Readiness() + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends all processes. With KEEP set in the environment, it keeps their logs.
func (s *Site) Close() {
	for _, hosts := range [][]*Host{s.Gateways, s.Stores, s.Controllers} {
		for _, h := range hosts {
			h.end()
		}
	}
	s.List.close()
	s.Record.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}
