// Command soak runs the figlb programs of a site as separate processes, injects faults from
// outside, and checks figlb's guarantees against what callers, targets and operators observe.
// A seed determines the sequence of faults and the load; the exact timing depends on the
// computer that runs the soak.
//
//	go run ./test/soak -bin DIR -seed 7 -time 30s
package main
