package model

import (
	"cmp"
	"slices"
	"time"
)

// Token is one generated token; Index is its position in the output, from 0.
type Token struct {
	ID    string
	Index int
}

// Finish is the reason why a sequence ended.
type Finish string

const (
	// FinishStop means that all tokens of the sequence were generated.
	FinishStop Finish = "stop"
	// FinishLength means that the sequence no longer fits into the KV memory.
	FinishLength Finish = "length"
)

// Ended is a sequence that ended in a step.
type Ended struct {
	ID     string
	Finish Finish
}

// CacheChange is a prefix that was added to the prefix cache (Stored) or evicted from it.
type CacheChange struct {
	Prefix uint64
	Stored bool
}

// Step is the result of one step. Its tokens exist once Duration has passed.
type Step struct {
	Duration  time.Duration
	Tokens    []Token
	Ended     []Ended
	Preempted []string
	Cache     []CacheChange
}

// Step runs one step: it admits waiting sequences, allocates a KV block where the next token of a
// sequence needs one (preempting sequences if none is free), prefills, and decodes.
func (e *Engine) Step() Step {
	var out Step
	e.admit()
	slices.SortFunc(e.running, compare)
	e.allocateBlocks(&out)
	decoding, prefilled := e.prefill(&out)
	out.Duration = e.duration(prefilled)
	for _, s := range decoding {
		e.decode(s, &out)
	}
	out.Cache = e.cache.takeChanges()
	return out
}

// compare orders by priority, highest first, and then by arrival, earliest first.
func compare(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.arrival, b.arrival))
}

// admit moves waiting sequences into the batch while their context fits into the free memory. The
// first one that does not fit blocks those behind it, so that short prompts cannot starve a long
// one.
func (e *Engine) admit() {
	slices.SortFunc(e.waiting, compare)
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxBatch {
		s := e.waiting[0]
		need := e.blocksFor(s.context() + 1)
		if need > e.freeBlocks {
			return
		}
		e.freeBlocks -= need
		s.blocks = need
		s.computed = min(e.cache.lookup(s.Prefixes)*e.params.BlockTokens, s.context()-1)
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

// allocateBlocks allocates the blocks that running sequences need for their next token. While no
// block is free, it preempts the last sequence in order, which may be the one that needs the
// block. A sequence that is alone and still does not fit ends with FinishLength.
func (e *Engine) allocateBlocks(out *Step) {
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		for e.blocksFor(s.context()+1) > s.blocks {
			if e.freeBlocks > 0 {
				e.freeBlocks--
				s.blocks++
				continue
			}
			victim := e.running[len(e.running)-1]
			if victim == s && len(e.running) == 1 {
				e.end(s, FinishLength, out)
				break
			}
			e.preempt(victim, out)
			if victim == s {
				break
			}
		}
	}
}

// preempt frees the memory of a sequence and queues it again. Its whole context must be computed
// again, except for cached prefixes.
func (e *Engine) preempt(s *sequence, out *Step) {
	e.release(s)
	s.preemptions++
	e.preemptions++
	e.running = without(e.running, s)
	e.waiting = append(e.waiting, s)
	out.Preempted = append(out.Preempted, s.ID)
}

// prefill computes missing context, up to PrefillTokens in total. It returns the sequences that
// can decode in this step and the number of tokens computed.
func (e *Engine) prefill(out *Step) (decoding []*sequence, tokens int) {
	for _, s := range e.running {
		if missing := s.context() - s.computed; missing > 0 {
			n := min(missing, e.params.PrefillTokens-tokens)
			s.computed += n
			tokens += n
			if n < missing {
				continue
			}
			e.cache.store(s.Prefixes)
		}
		decoding = append(decoding, s)
	}
	return decoding, tokens
}

func (e *Engine) duration(prefilled int) time.Duration {
	context := 0
	for _, s := range e.running {
		context += s.computed
	}
	p := e.params
	return p.Base +
		time.Duration(len(e.running))*p.PerSequence +
		time.Duration(context)*p.PerKVToken +
		time.Duration(prefilled)*p.PerPrefillToken
}

func (e *Engine) decode(s *sequence, out *Step) {
	out.Tokens = append(out.Tokens, Token{ID: s.ID, Index: s.produced})
	s.produced++
	s.computed++
	if s.produced >= s.OutputTokens {
		e.end(s, FinishStop, out)
	}
}

func (e *Engine) end(s *sequence, f Finish, out *Step) {
	e.remove(s)
	out.Ended = append(out.Ended, Ended{ID: s.ID, Finish: f})
}
