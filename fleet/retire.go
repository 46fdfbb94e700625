package fleet

// MethodRetire retires a store host, or asks for the state of its retirement. Older builds report an
// unknown method; their store hosts hold no data.
const MethodRetire = "fleet.retire"

// RetireRequest names a store host.
type RetireRequest struct {
	Host string `msgpack:"h"`
	// Order is set to retire the host; otherwise the request only asks for the state.
	Order bool `msgpack:"o,omitempty"`
}

// RetireReply is the state of a retirement.
type RetireReply struct {
	// Completed is set once every body has its copies on the remaining hosts.
	Completed bool `msgpack:"c"`
}
