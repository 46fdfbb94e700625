package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const (
	entryText = "[entry]\nid = e1\nzone = a\nlisten = 127.0.0.1:8080\nadmin = 127.0.0.1:8081\nstate = 127.0.0.1:7001, 127.0.0.1:7002\n"
	stateText = "[state]\nid = s1\nzone = a\nlisten = 127.0.0.1:7001\nadmin = 127.0.0.1:7101\ndata = d\nmembers = s1=127.0.0.1:7001,s2=127.0.0.1:7002\n"
)

func file(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "settings.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("settings", func() {
	It("reads an entry's file and fills in defaults", func() {
		f, err := settings.LoadEntry(file(entryText + "drain_deadline = 5s\n[log]\nlevel = debug\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Entry.State).To(Equal([]string{"127.0.0.1:7001", "127.0.0.1:7002"}))
		Expect(f.Entry.DrainDeadline).To(Equal(5 * time.Second))
		Expect(f.Entry.Groups).To(Equal(settings.DefaultGroups))
		Expect(f.Log.Level).To(Equal("debug"))
	})

	It("reads a state member's file", func() {
		f, err := settings.LoadState(file(stateText))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.ParseMembers(f.State.Members)).To(HaveLen(2))
	})

	// A process must not start with defaults in place of invalid settings.
	DescribeTable("rejects",
		func(text, want string) {
			load := func() error { _, err := settings.LoadEntry(file(text)); return err }
			if text[:7] == "[state]" {
				load = func() error { _, err := settings.LoadState(file(text)); return err }
			}
			Expect(load()).To(MatchError(ContainSubstring(want)))
		},
		Entry("an unknown section", entryText+"[extra]\n", "[extra] section is unknown"),
		Entry("an unknown key", entryText+"colour = red\n", "settings.ini:7: [entry] colour: key is unknown"),
		Entry("a missing key", "[entry]\nid = e1\n", "zone: key is missing; add it"),
		Entry("a missing main section", "[log]\nlevel = info\n", "[entry] section is missing"),
		Entry("a host name instead of an IP address", "[entry]\nid = e\nzone = a\nlisten = localhost:1\nadmin = 127.0.0.1:1\nstate = 127.0.0.1:1\n", "is not ip:port"),
		Entry("an incomplete set of TLS files", entryText+"[tls]\nca = x\n", "set all three or none"),
		Entry("an unknown exporter", entryText+"[trace]\nexporter = x\n", "use one of otlpgrpc"),
		Entry("a member that is not id=ip:port", stateText[:len(stateText)-1]+",x\n", "not id=ip:port"),
		Entry("an unknown log level", stateText+"[log]\nlevel = loud\n", "use one of debug"),
		Entry("a member listed twice", stateText[:len(stateText)-1]+",s2=127.0.0.1:7003\n", "is listed twice"),
		Entry("a member list without this member", "[state]\nid = s9\n"+stateText[len("[state]\nid = s1\n"):], "id s9 is not listed"),
	)

	It("reports that no settings file was given", func() {
		_, err := settings.LoadState("")
		Expect(err).To(MatchError(ContainSubstring("use -config FILE")))
	})

	It("reports the path of a missing file", func() {
		_, err := settings.LoadEntry("missing.ini")
		Expect(err).To(MatchError(ContainSubstring("cannot read missing.ini")))
	})
})
