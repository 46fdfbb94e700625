// Package raft is the replicated-log core of one group. It implements the Raft algorithm
// with pre-vote, check-quorum with a leader lease, batched read-index, learners, membership
// changes of one voter at a time, chunked snapshots and log time.
//
// A Core is a deterministic function of its inputs: messages, ticks, proposals, the time
// passed with each of them and a seeded random source. It does no I/O, reads no clock and
// starts no goroutine. After a batch of inputs the driver calls Take and then
//
//   - sends Output.Send at once,
//   - appends Output.Hard, Output.Install and Output.Entries to stable storage in the order
//     in which outputs were taken, and sends Output.AfterSync once all of it is synced,
//   - applies Output.Committed in order.
//
// Messages addressed to the core itself are passed back to Step. The core's own vote and
// its own acknowledgement of entries travel in this way, so both count only when durable.
package raft
