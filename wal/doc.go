// Package wal implements the durable storage of one state member: a segmented write-ahead
// log that all Raft groups of the member share, the snapshot files of these groups, and the
// identity of the data directory.
//
// Concurrent appends are batched into one write and one sync. Each record carries a CRC. On
// opening, a bad record in the last segment is treated as a torn write and the log is
// truncated there. A bad record in an earlier segment, a missing segment or a missing
// snapshot is treated as damage, and opening fails. After a failed write or sync the content
// of the file is unknown, so every later append fails too and the process has to stop.
package wal
