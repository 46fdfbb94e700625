package entry

import (
	"context"
	"time"

	"github.com/figlb/figlb/structs"
)

const (
	// releaseTimeout bounds the release of a slot. If it fails, the scheduler frees the slot
	// once the entry no longer reports it as in use.
	releaseTimeout = 5 * time.Second
	// crashReleaseTimeout bounds how long the answer is delayed until the scheduler has been
	// told of a crash.
	crashReleaseTimeout = time.Second
)

// release returns a slot in the background, so that the answer is not delayed. Only a crash
// is reported synchronously, so that the scheduler has counted it before the caller can
// resend the request through another entry.
func (e *Entry) release(rel structs.ReleaseSlot) {
	if rel.Outcome == structs.OutcomeCrash {
		e.releaseNow(rel, crashReleaseTimeout)
		return
	}
	e.runInBackground(func() { e.releaseNow(rel, releaseTimeout) })
}

func (e *Entry) releaseNow(rel structs.ReleaseSlot, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := e.scheduler.Release(ctx, &rel); err != nil {
		e.log.V(1).Info("slot release failed", "pool", rel.Pool, "slot", rel.Slot, "error", err.Error())
	}
}

// crashDigest returns the digest to send with a release. Only crashes are counted by digest.
func crashDigest(o structs.Outcome, digest string) string {
	if o == structs.OutcomeCrash {
		return digest
	}
	return ""
}
