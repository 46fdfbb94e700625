package main

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// uploadBytes is the length of the bodies that runUploads sends.
	uploadBytes = 2 << 20
	uploadPause = 400 * time.Millisecond
)

// runUploads sends calls with long bodies, which targets may answer before they have read them, until ctx
// ends.
func (w *workload) runUploads(ctx context.Context, rng *rand.Rand) {
	caller := standin.NewCaller()
	defer caller.Close()
	gateways := w.site.hostsOfKind("gateway")
	for i := 0; ctx.Err() == nil; i++ {
		a := w.newAttempt(fmt.Sprintf("up-%d", i), "pay", i)
		a.call.Body = filler + a.call.Body
		w.send(caller, gateways[rng.Intn(len(gateways))], a)
		time.Sleep(uploadPause)
	}
}
