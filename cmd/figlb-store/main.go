// Command figlb-store runs on the hosts that the platform reserves for data. It currently
// holds no replicated group and only polls the controllers, so that they know the host and
// operators can retire it.
package main

import (
	"context"
	"math"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/internal/process"
	"github.com/figlb/figlb/platform"
)

const (
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
)

func main() {
	process.Main("figlb-store", platform.SettingsPath(), platform.LoadSettings, run)
}

func run(p *process.Process) error {
	disconnected := false
	holds := fleet.KnownVersions{Version: math.MaxUint64} // the highest version, because a store needs no configuration
	periodic.Run(p.StopContext, pollInterval, func(context.Context) bool {
		disconnected = report(p, &holds, disconnected)
		return true
	})
	return nil
}

// report polls the controllers once and returns whether they are unreachable. It logs the loss
// and the return of the connection, but no repeated failures.
func report(p *process.Process, holds *fleet.KnownVersions, disconnected bool) bool {
	ctx, cancel := context.WithTimeout(p.StopContext, pollTimeout)
	defer cancel()
	reply, err := p.Client.Poll(ctx, &fleet.PollRequest{Host: p.Host.Name, Kind: fleet.KindStore, Zone: p.Host.Zone, KnownVersions: *holds})
	if err != nil {
		if !disconnected {
			p.Log.Info("connection to the controllers lost", "error", err.Error())
		}
		return true
	}
	if disconnected {
		p.Log.Info("connection to the controllers restored")
	}
	p.Client.SetMembers(reply.Members)
	holds.Update(reply)
	return false
}
