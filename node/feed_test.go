package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/crocusreel/crocusreel/internal/standin/platform"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

var _ = Describe("a feed", func() {
	// Guards against a listing of many pages that times out before its last page at every attempt.
	It("reads a table of several pages from a slow store", func() {
		const rows, pages = 1100, 3
		server := httptest.NewServer(standin.New(standin.Options{Latency: 600 * time.Millisecond}).Handler())
		DeferCleanup(server.Close)
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), 3*time.Second)
		for from := 0; from < rows; from += 100 {
			var txn platform.Txn
			for i := from; i < from+100; i++ {
				txn.Writes = append(txn.Writes, platform.Write{Table: "t", Key: fmt.Sprintf("%04d", i), Value: []byte("{}")})
			}
			_, err := store.Commit(context.Background(), txn)
			Expect(err).NotTo(HaveOccurred())
		}
		listed := make(chan int, 1)
		f := node.NewListingFeed(store, func(l platform.Listing) { listed <- len(l.Rows) })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = node.Run(f, ctx) }()
		Eventually(listed, (pages+2)*600*time.Millisecond).Should(Receive(Equal(rows)))
	})

	// Guards against hundreds of nodes that all poll an unavailable store as often as the few nodes
	// on which others depend.
	It("polls an unavailable store rarely if no other node depends on it", func() {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			rw.WriteHeader(http.StatusTooManyRequests)
		}))
		DeferCleanup(server.Close)
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 1900*time.Millisecond)
		DeferCleanup(cancel)
		Expect(node.Run(node.NewFollowerFeed(store), ctx)).To(Succeed())
		Expect(calls.Load()).To(BeNumerically("<=", 2))
	})

	// Guards against endless health checks of the engines by a node that has lost the store and now
	// follows another node.
	It("does not report the store as lost once another node is followed", func() {
		var enabled atomic.Bool
		enabled.Store(true)
		f := node.NewFeed(platform.NewStore("127.0.0.1:1", 200*time.Millisecond), enabled.Load)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- node.Run(f, ctx) }()
		lost := func() bool { return node.IsLost(f) }
		Eventually(lost, 2*time.Second).Should(BeTrue())
		enabled.Store(false)
		Eventually(lost, 2*time.Second).Should(BeFalse())
		cancel()
		Eventually(done, 2*time.Second).Should(Receive(BeNil()))
	})

	// Guards against a store that is called without a pause because it has no position to continue from:
	// hundreds of nodes would do so at the same time.
	It("pauses between listings if the store cannot continue from them", func() {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			if strings.HasPrefix(r.URL.Path, platform.PathChanges) {
				rw.WriteHeader(http.StatusGone)
				return
			}
			_, _ = fmt.Fprint(rw, `{"rows":[],"has_more":false,"schema_version":7,"now_ms":1}`)
		}))
		DeferCleanup(server.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		DeferCleanup(cancel)
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second)
		Expect(node.Run(node.NewFeed(store, func() bool { return true }), ctx)).To(Succeed())
		Expect(calls.Load()).To(BeNumerically("<=", 30))
	})

	// Guards against changes of a restored store that are applied to the state from before: the store
	// has the version by chance, and the changes up to it were lost.
	It("reads the table again when changes come in another era than the known state", func() {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(platform.HeaderStoreEra, "2")
			_, _ = fmt.Fprint(rw, `{"rows":[],"has_more":false,"schema_version":9,"now_ms":1}`)
		}))
		DeferCleanup(server.Close)
		listed := make(chan platform.Revision, 10)
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second)
		f := node.NewListingFeed(store, func(l platform.Listing) { listed <- l.Revision() })
		node.SetVersion(f, 7)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = node.Run(f, ctx) }()
		Eventually(listed, time.Second).Should(Receive(Equal(platform.Revision{Era: 2, Version: 9})))
	})

	// Guards against overestimating the length of an outage: the store holds a poll open while
	// nothing changes, so its return would be detected up to a second late.
	It("detects the return of the store without a held poll", func() {
		var down atomic.Bool
		down.Store(true)
		inner := standin.New(standin.Options{}).Handler()
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if down.Load() {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			inner.ServeHTTP(rw, r)
		}))
		DeferCleanup(server.Close)
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second)
		f := node.NewFeed(store, func() bool { return true })
		node.SetVersion(f, 1)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = node.Run(f, ctx) }()
		lost := func() bool { return node.IsLost(f) }
		Eventually(lost, time.Second, time.Millisecond).Should(BeTrue())
		down.Store(false)
		Eventually(lost, 700*time.Millisecond, time.Millisecond).Should(BeFalse())
	})
})
