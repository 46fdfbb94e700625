package bodystore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/powerloss"
)

// storeCut is a state of the disk, the bodies that were acknowledged by then and the incarnation that others know.
type storeCut struct {
	state       *powerloss.State
	bodies      []*fleet.BodyPut
	incarnation string
}

// Guards against a store that does not start, or has lost a body that it acknowledged without a new incarnation, after
// a loss of power at any operation that undoes any of the unsynced creations, renames and removals.
func TestPowerLossAtEachOperation(t *testing.T) {
	const (
		lossesPerCut = 4
		bodies       = 12 // about 1 MB each, in several segments
	)
	for seed := range uint64(2) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 0))
		dir := t.TempDir()
		disk, err := powerloss.Open(dir)
		g.Expect(err).NotTo(HaveOccurred())
		var mu sync.Mutex // guards the following
		var kept []*fleet.BodyPut
		var incarnation string
		var cuts []storeCut
		disk.AfterOperation = func(s *powerloss.State) {
			mu.Lock()
			defer mu.Unlock()
			cuts = append(cuts, storeCut{s, append([]*fleet.BodyPut(nil), kept...), incarnation})
		}
		s, err := Open(Options{Dir: dir, Name: "s", FS: disk})
		g.Expect(err).NotTo(HaveOccurred())
		mu.Lock()
		incarnation = s.Report("").Incarnation
		mu.Unlock()
		for i := range bodies {
			b := testBody(i, 700<<10+rng.IntN(600<<10))
			g.Expect(put(s, b)).To(Succeed())
			mu.Lock()
			kept = append(kept, b)
			if len(kept) > 3 { // the first body stays, so that its segment is rewritten
				gone := 1 + rng.IntN(len(kept)-1)
				s.mu.Lock()
				s.remove(s.index[kept[gone].Key])
				s.mu.Unlock()
				kept = append(kept[:gone], kept[gone+1:]...)
			}
			mu.Unlock()
			s.cleanUp(context.Background())
		}
		s.Close()
		g.Expect(s.Stats().Rewritten).To(BeNumerically(">", 0))
		for i, c := range cuts {
			for _, lost := range c.state.Losses(rng, lossesPerCut) {
				again := filepath.Join(t.TempDir(), "store")
				g.Expect(os.MkdirAll(again, 0o755)).To(Succeed())
				g.Expect(c.state.Restore(again, lost, rng)).To(Succeed())
				s, err := Open(Options{Dir: again, Name: "s", FS: unsyncedFS{}})
				desc := fmt.Sprintf("seed %d, cut %d of %d, lost %v", seed, i, len(cuts), lost)
				g.Expect(err).NotTo(HaveOccurred(), desc)
				if c.incarnation != "" {
					g.Expect(s.Report("").Incarnation).To(Equal(c.incarnation), desc)
				}
				for _, b := range c.bodies {
					expectBody(g, s, b)
				}
				s.Close()
				g.Expect(os.RemoveAll(again)).To(Succeed())
			}
		}
	}
}
