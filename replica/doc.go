// Package replica runs the replicated groups of one state member. For each group it drives
// the Raft core (package raft) and the state machine, and it carries the messages to and from
// the other members. A write is durable on a majority before Propose returns.
//
// A member runs one incarnation of its data directory at a time (type incarnation). A
// directory that turns out to have lost acknowledged entries is discarded. The member then
// continues in a new incarnation, which the leaders add as a learner and promote to a voter.
package replica
