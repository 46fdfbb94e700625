// Package load drives agent programs against entries of figlb, or against a model engine
// directly, and reports what their callers saw. Arrivals are open-loop and repeatable by
// a seed. Each answer is compared with the text that the stand-in engine gives for the
// program's messages, and each order with the executions that the order stand-in counted.
package load
