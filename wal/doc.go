// Package wal is the durable store of one state member: one segmented log that all groups
// of the member share, their snapshot files, and the identity of the data directory.
//
// Concurrent appends share one write and one sync. Each record carries a CRC. A bad record
// in the last segment is a torn write and the log is cut there; a bad record in an earlier
// segment, a missing segment or a missing snapshot is damage, and opening fails. A write or
// a sync that fails is final: the state of the file is unknown then, so every later append
// fails too and the process has to stop.
package wal
