package entry

import (
	"context"
	"time"

	"github.com/figlb/figlb/structs"
)

const (
	// releaseTimeout bounds the return of a slot. A slot whose return fails is freed by
	// the scheduler when it is missing from the reports.
	releaseTimeout = 5 * time.Second
	// crashReleaseTimeout bounds the wait until the scheduler knows of a crash.
	crashReleaseTimeout = time.Second
)

// release gives a slot back without delaying the answer. Only a crash is told first, so
// that a resend through another entry finds it counted.
func (e *Entry) release(rel structs.ReleaseSlot) {
	if rel.Outcome == structs.OutcomeCrash {
		e.releaseNow(rel, crashReleaseTimeout)
		return
	}
	e.background(func() { e.releaseNow(rel, releaseTimeout) })
}

func (e *Entry) releaseNow(rel structs.ReleaseSlot, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := e.sched.Release(ctx, &rel); err != nil {
		e.log.V(1).Info("slot release failed", "pool", rel.Pool, "slot", rel.Slot, "error", err.Error())
	}
}

// crashDigest returns the digest that a release carries: it is needed for crashes only.
func crashDigest(o structs.Outcome, digest string) string {
	if o == structs.OutcomeCrash {
		return digest
	}
	return ""
}
