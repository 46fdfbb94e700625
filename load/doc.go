// Package load is a load generator. It runs agent programs against entries of figlb, or
// directly against model engines, and reports the results that the callers observed.
// Arrivals are open-loop and reproducible from a seed. Each answer is compared with the
// text that the stand-in engine generates for the program's messages, and each order with
// the number of executions that the stand-in order service counted.
package load
