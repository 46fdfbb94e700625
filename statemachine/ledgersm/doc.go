// Package ledgersm is the replicated state machine of the ledger: the token budgets of programs
// and the trees of their turns. Before a turn runs it reserves the tokens of its largest possible
// output, and afterwards it settles the tokens that it has produced. A program therefore cannot
// exceed its budget, regardless of how many of its turns run concurrently and of which processes
// fail meanwhile.
package ledgersm
