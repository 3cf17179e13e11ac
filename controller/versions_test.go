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

func newStore(p *fakePlatform) *versionStore { return newVersionStore(p, time.Now) }

func newEdit(base uint64, id string) operator.Edit {
	return operator.Edit{ExpectedVersion: base, EditID: id, Document: config.Document{Base: "[service]\nname = \"" + id + "\"\n"}}
}

var _ = Describe("Accepted versions", func() {
	// Two operators edit the same version at the same time. Without the condition on the head, the
	// later edit would overwrite the earlier one without notice.
	It("result from one of several concurrent edits, and the others get a conflict with its changes", func() {
		const concurrentEdits = 8
		p := newFakePlatform()
		store := newStore(p)
		// All have read the same head before the first commits.
		var arrived sync.WaitGroup
		arrived.Add(concurrentEdits)
		p.beforeCommit = func() {
			arrived.Done()
			arrived.Wait()
		}
		results := make([]error, concurrentEdits)
		var wg sync.WaitGroup
		for i := range concurrentEdits {
			wg.Go(func() { _, results[i] = store.apply(context.Background(), newEdit(0, fmt.Sprint("e", i))) })
		}
		wg.Wait()
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

	// The platform applies an edit but its response is lost. If this were reported as failure, the
	// operator would edit again on top of it; if as a conflict, the operator would look for an edit
	// of somebody else.
	DescribeTable("contain an edit once after a lost response", func(fault commitFault) {
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
		v, err := store.apply(context.Background(), newEdit(0, "e"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Version).To(Equal(uint64(1)))
		time.Sleep(40 * time.Millisecond)
		head, _, err := store.head(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(head.EditID).To(Equal("e"))
		Expect(head.Version).To(Equal(uint64(1)))
	},
		Entry("after the edit took effect", responseLost),
		Entry("if the request was lost too", requestLost),
		Entry("while the request is still in transit", appliedLate),
	)

	// A tool that got no response sends its edit again after others have edited. It must learn that
	// the edit was accepted.
	It("recognise an edit that is sent again", func() {
		store := newStore(newFakePlatform())
		for i, id := range []string{"a", "b", "c"} {
			_, err := store.apply(context.Background(), newEdit(uint64(i), id))
			Expect(err).NotTo(HaveOccurred())
		}
		v, err := store.apply(context.Background(), newEdit(1, "b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Version).To(Equal(uint64(2)))
	})

	It("do not change in an outage, and the edit is refused at once", func() {
		p := newFakePlatform()
		p.down = true
		_, err := newStore(p).apply(context.Background(), newEdit(0, "e"))
		Expect(errors.Is(err, operator.ErrPlatformUnavailable)).To(BeTrue())
	})
})

// Edits compete while commits and responses are lost in any order. The results that operators got
// must agree with the stored history: an accepted edit is stored once, a refused one is not.
func TestVersionsAgreeWithAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform()
		store := newStore(p)
		faults := rapid.SliceOfN(rapid.SampledFrom([]commitFault{applied, responseLost, requestLost, appliedLate, refused}), 0, 12).Draw(t, "faults")
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
			_, err := store.apply(ctx, newEdit(base, id))
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

// checkHistory passes the number of stored versions for each edit ID to check.
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
