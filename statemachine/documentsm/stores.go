package documentsm

import "maps"

// Retirement is an order to move everything off a store host, or the record that this is done.
type Retirement struct {
	Host string `msgpack:"h"`
	// Incarnation identifies the content of the host's disk. While the retirement is not completed it
	// applies to the host under any incarnation, because the host may lose its disk meanwhile. After
	// that it applies to this incarnation only: a host that returns with another one is a new host.
	Incarnation string `msgpack:"i"`
	Completed   bool   `msgpack:"c,omitempty"`
}

// AppliesTo reports whether the retirement applies to its host under an incarnation.
func (r Retirement) AppliesTo(incarnation string) bool {
	return !r.Completed || r.Incarnation == incarnation
}

// BodiesChange replaces the BodiesState, except that a feature once recorded stays.
type BodiesChange struct {
	State BodiesState `msgpack:"s"`
}

// BodiesState is what all members know of the storage of turns on store hosts.
type BodiesState struct {
	// Features holds the features that all members have reported. From then on no member may be
	// replaced by one of an older build.
	Features uint64 `msgpack:"f,omitempty"`
	// NearlyFull is set while the disks of the store hosts are nearly used up.
	NearlyFull bool `msgpack:"n,omitempty"`
}

// retire records a retirement or its end and returns whether the state has changed. An order for a host
// to which a retirement applies already changes nothing. It replaces the map instead of modifying it,
// because callers of Get share it.
func (m *Machine) retire(r *Retirement) bool {
	cur, known := m.state.Retired[r.Host]
	switch {
	case r.Completed && (!known || cur.Completed):
		return false
	case !r.Completed && known && cur.AppliesTo(r.Incarnation):
		return false
	}
	retired := maps.Clone(m.state.Retired)
	if retired == nil {
		retired = map[string]Retirement{}
	}
	retired[r.Host] = *r
	m.state.Retired = retired
	return true
}

// changeBodies replaces the state of the storage of turns and returns whether it has changed.
func (m *Machine) changeBodies(c *BodiesChange) bool {
	next := c.State
	next.Features |= m.state.Bodies.Features
	changed := next != m.state.Bodies
	m.state.Bodies = next
	return changed
}
