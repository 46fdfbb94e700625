package process

import (
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/settings"
)

// signalSelf sends a signal to the test's own process and waits until it has been delivered.
func signalSelf(g Gomega, s syscall.Signal) {
	g.Expect(syscall.Kill(os.Getpid(), s)).To(Succeed())
	time.Sleep(50 * time.Millisecond)
}

// Guards against a process that does not start because its settings file is being written at that moment.
func TestStartWhileTheSettingsAreWritten(t *testing.T) {
	g := NewWithT(t)
	loads := 0
	p, err := start("figlb-test", notifySignals(), func() (*settings.Host, error) {
		if loads++; loads < 4 {
			return nil, errors.New("cannot decode the settings file")
		}
		return &settings.Host{Name: "h", Seeds: []string{"127.0.0.1:1"}}, nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	p.Close()
	began := time.Now()
	_, err = start("figlb-test", notifySignals(), func() (*settings.Host, error) {
		return nil, errors.New("cannot decode the settings file")
	})
	g.Expect(err).To(MatchError("cannot decode the settings file"))
	g.Expect(time.Since(began)).To(BeNumerically("<", startWait+time.Second), "a bad file ends the process with its error")
}

// TestStopDuringReloads guards against a SIGTERM that is lost while reloads are pending, so that the process is killed at
// the end of its grace period with requests in flight.
func TestStopDuringReloads(t *testing.T) {
	g := NewWithT(t)
	var loads atomic.Int32
	release := make(chan struct{})
	p, err := start("figlb-test", notifySignals(), func() (*settings.Host, error) {
		if loads.Add(1) > 1 {
			<-release
		}
		return &settings.Host{Name: "h", Seeds: []string{"127.0.0.1:1"}}, nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer p.Close()
	defer close(release)
	signalSelf(g, syscall.SIGHUP)
	g.Eventually(loads.Load).Should(BeEquivalentTo(2))
	signalSelf(g, syscall.SIGHUP)
	signalSelf(g, syscall.SIGTERM)
	g.Eventually(p.StopContext.Done(), time.Second).Should(BeClosed())
}
