// Package controller is the service of a controller. It answers the polls of gateways and store
// hosts, the operator's commands and the commands of the ledger. The leader of the document group
// also reads the list of targets, grants the organisations' request rates and tracks the live
// hosts. That state is kept in memory only; a new leader rebuilds it from the polls.
package controller
