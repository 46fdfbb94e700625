// Package replica runs the replicated groups of one state member: for each group the
// log core, its state machine and the transport to the other members. A write is
// durable on a majority before Propose returns.
//
// A member runs in one incarnation of its data directory at a time (type incarnation). A
// directory that turns out to have lost acknowledged entries is discarded, and the member
// goes on in a new incarnation, which the leaders add as a learner and then as a voter.
package replica
