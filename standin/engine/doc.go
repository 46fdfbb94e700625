// Package engine is a stand-in for a model engine. It batches continuously, caches
// prompt prefixes per session in limited memory, honours priorities, and answers with a
// text that is a function of the messages only, so that a test can compute the whole
// expected answer. Its clock is real: a step takes longer with more running requests and
// with more prompt tokens to process.
package engine
