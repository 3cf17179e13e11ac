// Package crocusreel defines the types that all other packages share: the outcome of a request, the
// reasons for refusals and retries, and the classes and priorities of work.
package crocusreel

// Outcome states whether a caller's work ran at an endpoint.
type Outcome string

const (
	// OutcomeNotRun means that no endpoint started the work, neither in this attempt nor in an
	// earlier attempt with the same idempotency key.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan means that an endpoint completed the work in whole or in part.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the work may have run. A non-idempotent request with this outcome
	// must not be sent again under a new idempotency key before its effect has been checked.
	OutcomeUnknown Outcome = "unknown"
)

// Class groups work by how its cost and urgency are estimated.
type Class string

const (
	// ClassGeneration is a generation of unknown length.
	ClassGeneration Class = "generation"
	// ClassShort is a generation that is known to be short, such as a classification. It may use
	// the share of engine memory that is reserved for short work.
	ClassShort Class = "short"
	// ClassLookup is a call to a plain service. It never queues behind generations.
	ClassLookup Class = "lookup"
)

// Priority orders work within one workspace and class. Higher values are served first. The range is
// [MinPriority, MaxPriority] and the default is 0.
type Priority int

const (
	// MinPriority is the lowest priority that a caller may request.
	MinPriority Priority = -10
	// MaxPriority is the highest priority that a caller may request.
	MaxPriority Priority = 10
)
