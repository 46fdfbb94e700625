package dispatch

import (
	"time"

	"github.com/figlb/figlb/sched"
	"github.com/figlb/figlb/structs"
)

// syncConfig takes over a changed configuration or host list.
func (s *shard) syncConfig(now time.Duration) {
	topo, hosts := s.src.Topology(), s.away()
	if topo == s.topo && hosts == s.hosts {
		return
	}
	s.topo, s.hosts = topo, hosts
	s.pool.SetTargets(now, targetSpecs(s.name, topo, hosts))
}

// targetSpecs returns the targets of a pool. A target is out of service if it, its host
// or its zone is drained, or if the platform says that its host is leaving.
func targetSpecs(pool string, topo *Topology, hosts *hostStates) []sched.TargetSpec {
	zones := make(map[string]string, len(topo.Hosts))
	for _, h := range topo.Hosts {
		zones[h.Name] = h.Zone
	}
	drained := make(map[structs.Drain]bool, len(topo.Drains))
	for _, d := range topo.Drains {
		drained[d] = true
	}
	var specs []sched.TargetSpec
	for i := range topo.Targets {
		t := &topo.Targets[i]
		if t.Pool() != pool {
			continue
		}
		zone := zones[t.Host]
		out := drained[structs.Drain{Scope: structs.KindTarget, Name: t.Name}] ||
			drained[structs.Drain{Scope: structs.KindHost, Name: t.Host}] ||
			drained[structs.Drain{Scope: structs.KindZone, Name: zone}] ||
			hosts.leaving(t.Host)
		specs = append(specs, sched.TargetSpec{
			Name: t.Name, Address: t.Address, Host: t.Host, Zone: zone,
			Slots: t.Slots, ColdSlots: t.ColdSlots, Out: out,
		})
	}
	return specs
}
