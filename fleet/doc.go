// Package fleet defines the messages between gateways, store hosts and controllers: the polls
// by which a host reports its state and gets configuration changes, the rate grants, and the
// requests to the ledger of programs and turns.
package fleet
