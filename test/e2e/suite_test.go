// Package e2e_test proves the guarantees with real processes on loopback: they are
// killed, frozen, wiped and cut off silently while callers are served.
package e2e_test

import (
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "end to end")
}

// inForce is the bound for configuration, revocation and drains.
const inForce = 4 * time.Second

var bin string

var _ = BeforeSuite(func() {
	var err error
	bin, err = os.MkdirTemp("", "figlb-bin")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, bin)
	out, err := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "../../cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// startSite starts a site that ends with the spec. On failure the logs are attached.
func startSite(o testsite.Options) *testsite.Site {
	GinkgoHelper()
	o.Bin = bin
	o.Dir = dataDir()
	s, err := testsite.Start(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		s.Close()
		if CurrentSpecReport().Failed() {
			attachLogs(s)
		}
	})
	return s
}

// memoryFS is a file system in memory, on machines that have it.
const memoryFS = "/dev/shm"

// dataDir returns a folder for a site. It is in memory where possible: a killed process
// loses nothing that it has written, synced or not, so syncs to a disk would add only time,
// and the disks of shared test machines stall for up to 700 ms. The bounds of these tests
// are meant for disks that sync within 10 ms. Package wal tests what syncs are for.
func dataDir() string {
	GinkgoHelper()
	if _, err := os.Stat(memoryFS); err != nil {
		return GinkgoT().TempDir()
	}
	dir, err := os.MkdirTemp(memoryFS, "figlb-e2e-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	return dir
}

func attachLogs(s *testsite.Site) {
	const tail = 4000
	for _, p := range append(append([]*testsite.Process{}, s.Members...), s.Entries...) {
		log := p.Log()
		if len(log) > tail {
			log = log[len(log)-tail:]
		}
		AddReportEntry("log of "+p.Name, log, ReportEntryVisibilityFailureOrVerbose)
	}
}

// grant creates a key of an organisation that all entries know.
func grant(s *testsite.Site, org string) (*caller, string) {
	GinkgoHelper()
	key, id, err := s.GrantKey(org)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.WaitKey(key, inForce)).To(Succeed())
	return newCaller(key), id
}

// pick returns a function that picks one of the entries at random, as a balancer does.
func pick(addrs []string, seed int64) func() string {
	var mu sync.Mutex
	r := rand.New(rand.NewSource(seed))
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return addrs[r.Intn(len(addrs))]
	}
}
