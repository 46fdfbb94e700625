package bodystore

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
)

// testBody returns a body whose content follows from its key.
func testBody(n, size int) *fleet.BodyPut {
	rng := rand.NewChaCha8([32]byte{byte(n), byte(n >> 8)})
	b := &fleet.BodyPut{Key: fleet.BodyKey("org", fmt.Sprint("attempt-", n)), Retention: time.Minute, Input: make([]byte, size), Output: make([]byte, size/10)}
	_, _ = rng.Read(b.Input) // never fails
	_, _ = rng.Read(b.Output)
	return b
}

func openStore(g Gomega, dir string, disk *testDisk, diskBytes int64) *Store {
	s, err := Open(Options{Dir: dir, Name: "s0", DiskBytes: diskBytes, Log: logr.Discard(), FS: disk, Now: sinceStart()})
	g.Expect(err).NotTo(HaveOccurred())
	return s
}

// sinceStart returns a clock that follows the time of package testing/synctest.
func sinceStart() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// expectBody checks that a store returns a body unchanged.
func expectBody(g Gomega, s *Store, want *fleet.BodyPut) {
	bodies, release, err := s.Get(context.Background(), []string{want.Key})
	g.Expect(err).NotTo(HaveOccurred())
	defer release()
	g.Expect(bodies[0].Found).To(BeTrue(), "%q is lost", want.Key)
	g.Expect(bytes.Equal(bodies[0].Input, want.Input) && bytes.Equal(bodies[0].Output, want.Output)).To(BeTrue(), "%q is changed", want.Key)
}

func put(s *Store, b *fleet.BodyPut) error {
	_, err := s.Put(context.Background(), b)
	return err
}

func segmentPaths(g Gomega, dir string) []string {
	names, err := filepath.Glob(filepath.Join(dir, "bodies", "*"+segmentSuffix))
	g.Expect(err).NotTo(HaveOccurred())
	return names
}

// Guards against acknowledged bodies that are lost or changed when the power fails at any moment, also after
// failed writes and after an end of the process alone, which leaves records that have not been synced; and
// against a store that does not start after it.
func TestPowerLossKeepsAcknowledgedBodies(t *testing.T) {
	for seed := range uint64(16) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 2))
			dir, disk := filepath.Join(t.TempDir(), "store"), newTestDisk(t.TempDir())
			disk.syncDelay = 2 * time.Millisecond
			var acknowledged, attempted []*fleet.BodyPut
			var mu sync.Mutex // guards acknowledged while bodies are put
			incarnation := ""
			for round := range 4 {
				s := openStore(g, dir, disk, 0)
				if incarnation == "" {
					incarnation = s.Report("").Incarnation
				}
				g.Expect(s.Report("").Incarnation).To(Equal(incarnation), "the disk was not lost")
				for _, b := range acknowledged {
					expectBody(g, s, b)
				}
				for _, b := range attempted { // a repeated put is acknowledged at once if the body was found
					g.Expect(put(s, b)).To(Succeed())
					acknowledged = append(acknowledged, b)
				}
				attempted = nil
				for i := range 25 {
					b := testBody(round*100+i, 300<<10)
					attempted = append(attempted, b)
					go func() {
						time.Sleep(time.Duration(i) * time.Millisecond)
						if put(s, b) == nil {
							mu.Lock()
							defer mu.Unlock()
							acknowledged = append(acknowledged, b)
						}
					}()
				}
				if seed%2 == 1 {
					time.Sleep(time.Duration(rng.Int64N(int64(15 * time.Millisecond))))
					disk.fail(false, seed%4 == 1, seed%4 == 3)
				}
				time.Sleep(time.Duration(rng.Int64N(int64(30 * time.Millisecond))))
				mu.Lock() // nothing is acknowledged after this moment
				kept := acknowledged
				disk.mu.Lock()
				if round%2 == 1 {
					disk.losePower(dir, rng)
				}
				disk.failCreate, disk.failWrite, disk.failSync = true, true, true // the old process writes nothing more
				disk.mu.Unlock()
				mu.Unlock()
				s.Close()
				time.Sleep(time.Second)
				mu.Lock()
				acknowledged = kept
				mu.Unlock()
				disk.fail(false, false, false)
				if round%2 == 1 {
					disk = afterPowerLoss(t.TempDir(), dir)
					disk.syncDelay = 2 * time.Millisecond
				}
			}
			g.Expect(len(acknowledged)).To(BeNumerically(">", 5), "seed %d", seed)
		})
	}
}

// Guards against a start that fails or trusts a record whose end is missing or changed.
func TestTornTail(t *testing.T) {
	g := NewWithT(t)
	dir, disk := t.TempDir(), newTestDisk(t.TempDir())
	s := openStore(g, dir, disk, 0)
	for i := range 10 {
		g.Expect(put(s, testBody(i, 1000))).To(Succeed())
	}
	s.Close()
	path := segmentPaths(g, dir)[0]
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	last := int(recordBytes(testBody(9, 0).Key, 1000, 100))
	for name, torn := range map[string][]byte{
		"header":   data[:len(data)-last+5],
		"payload":  data[:len(data)-1],
		"changed":  append(bytes.Clone(data[:len(data)-1]), data[len(data)-1]^1),
		"zeros":    append(bytes.Clone(data[:len(data)-last]), make([]byte, 5000)...),
		"too long": append(bytes.Clone(data[:len(data)-last]), bytes.Repeat([]byte{0xff}, 5000)...),
	} {
		g.Expect(os.WriteFile(path, torn, 0o644)).To(Succeed())
		s := openStore(g, dir, newTestDisk(t.TempDir()), 0)
		g.Expect(s.Report("").Bodies).To(Equal(9), name)
		info, err := os.Stat(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Size()).To(BeEquivalentTo(len(data)-last), name)
		g.Expect(put(s, testBody(9, 1000))).To(Succeed())
		for i := range 10 {
			expectBody(g, s, testBody(i, 1000))
		}
		s.Close()
		for _, p := range segmentPaths(g, dir)[1:] {
			g.Expect(os.Remove(p)).To(Succeed())
		}
	}
}

// Guards against a full disk that ends the store, makes it acknowledge what is not durable, hides what was
// stored before, or is never tried again.
func TestFullDisk(t *testing.T) {
	for name, fail := range map[string][3]bool{"create": {true, true, true}, "write": {false, true, false}, "sync": {false, false, true}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			disk := newTestDisk(t.TempDir())
			s := openStore(g, t.TempDir(), disk, 0)
			ctx, cancel := context.WithCancel(context.Background())
			go s.Run(ctx, &cluster{}, &testLedger{})
			for i := range 20 {
				g.Expect(put(s, testBody(i, 300<<10))).To(Succeed())
			}
			disk.fail(fail[0], fail[1], fail[2])
			for i := 20; i < 40; i++ {
				err := put(s, testBody(i, 300<<10))
				g.Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "%s: %v", name, err)
				g.Expect(s.Report("").Writable).To(BeFalse(), name)
				time.Sleep(300 * time.Millisecond)
			}
			for i := range 20 {
				expectBody(g, s, testBody(i, 300<<10))
			}
			disk.fail(false, false, false)
			time.Sleep(failureDelay + 2*maintainInterval)
			g.Expect(s.Report("").Writable).To(BeTrue(), name)
			g.Expect(put(s, testBody(20, 300<<10))).To(Succeed())
			g.Expect(s.Report("").Bodies).To(Equal(21))
			cancel()
			s.Close()
		})
	}
}

// Guards against bodies beyond the limit of the disk, and against space that is not given back once bodies
// are gone, also if a few bodies in each segment remain.
func TestDiskLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const diskBytes = 60 << 20
		dir := t.TempDir()
		s := openStore(g, dir, newTestDisk(t.TempDir()), diskBytes)
		defer s.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ledger := &testLedger{}
		go s.Run(ctx, &cluster{}, ledger)
		stored := 0
		var err error
		for ; err == nil; stored++ {
			err = put(s, testBody(stored, 200<<10))
		}
		stored--
		g.Expect(errs.Is(err, errs.Unavailable)).To(BeTrue())
		g.Expect(s.Report("").Writable).To(BeFalse())
		g.Expect(s.Report("").UsedMB).To(And(BeNumerically(">=", 46), BeNumerically("<=", 48)))
		known := map[string]bool{}
		for i := 0; i < stored; i += 10 {
			known[testBody(i, 0).Key] = true
		}
		ledger.set(false, known)
		time.Sleep(time.Minute + 20*maintainInterval)
		g.Expect(s.Report("").Writable).To(BeTrue())
		g.Expect(s.Report("").UsedMB).To(BeNumerically("<", 20), "4.7 MB are live")
		size := int64(0)
		for _, p := range segmentPaths(g, dir) {
			info, err := os.Stat(p)
			g.Expect(err).NotTo(HaveOccurred())
			size += info.Size()
		}
		g.Expect(size>>20).To(BeEquivalentTo(s.Report("").UsedMB), "what is reported is what the files take")
		for i := 0; i < stored; i += 10 {
			expectBody(g, s, testBody(i, 200<<10))
		}
	})
}

// Guards against bodies that are removed while the ledger refers to them or does not answer, and against
// those that stay after it has forgotten them.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := openStore(g, t.TempDir(), newTestDisk(t.TempDir()), 0)
		defer s.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		kept, short := testBody(1, 100), testBody(2, 100)
		short.Retention = 0
		ledger := &testLedger{known: map[string]bool{kept.Key: true}}
		go s.Run(ctx, &cluster{}, ledger)
		g.Expect(put(s, kept)).To(Succeed())
		g.Expect(put(s, short)).To(Succeed())
		time.Sleep(minKeep - time.Second)
		expectBody(g, s, short) // its turn may not be settled yet
		time.Sleep(3 * time.Second)
		g.Expect(s.Report("").Bodies).To(Equal(1))
		time.Sleep(10 * time.Minute)
		expectBody(g, s, kept)
		ledger.set(true, nil)
		time.Sleep(10 * time.Minute)
		expectBody(g, s, kept)
		ledger.set(false, nil)
		time.Sleep(maxRecheck + 2*time.Second)
		g.Expect(s.Report("").Bodies).To(BeZero())
	})
}

// Guards against replies beyond the bound, bodies that are left out, and memory that grows with the number of
// readers.
func TestGetIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := openStore(g, t.TempDir(), newTestDisk(t.TempDir()), 0)
	defer s.Close()
	var keys []string
	for i := range 20 {
		g.Expect(put(s, testBody(i, 800<<10))).To(Succeed())
		keys = append(keys, testBody(i, 0).Key)
	}
	bodies, release, err := s.Get(context.Background(), append([]string{"unknown"}, keys...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bodies).To(HaveLen(3))
	g.Expect(bodies[0].Found).To(BeFalse())
	var releases []func()
	for err == nil {
		releases = append(releases, release)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, release, err = s.Get(ctx, keys)
		cancel()
	}
	g.Expect(len(releases)).To(BeNumerically("<=", getBudget/(800<<10)))
	for _, r := range releases {
		r()
	}
	expectBody(g, s, testBody(7, 800<<10))
}

// Guards against an older content that survives a second put under the same key, and against a record that
// cannot be read back and is still offered as a copy.
func TestReplacedAndDamagedBodies(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	s := openStore(g, dir, newTestDisk(t.TempDir()), 0)
	first, second := testBody(1, 1000), testBody(2, 1000)
	second.Key = first.Key
	for _, b := range []*fleet.BodyPut{first, first, second} {
		g.Expect(put(s, b)).To(Succeed())
	}
	g.Expect(s.Stats().Stored).To(BeEquivalentTo(2))
	s.Close()
	s = openStore(g, dir, newTestDisk(t.TempDir()), 0)
	defer s.Close()
	expectBody(g, s, second)
	before := s.Report("").Incarnation
	path := segmentPaths(g, dir)[0]
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	data[len(data)-1] ^= 1
	g.Expect(os.WriteFile(path, data, 0o644)).To(Succeed())
	bodies, release, err := s.Get(context.Background(), []string{first.Key})
	g.Expect(err).NotTo(HaveOccurred())
	release()
	g.Expect(bodies[0].Found).To(BeFalse())
	g.Expect(s.Offer(&fleet.BodyOffer{Keys: []string{first.Key}}).Missing).To(ConsistOf(first.Key))
	g.Expect(s.Report("").Incarnation).NotTo(Equal(before), "the other stores offer the body again")
}
