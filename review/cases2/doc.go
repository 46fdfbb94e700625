// Command cases2 runs the scripted cases of the second review: it starts figlb's programs as separate
// processes on loopback addresses, lets callers and an operator use them, brings about the disruption of
// the case, and checks one rule by what callers, targets and the platform have seen.
//
//	cases2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main
