package endpoint_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/service"
)

func startService(o service.Options) (endpoint.Service, *admin.Client) {
	s, err := service.New(o)
	Expect(err).NotTo(HaveOccurred())
	addr := serve(s.Handler())
	return endpoint.NewService(addr, endpoint.Options{}), admin.NewClient(addr)
}

func booking(key string) endpoint.Call {
	return endpoint.Call{
		RequestID: "r", Workspace: "w", Method: http.MethodPost, Path: "/beds/7",
		Query: "night=1", Body: []byte("book"), IdempotencyKey: key,
	}
}

var _ = Describe("the service client", func() {
	ctx := context.Background()

	It("transmits calls and replies", func() {
		client, list := startService(service.Options{Name: "s"})
		Expect(client.Ready(ctx)).To(Succeed())
		reply, err := client.Do(ctx, booking("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusOK))
		Expect(string(reply.Body)).To(ContainSubstring(`"query":"night=1","body":"book"`))
		Expect(list.Runs(ctx)).To(ConsistOf(And(HaveField("IdempotencyKey", "k"), HaveField("Workspace", "w"))))
	})

	It("maps refusals and lost answers", func() {
		client, faults := startService(service.Options{})
		Expect(faults.SetFaults(ctx, admin.ServiceFaults{Refuse: true})).To(Succeed())
		_, err := client.Do(ctx, booking("k"))
		Expect(err).To(failure(crocusreel.OutcomeNotRun, endpoint.KindRefused))
		Expect(client.Ready(ctx)).NotTo(Succeed())
		Expect(faults.SetFaults(ctx, admin.ServiceFaults{LoseNext: 1})).To(Succeed())
		_, err = client.Do(ctx, booking("k"))
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindLost))
		Expect(faults.Runs(ctx)).To(HaveLen(1))
	})

	It("returns an unknown outcome when the caller's deadline expires", func() {
		client, faults := startService(service.Options{})
		Expect(faults.SetFaults(ctx, admin.ServiceFaults{SlowAnswerMS: 2000})).To(Succeed())
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := client.Do(short, booking("k"))
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindLost))
	})

	// Guards against a client that gives up too early, so that a booking about to be answered has
	// an unknown outcome: a route may allow its calls more time than the stall timeout of engines.
	It("waits for a silent service as long as the context allows", func() {
		client, faults := startService(service.Options{})
		Expect(faults.SetFaults(ctx, admin.ServiceFaults{SlowMS: 5500})).To(Succeed())
		long, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err := client.Do(long, booking("k"))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against calls that fail at random: a timer created with a timeout of 0 fires
	// immediately and occasionally cancels a call before it is sent.
	It("completes many calls without a stall timeout", func() {
		client, _ := startService(service.Options{})
		for i := range 2000 {
			_, err := client.Do(ctx, booking(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred(), "call %d", i)
		}
	})

	// A caller repeats a booking while the first one may still be running. A service that drops
	// repeated calls books once and answers both in the same way.
	It("runs a call with a repeated key once if the service drops repeated calls", func() {
		client, list := startService(service.Options{Deduplicate: true})
		first, err := client.Do(ctx, booking("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Do(ctx, booking("k"))).To(Equal(first))
		Expect(list.Runs(ctx)).To(HaveLen(1))
	})

	// The call crashes the service after its effect took place.
	It("reports a call that crashes the service as unknown", func() {
		client, list := startService(service.Options{Exit: func(int) { panic(http.ErrAbortHandler) }})
		call := booking("k")
		call.Body = []byte("book [[crash]]")
		_, err := client.Do(ctx, call)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindLost))
		Expect(list.Runs(ctx)).To(HaveLen(1))
	})

	It("never lets a path change the host", func() {
		client, _ := startService(service.Options{})
		call := booking("k")
		call.Path = "@127.0.0.2/x"
		reply, err := client.Do(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.Body)).To(ContainSubstring(`"path":"/@127.0.0.2/x"`))
	})
})
