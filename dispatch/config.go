package dispatch

import (
	"time"

	"github.com/figlb/figlb/sched"
	"github.com/figlb/figlb/structs"
)

// syncConfig updates the pool's targets if the configuration or the host list has changed.
func (s *scheduler) syncConfig(now time.Duration) {
	topology, hosts := s.config.Topology(), s.leavingHosts()
	if topology == s.topology && hosts == s.hosts {
		return
	}
	s.topology, s.hosts = topology, hosts
	s.pool.SetTargets(now, targetSpecs(s.name, topology, hosts))
}

// targetSpecs returns the targets of a pool. A target is out of service if it, its host
// or its availability zone is drained, or if the platform lists its host as leaving.
func targetSpecs(pool string, topo *Topology, hosts *hostSet) []sched.TargetSpec {
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
			hosts.contains(t.Host)
		specs = append(specs, sched.TargetSpec{
			Name: t.Name, Address: t.Address, Host: t.Host, Zone: zone, Software: t.Software,
			Slots: t.Slots, ColdSlots: t.ColdSlots, OutOfService: out,
		})
	}
	return specs
}
