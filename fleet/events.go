package fleet

// MethodEvents appends events of streams to their logs. It is answered by the leader of the ledger group.
const MethodEvents = "ledger.events"

// FeatureEventLogs is the bit of FeaturesReply.Features that states that a controller keeps logs of the
// events of streams. A command for them changes nothing at a controller of an older build, so none is
// committed before all members have reported it.
const FeatureEventLogs uint64 = 1 << 2
