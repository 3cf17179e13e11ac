package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
)

func newStore(p *fakePlatform) *versionStore { return &versionStore{tables: p, now: time.Now} }

func edit(base uint64, id string) operator.Edit {
	return operator.Edit{ExpectedVersion: base, EditID: id, Document: config.Document{Base: "[service]\nname = \"" + id + "\"\n"}}
}

var _ = Describe("Accepted versions", func() {
	// Two operators edit the same version at the same time. Without the condition on
	// the head the later one would undo the earlier one's edit, and nobody would be
	// told.
	It("go to one of several racing edits, and the others see what it changed", func() {
		const racers = 8
		p := newFakePlatform()
		store := newStore(p)
		// All have read the same head before the first commits.
		var arrived sync.WaitGroup
		arrived.Add(racers)
		p.beforeCommit = func() {
			arrived.Done()
			arrived.Wait()
		}
		results := make([]error, racers)
		var under sync.WaitGroup
		for i := range racers {
			under.Go(func() { _, results[i] = store.apply(context.Background(), edit(0, fmt.Sprint("e", i))) })
		}
		under.Wait()
		accepted := 0
		for _, err := range results {
			var conflict *operator.Conflict
			if err == nil {
				accepted++
				continue
			}
			Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
			Expect(conflict.Current.Version).To(Equal(uint64(1)))
			Expect(conflict.Changes).NotTo(BeEmpty())
		}
		Expect(accepted).To(Equal(1))
	})

	// The platform applies an edit and its answer is lost. Reported as failed, the
	// operator would edit again on top of what is in force already; reported as a
	// conflict, the operator would look for somebody else's edit.
	DescribeTable("survive a lost answer", func(fault commitFault) {
		p := newFakePlatform()
		store := newStore(p)
		first := true
		p.commitFault = func() commitFault {
			if first {
				first = false
				return fault
			}
			return applied
		}
		v, err := store.apply(context.Background(), edit(0, "e"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Version).To(Equal(uint64(1)))
		time.Sleep(40 * time.Millisecond)
		head, _, err := store.head(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(head.EditID).To(Equal("e"))
		Expect(head.Version).To(Equal(uint64(1)))
	},
		Entry("after the edit took effect", answerLost),
		Entry("with the request", requestLost),
		Entry("while the request is still on its way", appliedLate),
	)

	// The same edit is sent again by a tool that got no answer, when others have
	// edited since. It must learn that its edit was accepted.
	It("recognise an edit that is sent again", func() {
		store := newStore(newFakePlatform())
		for i, id := range []string{"a", "b", "c"} {
			_, err := store.apply(context.Background(), edit(uint64(i), id))
			Expect(err).NotTo(HaveOccurred())
		}
		v, err := store.apply(context.Background(), edit(1, "b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Version).To(Equal(uint64(2)))
	})

	It("stay as they are in an outage, and the edit is refused at once", func() {
		p := newFakePlatform()
		p.down = true
		_, err := newStore(p).apply(context.Background(), edit(0, "e"))
		Expect(errors.Is(err, operator.ErrPlatformUnavailable)).To(BeTrue())
	})
})

// Edits race while commits and answers get lost in any order. What operators were
// told must agree with what is stored: an accepted edit is in the history once, a
// refused one is not.
func TestVersionsAgreeWithAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform()
		store := newStore(p)
		faults := rapid.SliceOfN(rapid.SampledFrom([]commitFault{applied, answerLost, requestLost, appliedLate, refused}), 0, 12).Draw(t, "faults")
		at := 0
		p.commitFault = func() commitFault {
			if at >= len(faults) {
				return applied
			}
			at++
			return faults[at-1]
		}
		type answer struct {
			id  string
			err error
		}
		var answers []answer
		edits := rapid.IntRange(1, 6).Draw(t, "edits")
		for i := range edits {
			base := rapid.Uint64Range(0, uint64(i)).Draw(t, "base")
			id := fmt.Sprint("e", i)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			_, err := store.apply(ctx, edit(base, id))
			cancel()
			answers = append(answers, answer{id, err})
		}
		time.Sleep(30 * time.Millisecond)
		checkHistory(t, store, func(stored map[string]int) {
			for _, a := range answers {
				var conflict *operator.Conflict
				switch {
				case a.err == nil && stored[a.id] != 1:
					t.Fatalf("edit %s was accepted and is stored %d times", a.id, stored[a.id])
				case (errors.As(a.err, &conflict) || errors.Is(a.err, operator.ErrPlatformUnavailable)) && stored[a.id] != 0:
					t.Fatalf("edit %s was refused (%v) and is stored", a.id, a.err)
				}
			}
		})
	})
}

// checkHistory reads the whole chain of versions.
func checkHistory(t *rapid.T, store *versionStore, check func(map[string]int)) {
	head, _, err := store.head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	stored := make(map[string]int)
	for v := uint64(1); v <= head.Version; v++ {
		version, err := store.read(context.Background(), v)
		if err != nil {
			t.Fatalf("version %d of %d: %v", v, head.Version, err)
		}
		stored[version.EditID]++
	}
	check(stored)
}
