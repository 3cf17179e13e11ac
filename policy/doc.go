// Package policy implements the scheduling decisions about engines: it predicts the length of an
// answer (the output of one generation), decides whether an engine has memory for another answer,
// picks the engine, orders the queue, and tracks which requests are suspected of killing engines.
//
// The package does no I/O, reads no clock and starts no goroutines. All times are durations on one
// monotonic clock chosen by the caller. The types are not safe for concurrent use; each value must
// be owned by a single goroutine.
package policy
