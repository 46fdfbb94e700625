// Package stateserver serves the wire methods of a state member: commands, which go
// through the log of a group, and queries, which its leader answers after a read-index.
// It also runs the jobs of group leaders: expiry of idle programs, release of engine
// memory, and orders to engines.
package stateserver
