// Package stateserver serves the wire methods of a state member: commands, which are
// replicated through the log of a group, and queries, which the group's leader answers
// after a read-index. It also runs the background jobs of group leaders: expiring idle
// programs, releasing engine memory and sending orders to engines.
package stateserver
