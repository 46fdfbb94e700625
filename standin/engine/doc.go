// Package engine simulates a model engine. It uses continuous batching, caches prompt
// prefixes per session in limited memory, and honours priorities. Its answers depend only
// on the messages, so that a test can compute the complete expected answer. It runs in real
// time: a step takes longer with more running requests and with more prompt tokens to
// process.
package engine
