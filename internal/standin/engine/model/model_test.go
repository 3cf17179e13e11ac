package model_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
)

// newSmallEngine returns an engine with the given number of KV blocks of 16 tokens and a prefix
// cache of 4 blocks.
func newSmallEngine(blocks int) *model.Engine {
	p := model.DefaultParams()
	p.KVBlocks = blocks
	p.CacheBlocks = 4
	return model.New(p)
}

// result collects the output of all steps of a run.
type result struct {
	tokens    map[string]int
	preempted []string
	stored    map[uint64]bool
	maxCached int
}

// runUntilIdle runs an engine until it is idle and checks the invariants of each step.
func runUntilIdle(t rapid.TB, e *model.Engine) result {
	r := result{tokens: map[string]int{}, stored: map[uint64]bool{}}
	for steps := 0; !e.Idle(); steps++ {
		if steps > 100_000 {
			t.Fatalf("engine not idle after 100000 steps, usage %+v", e.Usage())
		}
		step := e.Step()
		if step.Duration <= 0 {
			t.Fatalf("step has no positive duration")
		}
		if u := e.Usage(); u.KVUsed > u.KVCapacity || u.KVUsed < 0 {
			t.Fatalf("KVUsed is %d tokens, want 0 to %d", u.KVUsed, u.KVCapacity)
		}
		for _, token := range step.Tokens {
			if token.Index != r.tokens[token.ID] {
				t.Fatalf("got token %d of sequence %s, want token %d", token.Index, token.ID, r.tokens[token.ID])
			}
			r.tokens[token.ID]++
		}
		r.preempted = append(r.preempted, step.Preempted...)
		for _, c := range step.Cache {
			delete(r.stored, c.Prefix)
			if c.Stored {
				r.stored[c.Prefix] = true
			}
		}
		r.maxCached = max(r.maxCached, len(r.stored))
	}
	return r
}

var _ = Describe("the step model", func() {
	It("preempts the lowest priority when the memory runs out in mid-decode", func() {
		e := newSmallEngine(4)
		Expect(e.Add(model.Sequence{ID: "low", PromptTokens: 15, OutputTokens: 40, Priority: 0})).To(Succeed())
		Expect(e.Add(model.Sequence{ID: "high", PromptTokens: 15, OutputTokens: 40, Priority: 1})).To(Succeed())
		r := runUntilIdle(GinkgoT(), e)
		Expect(r.preempted).To(ContainElement("low"))
		Expect(r.preempted).NotTo(ContainElement("high"))
		Expect(r.tokens).To(Equal(map[string]int{"low": 40, "high": 40}))
	})

	It("preempts the latest arrival among equals", func() {
		e := newSmallEngine(4)
		Expect(e.Add(model.Sequence{ID: "first", PromptTokens: 15, OutputTokens: 40})).To(Succeed())
		Expect(e.Add(model.Sequence{ID: "second", PromptTokens: 15, OutputTokens: 40})).To(Succeed())
		Expect(runUntilIdle(GinkgoT(), e).preempted).To(HaveEach("second"))
	})

	It("ends an answer that outgrows the whole memory", func() {
		e := newSmallEngine(2)
		Expect(e.Add(model.Sequence{ID: "a", PromptTokens: 10, OutputTokens: 1000})).To(Succeed())
		Expect(runUntilIdle(GinkgoT(), e).tokens["a"]).To(BeNumerically("<=", 32))
		Expect(e.Add(model.Sequence{ID: "b", PromptTokens: 32, OutputTokens: 1})).To(MatchError(model.ErrTooLarge))
	})

	It("computes a cached prefix faster", func() {
		e := newSmallEngine(64)
		seq := model.Sequence{ID: "a", PromptTokens: 64, Prefixes: []uint64{1, 2, 3, 4}, OutputTokens: 1}
		Expect(e.Add(seq)).To(Succeed())
		cold := e.Step().Duration
		seq.ID = "b"
		Expect(e.Add(seq)).To(Succeed())
		Expect(e.Step().Duration).To(BeNumerically("<", cold))
	})

	It("takes longer steps for larger batches", func() {
		e := newSmallEngine(64)
		Expect(e.Add(model.Sequence{ID: "a", PromptTokens: 16, OutputTokens: 50})).To(Succeed())
		e.Step()
		alone := e.Step().Duration
		Expect(e.Add(model.Sequence{ID: "b", PromptTokens: 16, OutputTokens: 50})).To(Succeed())
		e.Step()
		Expect(e.Step().Duration).To(BeNumerically(">", alone))
	})
})

// Guards against lost, repeated or reordered tokens, KV use above capacity, leaked KV blocks and
// a prefix cache above its limit, for random mixes of sequences.
func TestAnyLoadRunsToCompletion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newSmallEngine(rapid.IntRange(4, 40).Draw(t, "blocks"))
		capacity := e.Usage().KVCapacity
		want := map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "sequences") {
			s := model.Sequence{
				ID:           fmt.Sprint("s", i),
				PromptTokens: rapid.IntRange(1, capacity/2-1).Draw(t, "prompt"),
				OutputTokens: rapid.IntRange(1, capacity/2).Draw(t, "length"),
				Priority:     rapid.IntRange(-2, 2).Draw(t, "priority"),
				Prefixes:     rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, 6).Draw(t, "prefixes"),
			}
			if err := e.Add(s); err != nil {
				t.Fatalf("add sequence: %v", err)
			}
			want[s.ID] = s.OutputTokens
		}
		r := runUntilIdle(t, e)
		for id, n := range want {
			if r.tokens[id] != n {
				t.Fatalf("sequence %s produced %d tokens, want %d", id, r.tokens[id], n)
			}
		}
		if r.maxCached > 4 {
			t.Fatalf("cache held %d prefixes, want at most 4", r.maxCached)
		}
		if u := e.Usage(); u.KVUsed != 0 {
			t.Fatalf("KVUsed is %d tokens on an idle engine, want 0", u.KVUsed)
		}
	})
}
