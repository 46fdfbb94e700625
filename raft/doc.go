// Package raft implements the Raft consensus algorithm for one group, with pre-vote,
// check-quorum with a leader lease, batched read-index requests, learners, membership changes
// of one voter at a time, snapshots transferred in chunks, and log time (see Core.LogTime).
//
// A Core is deterministic: its state depends only on its inputs, which are messages, ticks,
// proposals, the time passed with each of them and a seeded random source. It does no I/O,
// reads no clock and starts no goroutines. After a batch of inputs the driver calls Take and
// then
//
//   - sends Output.Send at once,
//   - appends Output.Hard, Output.Install and Output.Entries to stable storage in the order
//     in which the outputs were taken, and sends Output.AfterSync once all of it is synced,
//   - applies Output.Committed in order.
//
// The driver passes messages that the core addresses to itself back to Step. The core's own
// vote and its own acknowledgement of entries are such messages in Output.AfterSync, so they
// count only once they are durable.
package raft
