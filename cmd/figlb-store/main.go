// Command figlb-store runs on the hosts that the platform sets aside for data. Today it
// holds no group: it reports to the controllers, so that operators can retire its host.
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
	lost := false
	holds := fleet.Holds{Version: math.MaxUint64} // a store needs no configuration
	periodic.Run(p.Stop, pollInterval, func(context.Context) bool {
		lost = report(p, &holds, lost)
		return true
	})
	return nil
}

// report polls the controllers once and returns whether they are out of reach.
func report(p *process.Process, holds *fleet.Holds, lost bool) bool {
	ctx, cancel := context.WithTimeout(p.Stop, pollTimeout)
	defer cancel()
	reply, err := p.Client.Poll(ctx, &fleet.PollRequest{Host: p.Host.Name, Kind: fleet.KindStore, Zone: p.Host.Zone, Holds: *holds})
	if err != nil {
		if !lost {
			p.Log.Info("controllers lost", "error", err.Error())
		}
		return true
	}
	if lost {
		p.Log.Info("controllers regained")
	}
	p.Client.SetMembers(reply.Members)
	holds.Learn(reply)
	return false
}
