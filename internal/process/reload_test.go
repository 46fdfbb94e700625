package process

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/platform"
	"github.com/figlb/figlb/settings"
)

// settingsText states each field of the platform's settings file that a process uses.
const settingsText = `node-name = "core-1"
ip = "10.1.0.35"
zone = "lagos-a"
internal-port-range = [7780,7795]
seed-nodes = ["10.1.0.35:8367","10.2.0.41:8367"]
bootstrap = true
data-dir = "/data"
[listen-addrs]
frontend = "10.1.0.35:8368"
readiness = "10.1.0.35:8369"
control-plane = "10.1.0.35:8367"
[limits]
memory-mb = 280
disk-mb = 512
max-fds = 4100
[client-limits]
memory-mb = 40
connections = 100
connections-per-source = 20
internal-connections = 60
admin-connections = 8
head-lines = 50
body-stall-ms = 2000
body-bytes-per-s = 500
read-stall-ms = 9000
relay-kb = 256
[fault-tolerance]
machines = 1
[bounds]
grace-s = 8.0
exposure-share = 0.2
exposure-headroom = 40.0
rollback-ms = 4000.0
[cloud-api]
address = "10.200.0.99:8362"
`

// reload is a reloader of a settings file, with what it logs and passes on.
type reload struct {
	*reloader
	path   string
	lines  []string
	passed []*settings.Host // to a subscriber, after the settings at the start
}

func newReload(g Gomega, t *testing.T) *reload {
	r := &reload{path: filepath.Join(t.TempDir(), "boot.toml")}
	r.write(g, settingsText)
	load := func() (*settings.Host, error) { return platform.LoadSettings(r.path) }
	host, err := load()
	g.Expect(err).NotTo(HaveOccurred())
	log := funcr.New(func(_, args string) { r.lines = append(r.lines, args) }, funcr.Options{})
	r.reloader = newReloader(host, load, log, metrics.NewRegistry())
	r.subscribe(func(h *settings.Host) { r.passed = append(r.passed, h) })
	r.passed = nil
	return r
}

func (r *reload) write(g Gomega, text string) {
	g.Expect(os.WriteFile(r.path, []byte(text), 0o600)).To(Succeed())
}

// settle reads the file as a process does at one tick, or at SIGHUP.
func (r *reload) settle(signalled bool) {
	r.signalled = signalled
	for r.read() {
	}
}

func (r *reload) gauge(name string) int64 {
	return metrics.GetOrRegisterGauge(name, r.metrics).Value()
}

// fieldChanges has a line of the file and its replacement for each field.
var fieldChanges = []struct {
	field, line, changed string
	effect               settings.Effect
}{
	{"node-name", `node-name = "core-1"`, `node-name = "core-2"`, settings.AtRestart},
	{"ip", `ip = "10.1.0.35"`, `ip = "10.1.0.36"`, settings.AtRestart},
	{"zone", `zone = "lagos-a"`, `zone = "lagos-b"`, settings.AtRestart},
	{"internal-port-range", `[7780,7795]`, `[7781,7795]`, settings.AtRestart},
	{"seed-nodes", `,"10.2.0.41:8367"`, `,"10.2.0.42:8367"`, settings.AtReload},
	{"bootstrap", `bootstrap = true`, `bootstrap = false`, settings.AtCreation},
	{"data-dir", `"/data"`, `"/other"`, settings.AtRestart},
	{"listen-addrs.frontend", `frontend = "10.1.0.35:8368"`, `frontend = "10.1.0.35:80"`, settings.AtRestart},
	{"listen-addrs.readiness", `"10.1.0.35:8369"`, `"10.1.0.35:81"`, settings.AtRestart},
	{"listen-addrs.control-plane", `control-plane = "10.1.0.35:8367"`, `control-plane = "10.1.0.35:82"`, settings.AtRestart},
	{"limits.memory-mb", `memory-mb = 280`, `memory-mb = 290`, settings.AtRestart},
	{"limits.disk-mb", `disk-mb = 512`, `disk-mb = 1024`, settings.AtRestart},
	{"limits.max-fds", `max-fds = 4100`, `max-fds = 4200`, settings.AtRestart},
	{"client-limits.memory-mb", `memory-mb = 40`, `memory-mb = 41`, settings.AtRestart},
	{"client-limits.connections", "\nconnections = 100", "\nconnections = 101", settings.AtRestart},
	{"client-limits.connections-per-source", `connections-per-source = 20`, `connections-per-source = 21`, settings.AtRestart},
	{"client-limits.internal-connections", `internal-connections = 60`, `internal-connections = 61`, settings.AtRestart},
	{"client-limits.admin-connections", `admin-connections = 8`, `admin-connections = 9`, settings.AtRestart},
	{"client-limits.head-lines", `head-lines = 50`, `head-lines = 51`, settings.AtRestart},
	{"client-limits.body-stall-ms", `body-stall-ms = 2000`, `body-stall-ms = 2001`, settings.AtRestart},
	{"client-limits.body-bytes-per-s", `body-bytes-per-s = 500`, `body-bytes-per-s = 501`, settings.AtRestart},
	{"client-limits.read-stall-ms", `read-stall-ms = 9000`, `read-stall-ms = 9001`, settings.AtRestart},
	{"client-limits.relay-kb", "relay-kb = 256\n", "", settings.AtRestart},
	{"fault-tolerance.machines", `machines = 1`, `machines = 2`, settings.AtRestart},
	{"bounds.grace-s", `grace-s = 8.0`, `grace-s = 9.5`, settings.AtReload},
	{"bounds.exposure-share", `exposure-share = 0.2`, `exposure-share = 0.3`, settings.AtRestart},
	{"bounds.exposure-headroom", `exposure-headroom = 40.0`, `exposure-headroom = 50.0`, settings.AtRestart},
	{"bounds.rollback-ms", `rollback-ms = 4000.0`, `rollback-ms = 5000.0`, settings.AtRestart},
	{"cloud-api.address", `"10.200.0.99:8362"`, `"10.200.0.77:8362"`, settings.AtReload},
}

// Guards against a changed field that is neither taken over nor reported as needing a restart, with and without a SIGHUP.
func TestReloadOfEachField(t *testing.T) {
	for _, c := range fieldChanges {
		for _, signalled := range []bool{false, true} {
			t.Run(c.field, func(t *testing.T) {
				g := NewWithT(t)
				r := newReload(g, t)
				changed := strings.Replace(settingsText, c.line, c.changed, 1)
				g.Expect(changed).NotTo(Equal(settingsText))
				r.write(g, changed)
				r.settle(signalled)
				wantPending, wantPassed, wantLines := 0, 0, 1
				switch c.effect {
				case settings.AtRestart:
					wantPending = 1
				case settings.AtReload:
					wantPassed = 1
				case settings.AtCreation:
					wantLines = 0
				}
				g.Expect(r.gauge(pendingMetric)).To(BeEquivalentTo(wantPending))
				g.Expect(r.passed).To(HaveLen(wantPassed))
				g.Expect(r.lines).To(HaveLen(wantLines))
				for _, line := range r.lines {
					g.Expect(line).To(ContainSubstring(`"field"="` + c.field + `"`))
				}
				r.settle(false)
				g.Expect(r.lines).To(HaveLen(wantLines), "logged once without a SIGHUP")
				r.settle(true)
				g.Expect(r.lines).To(HaveLen(wantLines+wantPending), "logged again at a SIGHUP")
				r.write(g, settingsText)
				r.settle(signalled)
				g.Expect(r.gauge(pendingMetric)).To(BeZero())
			})
		}
	}
}

// Guards against a field that is added to the settings without a word on when it takes effect.
func TestEachFieldHasAnEffect(t *testing.T) {
	g := NewWithT(t)
	host, err := platform.ParseSettings([]byte(settingsText))
	g.Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile("../../docs/configuration.md")
	g.Expect(err).NotTo(HaveOccurred())
	var names, tested []string
	for _, f := range host.Fields {
		g.Expect(f.Value).NotTo(BeEmpty(), f.Name)
		names = append(names, f.Name)
	}
	for _, c := range fieldChanges {
		tested = append(tested, c.field)
		g.Expect(string(page)).To(ContainSubstring("`"+c.field+"`"), "docs/configuration.md")
	}
	g.Expect(names).To(ConsistOf(tested))
}

// Guards against new values that are passed on as the old ones.
func TestReloadPassesNewValues(t *testing.T) {
	g := NewWithT(t)
	r := newReload(g, t)
	r.write(g, strings.NewReplacer("8.0", "9.5", "0.99:8362", "0.77:8362", "10.2.0.41", "10.2.0.42").Replace(settingsText))
	r.settle(false)
	g.Expect(r.passed).To(HaveLen(1))
	g.Expect(r.passed[0].TargetsAddress).To(Equal("10.200.0.77:8362"))
	g.Expect(r.passed[0].Seeds).To(Equal([]string{"10.1.0.35:7780", "10.2.0.42:7780"}))
	g.Expect(r.settings().StopGracePeriod.Seconds()).To(Equal(9.5))
	var late *settings.Host
	r.subscribe(func(h *settings.Host) { late = h })
	g.Expect(late).To(Equal(r.passed[0]), "who subscribes later gets what is in force")
}

// Guards against a settings file that is being written, bad or gone and takes an address, or the settings as a whole,
// from a running process.
func TestReloadOfUnusableFiles(t *testing.T) {
	g := NewWithT(t)
	r := newReload(g, t)
	changed := strings.Replace(settingsText, "0.99:8362", "0.77:8362", 1)
	last := strings.LastIndex(changed, `"`) + 1 // from here on the file is whole
	unusable := []string{"", "\x00\x00", "{}}", strings.Replace(settingsText, "0.99:8362", "0.99", 1), strings.Replace(settingsText, `"10.1.0.35:8367","10.2.0.41:8367"`, "", 1)}
	for n := range last {
		unusable = append(unusable, changed[:n])
	}
	for _, text := range unusable {
		r.write(g, text)
		r.settle(true)
		g.Expect(r.gauge(unusableMetric)).To(BeEquivalentTo(1), text)
	}
	g.Expect(os.Remove(r.path)).To(Succeed())
	r.settle(false)
	g.Expect(r.gauge(unusableMetric)).To(BeEquivalentTo(1))
	g.Expect(r.passed).To(BeEmpty())
	n := len(r.lines)
	r.settle(false)
	g.Expect(r.lines).To(HaveLen(n), "the same failure is logged once")
	r.write(g, settingsText)
	r.settle(false)
	g.Expect(r.gauge(unusableMetric)).To(BeZero())
	g.Expect(r.passed).To(BeEmpty())
	r.write(g, changed)
	r.settle(false)
	g.Expect(r.passed).To(HaveLen(1))
}

// Guards against a file that is read while it changes: only what two successive readings agree on is taken over.
func TestReloadWaitsUntilTheFileSettles(t *testing.T) {
	g := NewWithT(t)
	r := newReload(g, t)
	for _, address := range []string{"0.1:8362", "0.2:8362", "0.3:8362"} {
		r.write(g, strings.Replace(settingsText, "0.99:8362", address, 1))
		g.Expect(r.read()).To(BeTrue())
		g.Expect(r.passed).To(BeEmpty())
	}
	g.Expect(r.read()).To(BeFalse())
	g.Expect(r.passed).To(HaveLen(1))
	g.Expect(r.passed[0].TargetsAddress).To(Equal("10.200.0.3:8362"))
}
