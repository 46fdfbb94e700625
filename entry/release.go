package entry

import (
	"context"
	"time"

	"github.com/figlb/figlb/structs"
)

// releaseTimeout bounds the return of a slot. A slot whose return fails is freed by the
// scheduler when it is missing from the reports.
const releaseTimeout = 5 * time.Second

// release gives a slot back without delaying the answer.
func (e *Entry) release(rel structs.ReleaseSlot) {
	e.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := e.sched.Release(ctx, &rel); err != nil {
			e.log.V(1).Info("slot release failed", "pool", rel.Pool, "slot", rel.Slot, "error", err.Error())
		}
	})
}
