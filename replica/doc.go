// Package replica runs the replicated groups of one state member: for each group the
// log core, its state machine and the transport to the other members. A write is
// durable on a majority before Propose returns.
package replica
