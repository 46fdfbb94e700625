package e2e_test

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
)

var _ = Describe("settings files that change", func() {
	// Guards against a SIGHUP that ends a process of a site, with its requests, and against a change that nobody is told of.
	It("end no process, and what needs a restart is logged", func() {
		s := startSite(testsite.Options{Members: 1, Entries: 1, Engines: 1})
		processes := map[string]*testsite.Process{"state-1.ini": s.Members[0], "entry-1.ini": s.Entries[0]}
		for name, p := range processes {
			path := filepath.Join(s.DataDir(0), "..", "..", name)
			text, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(path, append(text, "\n[log]\nlevel = debug\n"...), 0o600)).To(Succeed())
			pid := p.PID()
			p.Signal(syscall.SIGHUP)
			Eventually(p.Stderr, "3s").Should(ContainSubstring(`"field":"log.level","value":"debug","in_force":"info"`))
			Expect(os.WriteFile(path, text[:len(text)/2], 0o600)).To(Succeed())
			p.Signal(syscall.SIGHUP)
			Eventually(p.Stderr, "3s").Should(ContainSubstring("cannot reload settings; keeping the previous ones"))
			Consistently(p.Running, 300*time.Millisecond).Should(BeTrue())
			Expect(p.PID()).To(Equal(pid))
			Expect(strings.Count(p.Stderr(), "received SIGHUP")).To(Equal(2))
		}
		status, _ := modelsStatus(newCaller(""), s.EntryAddrs[0])
		Expect(status).NotTo(BeZero(), "the entry serves")
	})
})
