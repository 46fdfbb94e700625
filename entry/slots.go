package entry

import (
	"context"
	"sync"
	"time"

	"github.com/figlb/figlb/structs"
)

const (
	reportInterval = 500 * time.Millisecond
	releaseTimeout = 5 * time.Second
)

// slotTable holds the slots in use by pool.
type slotTable struct {
	mu    sync.Mutex
	pools map[string]map[string]structs.SlotInfo // pool, slot
}

func newSlotTable() *slotTable {
	return &slotTable{pools: map[string]map[string]structs.SlotInfo{}}
}

func (t *slotTable) add(pool string, s structs.SlotInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools[pool] == nil {
		t.pools[pool] = map[string]structs.SlotInfo{}
	}
	t.pools[pool][s.Slot] = s
}

func (t *slotTable) remove(pool, slot string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pools[pool], slot)
	if len(t.pools[pool]) == 0 {
		delete(t.pools, pool)
	}
}

func (t *slotTable) list(pool string) []structs.SlotInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]structs.SlotInfo, 0, len(t.pools[pool]))
	for _, s := range t.pools[pool] {
		out = append(out, s)
	}
	return out
}

func (t *slotTable) poolNames() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.pools))
	for p := range t.pools {
		out = append(out, p)
	}
	return out
}

// reportSlots reports the slots of each pool, also when there are none: a new
// scheduler waits for the reports of all live entries.
func (e *Entry) reportSlots(ctx context.Context) {
	for ctx.Err() == nil {
		pools := e.config.snapshot().pools()
		for _, p := range e.slots.poolNames() {
			pools[p] = true
		}
		var wg sync.WaitGroup
		for p := range pools {
			wg.Go(func() { e.reportPool(ctx, p) })
		}
		sleep(ctx, reportInterval)
		wg.Wait()
	}
}

func (e *Entry) reportPool(ctx context.Context, pool string) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	err := e.sched.Report(ctx, &structs.ReportSlots{Pool: pool, Entry: e.incarn, Slots: e.slots.list(pool)})
	if err != nil {
		e.log.V(1).Info("slot report failed", "pool", pool, "error", err.Error())
	}
}

// release gives a slot back. The slot leaves the reports at once, so a lost release
// only delays its reuse until the next report.
func (e *Entry) release(rel structs.ReleaseSlot) {
	e.slots.remove(rel.Pool, rel.Slot)
	e.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := e.sched.Release(ctx, &rel); err != nil {
			e.log.V(1).Info("slot release failed", "pool", rel.Pool, "slot", rel.Slot, "error", err.Error())
		}
	})
}
