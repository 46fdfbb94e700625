// Package command implements figlbctl, a file for each verb. A verb parses its flags,
// calls the state members and prints a table or JSON. Queries never change anything;
// commands carry a request id, so that a resend after a lost answer is harmless.
package command
