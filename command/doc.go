// Package command implements the verbs of figlbctl, the operators' command-line tool.
// Each verb parses its flags, calls the state members and prints a table or JSON. Verbs that
// change the configuration send a request id, which makes a retry after a lost response
// idempotent.
package command
