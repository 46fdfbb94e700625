package settings

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/inifile"
)

// TLS holds the paths of PEM files. CA, Cert and Key are for mutual TLS between figlb's
// processes; either all three are set or none.
type TLS struct {
	CA   string `ini:"ca"`
	Cert string `ini:"cert"`
	Key  string `ini:"key"`
	// CallerCert and CallerKey are for TLS with callers; only entries use them.
	CallerCert string `ini:"caller_cert"`
	CallerKey  string `ini:"caller_key"`
}

// Enabled reports whether connections between figlb's processes use TLS.
func (t TLS) Enabled() bool { return t.CA != "" }

// Trace configures the export of trace spans.
type Trace struct {
	// Exporter is "otlpgrpc", "otlphttp", "file" or "none".
	Exporter string  `ini:"exporter,oneof=otlpgrpc|otlphttp|file|none"`
	Endpoint string  `ini:"endpoint"` // host:port, or the path of the file
	Sampler  float64 `ini:"sampler,min=0"`
}

// Log configures the structured log on standard error.
type Log struct {
	Level string `ini:"level,oneof=debug|info|error"`
}

// Entry configures figlb-entry.
type Entry struct {
	ID     string   `ini:"id,required"`
	Zone   string   `ini:"zone,required"`   // availability zone
	Listen string   `ini:"listen,required"` // address for callers, ip:port
	Admin  string   `ini:"admin,required"`  // health and metrics, ip:port
	State  []string `ini:"state,required"`  // addresses of the state members
	Groups int      `ini:"groups,min=1"`    // number of organisation groups of the site
	// DrainNotice is the time between reporting unready and closing the listener, so that
	// the load balancer stops sending requests first. DrainDeadline bounds the wait for
	// in-flight requests.
	DrainNotice   time.Duration `ini:"drain_notice,min=0s"`
	DrainDeadline time.Duration `ini:"drain_deadline,min=1s"`
	// MaxBodyBytes bounds the size of a request body. A conversation history of 110,000
	// tokens is about half a megabyte of text, and larger as JSON.
	MaxBodyBytes int64         `ini:"max_body_bytes,min=1024"`
	BodyTimeout  time.Duration `ini:"body_timeout,min=100ms"`
	// MemoryMB and MaxFDs are the memory and the file descriptors that the process may use; 0: not
	// stated.
	MemoryMB int `ini:"memory_mb,min=0"`
	MaxFDs   int `ini:"max_fds,min=0"`
	// The following are the values of ClientLimits for an entry; 0: the default.
	ClientMemoryMB      int           `ini:"client_memory_mb,min=0"`
	ClientConnections   int           `ini:"client_connections,min=0"`
	ConnectionsBySource int           `ini:"client_connections_per_source,min=0"`
	AdminConnections    int           `ini:"admin_connections,min=0"`
	HeadLines           int           `ini:"head_lines,min=0"`
	BodyStall           time.Duration `ini:"body_stall,min=0s"`
	BodyPace            int64         `ini:"body_bytes_per_s,min=0"`
	ReadStall           time.Duration `ini:"read_stall,min=0s"`
}

// ClientLimits returns the bounds for clients of the entry.
func (e *Entry) ClientLimits() ClientLimits {
	c := ClientLimits{MemoryMB: e.ClientMemoryMB, Connections: e.ClientConnections, ConnectionsPerSource: e.ConnectionsBySource,
		AdminConnections: e.AdminConnections, HeadLines: e.HeadLines, BodyStall: e.BodyStall, BodyPace: e.BodyPace, ReadStall: e.ReadStall}
	return c.WithDefaults(e.MemoryMB, e.MaxFDs, false)
}

// State configures figlb-state.
type State struct {
	ID     string `ini:"id,required"`
	Zone   string `ini:"zone,required"`   // availability zone
	Listen string `ini:"listen,required"` // ip:port, for members, entries and operators
	Admin  string `ini:"admin,required"`  // health and metrics, ip:port
	Data   string `ini:"data,required"`   // data folder
	// Members lists all members as "id=ip:port".
	Members []string `ini:"members,required"`
	Groups  int      `ini:"groups,min=1"`
	// ProgramIdle is the time after which an idle program expires. EndedRetention is the
	// retention time of ended programs and finished calls.
	ProgramIdle    time.Duration `ini:"program_idle,min=1s"`
	EndedRetention time.Duration `ini:"keep_ended,min=1s"`
	// SpreadAfter is the time for which a member leads a group before it transfers the
	// leadership to the member that the group's number assigns; 0: it never does.
	SpreadAfter time.Duration `ini:"spread_after,min=0s"`
	// HostList is the URL of the platform's list of live and leaving hosts; empty if there
	// is none.
	HostList string `ini:"host_list"`
}

// EntryFile is the settings file of figlb-entry.
type EntryFile struct {
	Entry Entry `ini:"entry"`
	TLS   TLS   `ini:"tls"`
	Trace Trace `ini:"trace"`
	Log   Log   `ini:"log"`
}

// Fields lists the fields of the file, all of which need a restart.
func (f *EntryFile) Fields() []Field { return Fields(*f, "ini", nil) }

// StateFile is the settings file of figlb-state.
type StateFile struct {
	State State `ini:"state"`
	TLS   TLS   `ini:"tls"`
	Trace Trace `ini:"trace"`
	Log   Log   `ini:"log"`
}

// Fields lists the fields of the file, all of which need a restart.
func (f *StateFile) Fields() []Field { return Fields(*f, "ini", nil) }

// Default settings.
const (
	DefaultGroups        = 4
	defaultDrainNotice   = 2 * time.Second
	defaultDrainDeadline = 60 * time.Second
	defaultMaxBodyBytes  = 8 << 20
	defaultBodyTimeout   = 10 * time.Second
	defaultProgramIdle   = 24 * time.Hour
	defaultKeepEnded     = time.Hour
	defaultSpreadAfter   = time.Minute
)

// LoadEntry reads and validates the settings file of an entry.
func LoadEntry(path string) (*EntryFile, error) {
	f := &EntryFile{
		Entry: Entry{
			Groups:        DefaultGroups,
			DrainNotice:   defaultDrainNotice,
			DrainDeadline: defaultDrainDeadline,
			MaxBodyBytes:  defaultMaxBodyBytes,
			BodyTimeout:   defaultBodyTimeout,
		},
		Trace: defaultTrace(),
		Log:   Log{Level: "info"},
	}
	err := loadFile(path, map[string]any{"entry": &f.Entry, "tls": &f.TLS, "trace": &f.Trace, "log": &f.Log}, "entry",
		func(s *inifile.Section) inifile.Problems {
			ps := checkAddress(s, "listen", f.Entry.Listen)
			ps = append(ps, checkAddress(s, "admin", f.Entry.Admin)...)
			for _, a := range f.Entry.State {
				ps = append(ps, checkAddress(s, "state", a)...)
			}
			return ps
		})
	return f, err
}

// LoadState reads and validates the settings file of a state member.
func LoadState(path string) (*StateFile, error) {
	f := &StateFile{
		State: State{Groups: DefaultGroups, ProgramIdle: defaultProgramIdle, EndedRetention: defaultKeepEnded, SpreadAfter: defaultSpreadAfter},
		Trace: defaultTrace(),
		Log:   Log{Level: "info"},
	}
	err := loadFile(path, map[string]any{"state": &f.State, "tls": &f.TLS, "trace": &f.Trace, "log": &f.Log}, "state",
		func(s *inifile.Section) inifile.Problems {
			ps := checkAddress(s, "listen", f.State.Listen)
			ps = append(ps, checkAddress(s, "admin", f.State.Admin)...)
			return append(ps, checkMembers(s, f.State)...)
		})
	return f, err
}

func defaultTrace() Trace { return Trace{Exporter: "none", Sampler: 1} }

// loadFile decodes each section of a settings file into the value that sectionValues holds
// for it, and validates it; check validates the main section, which must be present.
func loadFile(path string, sectionValues map[string]any, mainSection string, check func(*inifile.Section) inifile.Problems) error {
	if path == "" {
		return errors.New("no settings file given; use -config FILE")
	}
	sections, ps, err := inifile.Load(path)
	if err != nil {
		return err
	}
	found := false
	for _, s := range sections {
		out, ok := sectionValues[s.Kind]
		if !ok || s.Name != "" {
			ps = append(ps, s.Problem("", "section is unknown", "use ["+mainSection+"], [tls], [trace] and [log] only"))
			continue
		}
		ps = append(ps, inifile.Decode(s, out)...)
		if s.Kind == mainSection {
			found = true
			ps = append(ps, check(s)...)
		}
		if t, ok := out.(*TLS); ok {
			ps = append(ps, checkTLS(s, t)...)
		}
	}
	if !found {
		ps = append(ps, inifile.Problem{File: path, Section: mainSection, Message: "section is missing", Remedy: "add it"})
	}
	return ps.Err()
}

func checkAddress(s *inifile.Section, key, addr string) inifile.Problems {
	if addr == "" {
		return nil // reported as missing
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return inifile.Problems{s.Problem(key, "address "+addr+" is not ip:port", "use an IP address and a port, for example 127.0.0.1:7001")}
	}
	return nil
}

// checkMembers validates the list of members, which must include this member itself.
func checkMembers(s *inifile.Section, st State) inifile.Problems {
	var ps inifile.Problems
	members, err := ParseMembers(st.Members)
	if err != nil {
		return inifile.Problems{s.Problem("members", err.Error(), "write id=ip:port, separated by commas")}
	}
	for _, m := range members {
		ps = append(ps, checkAddress(s, "members", m.Address)...)
	}
	for _, m := range members {
		if m.ID == st.ID {
			return ps
		}
	}
	return append(ps, s.Problem("members", "this member's id "+st.ID+" is not listed", "add it"))
}

func checkTLS(s *inifile.Section, t *TLS) inifile.Problems {
	set := 0
	for _, v := range []string{t.CA, t.Cert, t.Key} {
		if v != "" {
			set++
		}
	}
	var ps inifile.Problems
	if set != 0 && set != 3 {
		ps = append(ps, s.Problem("", "ca, cert and key must be set together", "set all three or none"))
	}
	if (t.CallerCert == "") != (t.CallerKey == "") {
		ps = append(ps, s.Problem("", "caller_cert and caller_key must be set together", "set both or none"))
	}
	return ps
}
