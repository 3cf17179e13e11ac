package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
)

// serveScript answers the requests on each connection with the given texts, in which ID stands for the ID of the
// request's exchange.
func serveScript(texts ...string) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	answerAll := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, text := range texts {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get(endpoint.HeaderExchange)))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("an answer that states that a call has not run", func() {
	text := func(status int, id, outcome, body string) string {
		if id != "" {
			id = endpoint.HeaderExchange + ": " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, endpoint.HeaderOutcome, outcome, len(body), body)
	}
	const notRun, ran = "not_run", "ran"

	// Guards against a refusal that comes late on a kept connection and is taken for that of the next call.
	DescribeTable("is believed only if it is known whose it is", func(id string, reused bool, outcome crocusreel.Outcome) {
		texts := []string{text(200, "ID", ran, ""), text(503, id, notRun, "")}
		if !reused {
			texts = texts[1:]
		}
		client := endpoint.NewService(serveScript(texts...), endpoint.Options{})
		if reused {
			_, err := client.Do(context.Background(), booking("k"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := client.Do(context.Background(), booking("k"))
		var failed *endpoint.Error
		Expect(err).To(BeAssignableToTypeOf(failed))
		Expect(err.(*endpoint.Error).Outcome).To(Equal(outcome))
	},
		Entry("with the ID on a kept connection", "ID", true, crocusreel.OutcomeNotRun),
		Entry("without one on a new connection", "", false, crocusreel.OutcomeNotRun),
		Entry("without one on a kept connection", "", true, crocusreel.OutcomeUnknown),
		Entry("with another on a kept connection", "other", true, crocusreel.OutcomeUnknown),
		Entry("with another on a new connection", "other", false, crocusreel.OutcomeUnknown),
	)

	// Guards against an engine's refusal that comes late and is taken for that of the next generation.
	DescribeTable("is believed of an engine only if it is known whose it is", func(id string, outcome crocusreel.Outcome) {
		refusal := `{"kind":"refused","outcome":"not_run","message":"full"}`
		engine := endpoint.NewEngine(serveScript(text(200, "ID", ran, "{}"), text(503, id, notRun, refusal)), endpoint.Options{})
		_, err := engine.Load(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, err = engine.Load(context.Background())
		var failed *endpoint.Error
		Expect(err).To(BeAssignableToTypeOf(failed))
		Expect(err.(*endpoint.Error).Outcome).To(Equal(outcome))
	}, Entry("with the ID", "ID", crocusreel.OutcomeNotRun), Entry("without one", "", crocusreel.OutcomeUnknown))
})
