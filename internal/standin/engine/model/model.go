// Package model is a discrete-step model of an inference engine with continuous batching. It
// uses no I/O, clock or goroutine. Each step advances the decoding sequences by one token and
// returns how long the step takes.
package model

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTooLarge means that the prompt of a sequence and its first token do not fit into the KV
// memory.
var ErrTooLarge = eris.New("prompt larger than the KV memory")

// ErrDuplicate means that a sequence with the same ID is already running or waiting.
var ErrDuplicate = eris.New("sequence ID in use")

// Params sets the capacity and the speed of an engine.
type Params struct {
	// BlockTokens is the number of tokens in a block of KV memory.
	BlockTokens int
	// KVBlocks is the number of blocks of KV memory.
	KVBlocks int
	// CacheBlocks is the capacity of the prefix cache in blocks, which are not part of KVBlocks.
	CacheBlocks int
	// MaxBatch is the maximum number of running sequences.
	MaxBatch int
	// PrefillTokens is the maximum number of context tokens that are computed in one step.
	PrefillTokens int
	// The duration of a step is Base + PerSequence for each running sequence + PerKVToken for
	// each computed token of their contexts + PerPrefillToken for each token prefilled in the
	// step.
	Base            time.Duration
	PerSequence     time.Duration
	PerKVToken      time.Duration
	PerPrefillToken time.Duration
}

// DefaultParams approximates an engine that serves a model of 7 to 13 billion parameters.
func DefaultParams() Params {
	return Params{
		BlockTokens:     16,
		KVBlocks:        30000 / 16,
		CacheBlocks:     512,
		MaxBatch:        64,
		PrefillTokens:   512,
		Base:            12 * time.Millisecond,
		PerSequence:     120 * time.Microsecond,
		PerKVToken:      200 * time.Nanosecond,
		PerPrefillToken: 80 * time.Microsecond,
	}
}

// Sequence is a generation to run.
type Sequence struct {
	ID string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Prefixes are hashes of the prompt's prefixes of one, two and more whole blocks, shortest
	// first.
	Prefixes []uint64
	// OutputTokens is the number of tokens to generate; at least 1 is generated.
	OutputTokens int
	// Priority orders admission, highest first, and preemption, lowest first.
	Priority int
}

// sequence is the state of a running or waiting Sequence.
type sequence struct {
	Sequence
	arrival     int64
	produced    int
	computed    int // tokens of context whose KV is computed
	blocks      int
	preemptions int
}

// context returns the number of tokens whose KV the next token needs.
func (s *sequence) context() int { return s.PromptTokens + s.produced }

// Engine is a modelled engine. It is not safe for concurrent use.
type Engine struct {
	params      Params
	cache       *prefixCache
	running     []*sequence
	waiting     []*sequence
	byID        map[string]*sequence
	arrivals    int64
	freeBlocks  int
	preemptions int64
}

// New returns an idle engine.
func New(p Params) *Engine {
	return &Engine{
		params:     p,
		cache:      newPrefixCache(p.CacheBlocks),
		byID:       make(map[string]*sequence),
		freeBlocks: p.KVBlocks,
	}
}

// Add queues a sequence. It fails with ErrTooLarge or ErrDuplicate.
func (e *Engine) Add(s Sequence) error {
	if e.blocksFor(s.PromptTokens+1) > e.params.KVBlocks {
		return ErrTooLarge
	}
	if _, ok := e.byID[s.ID]; ok {
		return ErrDuplicate
	}
	s.OutputTokens = max(1, s.OutputTokens)
	e.arrivals++
	seq := &sequence{Sequence: s, arrival: e.arrivals}
	e.byID[s.ID] = seq
	e.waiting = append(e.waiting, seq)
	return nil
}

// Cancel removes a running or waiting sequence and reports whether it existed.
func (e *Engine) Cancel(id string) bool {
	s, ok := e.byID[id]
	if !ok {
		return false
	}
	e.remove(s)
	return true
}

// Idle reports whether no sequence is running or waiting.
func (e *Engine) Idle() bool { return len(e.byID) == 0 }

// Usage is a snapshot of the load of an engine.
type Usage struct {
	// KVCapacity and KVUsed are in tokens; KVUsed counts whole blocks.
	KVCapacity, KVUsed int
	Running, Waiting   int
	// Preemptions is the number of preemptions since the start.
	Preemptions int64
}

// Usage returns the current load.
func (e *Engine) Usage() Usage {
	return Usage{
		KVCapacity:  e.params.KVBlocks * e.params.BlockTokens,
		KVUsed:      (e.params.KVBlocks - e.freeBlocks) * e.params.BlockTokens,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Preemptions: e.preemptions,
	}
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.params.BlockTokens - 1) / e.params.BlockTokens
}

// remove deletes a sequence and frees its blocks.
func (e *Engine) remove(s *sequence) {
	e.release(s)
	delete(e.byID, s.ID)
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
}

// release frees the blocks of a sequence and discards its computed context.
func (e *Engine) release(s *sequence) {
	e.freeBlocks += s.blocks
	s.blocks = 0
	s.computed = 0
}

func without(list []*sequence, s *sequence) []*sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
