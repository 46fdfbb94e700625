package testsite

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Options describe a site.
type Options struct {
	Bin     string // directory of the binaries
	Dir     string // directory for settings, data and declarations
	Members int
	Entries int
	Engines int
	Orders  int
	Groups  int
	// Catalogue makes the last order target serve the plain service "catalogue", which
	// Organisations must declare.
	Catalogue bool
	// HostList starts a stand-in for the platform's list of hosts.
	HostList bool
	// Zones are the availability zones, to which hosts, members and entries are assigned in
	// turn.
	Zones []string
	// Organisations is the text of the organisations in the base file. If empty, there is one
	// organisation "acme" with a rate limit that tests do not reach.
	Organisations string
	// EngineArgs are additional arguments of the stand-in for model engines.
	EngineArgs []string
	// Slots and ColdSlots are the settings of that name of each engine.
	Slots, ColdSlots int
	// DrainNotice and DrainDeadline are the settings of that name of each entry.
	DrainNotice, DrainDeadline time.Duration
	// Relays routes each connection to a state member through a relay, so that the connection
	// can be cut.
	Relays bool
	// TLS secures the connections between the site's processes with certificates that are
	// issued for the site.
	TLS bool
	// StateExtra and EntryExtra are additional lines of the [state] and [entry] sections.
	StateExtra, EntryExtra string
}

// Site is a running site.
type Site struct {
	opts    Options
	ip      string // address of members and entries
	Members []*Process
	Entries []*Process
	Engines *Process
	Orders  *Process
	Hosts   *Process

	// HostListAddr is the address of the platform's list of hosts.
	HostListAddr string
	MemberAddrs  []string
	EntryAddrs   []string
	EntryAdmin   []string
	EngineAddrs  []string
	OrderAddrs   []string

	// relays[from][to] is the relay from a member or entry to a member. In from, entries are
	// numbered after the members.
	relays [][]*Relay
}

func (o *Options) setDefaults() {
	if o.Groups == 0 {
		o.Groups = 2
	}
	if len(o.Zones) == 0 {
		o.Zones = []string{"zone-a", "zone-b", "zone-c"}
	}
	if o.Organisations == "" {
		o.Organisations = "[organisation acme]\nrate = 100000/s\nburst = 100000\n"
	}
	if o.Slots == 0 {
		o.Slots, o.ColdSlots = 16, 16
	}
	if o.DrainDeadline == 0 {
		o.DrainNotice, o.DrainDeadline = 200*time.Millisecond, 20*time.Second
	}
}

// Start starts the stand-ins and the members, applies the declaration and starts the
// entries.
func Start(o Options) (*Site, error) {
	o.setDefaults()
	s := &Site{opts: o, ip: randomLoopback()}
	steps := []func() error{s.issueCertificates, s.startTargets, s.startMembers, s.applyDeclaration, s.startEntries}
	for _, step := range steps {
		if err := step(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Close kills all processes and closes all relays.
func (s *Site) Close() {
	for _, p := range append(append([]*Process{s.Engines, s.Orders, s.Hosts}, s.Entries...), s.Members...) {
		if p != nil {
			p.Resume()
			p.Kill()
		}
	}
	for _, row := range s.relays {
		for _, r := range row {
			if r != nil {
				r.Close()
			}
		}
	}
}

func (s *Site) newProcess(name, binary string, args ...string) *Process {
	return &Process{Name: name, bin: filepath.Join(s.opts.Bin, binary), args: args}
}

func (s *Site) startTargets() error {
	var err error
	engineArgs := append([]string{"-role", "engine", "-listen", "127.0.0.1:0", "-engines", fmt.Sprint(s.opts.Engines)}, s.opts.EngineArgs...)
	s.Engines = s.newProcess("engines", "figlb-standin", engineArgs...)
	if s.EngineAddrs, err = startStandin(s.Engines, s.opts.Engines); err != nil {
		return err
	}
	if err := s.startHostList(); err != nil {
		return err
	}
	if s.opts.Orders == 0 {
		return nil
	}
	s.Orders = s.newProcess("orders", "figlb-standin", "-role", "orders", "-listen", "127.0.0.1:0", "-engines", fmt.Sprint(s.opts.Orders))
	s.OrderAddrs, err = startStandin(s.Orders, s.opts.Orders)
	return err
}

func (s *Site) startHostList() error {
	if !s.opts.HostList {
		return nil
	}
	s.Hosts = s.newProcess("hosts", "figlb-standin", "-role", "hostlist", "-listen", "127.0.0.1:0")
	addrs, err := startStandin(s.Hosts, 1)
	if err != nil {
		return err
	}
	s.HostListAddr = addrs[0]
	s.opts.StateExtra += "\nhost_list = http://" + addrs[0] + "/hosts"
	return nil
}

func startStandin(p *Process, n int) ([]string, error) {
	if err := p.Start(); err != nil {
		return nil, err
	}
	var ready struct{ Addresses []string }
	err := Within(10*time.Second, func() error {
		if !p.Running() {
			return errors.Errorf("%s exited: %s", p.Name, p.Stderr())
		}
		if err := json.Unmarshal([]byte(p.Stdout()), &ready); err != nil {
			return err
		}
		if len(ready.Addresses) != n {
			return errors.Errorf("%s listens on %d addresses, want %d", p.Name, len(ready.Addresses), n)
		}
		return nil
	})
	return ready.Addresses, err
}

func (s *Site) zone(i int) string { return s.opts.Zones[i%len(s.opts.Zones)] }

func (s *Site) startMembers() error {
	n := s.opts.Members
	addrs, err := freeAddrs(s.ip, 2*n)
	if err != nil {
		return err
	}
	s.MemberAddrs = addrs[:n]
	if err := s.makeRelays(); err != nil {
		return err
	}
	for i := range n {
		text := fmt.Sprintf("[state]\nid = %s\nzone = %s\nlisten = %s\nadmin = %s\ndata = %s\nmembers = %s\ngroups = %d\n%s\n%s",
			memberID(i), s.zone(i), s.MemberAddrs[i], addrs[n+i], s.DataDir(i), s.memberList(i), s.opts.Groups, s.opts.StateExtra, s.tlsSection("state"))
		path, err := s.writeFile(memberID(i)+".ini", text)
		if err != nil {
			return err
		}
		p := s.newProcess(memberID(i), "figlb-state", "-config", path)
		s.Members = append(s.Members, p)
		var extra []string
		if i == 0 {
			extra = []string{"-bootstrap"}
		}
		if err := p.Start(extra...); err != nil {
			return err
		}
	}
	return nil
}

func memberID(i int) string { return fmt.Sprintf("state-%d", i+1) }

// DataDir returns a member's data directory.
func (s *Site) DataDir(i int) string { return filepath.Join(s.opts.Dir, "data", memberID(i)) }

// WipeMember removes a member's data; the member must not be running.
func (s *Site) WipeMember(i int) error { return os.RemoveAll(s.DataDir(i)) }

func (s *Site) makeRelays() error {
	if !s.opts.Relays {
		return nil
	}
	for from := range s.opts.Members + s.opts.Entries {
		var row []*Relay
		for to := range s.opts.Members {
			if from == to {
				row = append(row, nil)
				continue
			}
			r, err := NewRelay(s.MemberAddrs[to])
			if err != nil {
				return err
			}
			row = append(row, r)
		}
		s.relays = append(s.relays, row)
	}
	return nil
}

// memberAddrFrom returns the address at which the member or entry from reaches the member to.
func (s *Site) memberAddrFrom(from, to int) string {
	if s.opts.Relays && from != to {
		return s.relays[from][to].Addr()
	}
	return s.MemberAddrs[to]
}

func (s *Site) memberList(from int) string {
	var items []string
	for to := range s.opts.Members {
		items = append(items, memberID(to)+"="+s.memberAddrFrom(from, to))
	}
	return strings.Join(items, ",")
}

// CutMember starts or ends a silent partition between a member and all other members and
// entries, in both directions.
func (s *Site) CutMember(i int, on bool) {
	for from, row := range s.relays {
		for to, r := range row {
			if r != nil && (from == i || to == i) {
				r.Cut(on)
			}
		}
	}
}

// EntryBytes returns the bytes that an entry has exchanged with the state members through
// its relays.
func (s *Site) EntryBytes(i int) (sent, received int64) {
	for _, r := range s.relays[s.opts.Members+i] {
		out, in := r.Bytes()
		sent, received = sent+out, received+in
	}
	return sent, received
}

// CutEntry starts or ends a silent partition between an entry and all members.
func (s *Site) CutEntry(i int, on bool) {
	for _, r := range s.relays[s.opts.Members+i] {
		r.Cut(on)
	}
}

func (s *Site) startEntries() error {
	addrs, err := freeAddrs(s.ip, 2*s.opts.Entries)
	if err != nil {
		return err
	}
	for i := range s.opts.Entries {
		if err := s.startEntry(i, addrs[2*i], addrs[2*i+1]); err != nil {
			return err
		}
	}
	for i := range s.Entries {
		if err := s.WaitReady(i, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startEntry(i int, listen, admin string) error {
	var state []string
	for to := range s.opts.Members {
		state = append(state, s.memberAddrFrom(s.opts.Members+i, to))
	}
	id := fmt.Sprintf("entry-%d", i+1)
	text := fmt.Sprintf("[entry]\nid = %s\nzone = %s\nlisten = %s\nadmin = %s\nstate = %s\ngroups = %d\ndrain_notice = %s\ndrain_deadline = %s\n%s\n%s",
		id, s.zone(i), listen, admin, strings.Join(state, ","), s.opts.Groups, s.opts.DrainNotice, s.opts.DrainDeadline, s.opts.EntryExtra, s.tlsSection("entry"))
	path, err := s.writeFile(id+".ini", text)
	if err != nil {
		return err
	}
	p := s.newProcess(id, "figlb-entry", "-config", path)
	s.Entries = append(s.Entries, p)
	s.EntryAddrs = append(s.EntryAddrs, listen)
	s.EntryAdmin = append(s.EntryAdmin, admin)
	return p.Start()
}

func (s *Site) writeFile(name, text string) (string, error) {
	path := filepath.Join(s.opts.Dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// FreeAddrs returns addresses on a random loopback IP whose ports have just been found free. On
// 127.0.0.1 an outgoing connection could be assigned such a port before the listener is
// opened; on the random IP that is unlikely, because nothing else uses it.
func FreeAddrs(n int) ([]string, error) { return freeAddrs(randomLoopback(), n) }

func freeAddrs(ip string, n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// randomLoopback returns an address of 127.0.0.0/8 other than 127.0.0.1.
func randomLoopback() string {
	const first, last = 1, 254
	octet := func() int { return first + rand.IntN(last-first) }
	return fmt.Sprintf("127.%d.%d.%d", 1+octet()%last, octet(), octet())
}

// Within calls f repeatedly until it succeeds or the timeout has passed, and returns the last
// error.
func Within(timeout time.Duration, f func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
