package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/examples"
	"github.com/crocusreel/crocusreel/load"
)

func exampleMix(name string) *load.Mix {
	m, err := load.LoadMix(name)
	Expect(err).NotTo(HaveOccurred())
	return m
}

var _ = Describe("Mix", func() {
	It("loads every example mix", func() {
		sizes := map[string]int{}
		for _, name := range examples.MixNames() {
			sizes[name] = len(exampleMix(name).Workspaces)
		}
		Expect(sizes).To(Equal(map[string]int{"demo": 1, "schronisko": 10, "postwerk": 10}))
	})

	It("reports all problems of a mix in one error", func() {
		_, err := load.ParseMix("m.toml", `
name = "m"
model = "x"
colour = 1
[[workspaces]]
name = "w"
[[work]]
name = "a"
kind = "poem"
`)
		Expect(err).To(MatchError(And(ContainSubstring("colour"), ContainSubstring("poem"))))
	})
})

var _ = Describe("Trace", func() {
	It("is the same for the same seed and differs for another", func() {
		mix := exampleMix("postwerk")
		a := load.NewTokenTrace(mix, 20000, 10*time.Second, 7)
		b := load.NewTokenTrace(mix, 20000, 10*time.Second, 7)
		Expect(a.Items).To(Equal(b.Items))
		Expect(load.NewTokenTrace(mix, 20000, 10*time.Second, 8).Items).NotTo(Equal(a.Items))
	})

	It("requests the given total of tokens, sorted by time", func() {
		trace := load.NewTokenTrace(exampleMix("schronisko"), 50000, 10*time.Second, 1)
		Expect(trace.Tokens()).To(BeNumerically("~", 50000, 3000))
		for i := range trace.Items[1:] {
			Expect(trace.Items[i+1].At).To(BeNumerically(">=", trace.Items[i].At))
		}
	})

	It("builds prompts of the length that the mix specifies", func() {
		for _, item := range load.NewTokenTrace(exampleMix("postwerk"), 20000, 10*time.Second, 1).Items {
			if item.Tokens > 0 {
				Expect(endpoint.PromptTokens(item.Prompt)).To(BeNumerically("~", item.Template.PromptTokens, 2))
			}
		}
	})

	It("has approximately the requested rate", func() {
		trace := load.NewTrace(exampleMix("schronisko"), 200, 20*time.Second, 1)
		Expect(len(trace.Items)).To(BeNumerically("~", 4000, 300))
	})
})

var _ = Describe("Measures", func() {
	DescribeTable("detect every kind of violation",
		func(texts []string, want load.Violation) {
			Expect(load.Verify(texts, 3)).To(Equal(want))
		},
		Entry("whole", []string{"g.0 ", "g.1 ", "g.2 "}, load.Violation("")),
		Entry("cut", []string{"g.0 ", "g.1 "}, load.ViolationMissingTokens),
		Entry("gap", []string{"g.0 ", "g.2 ", "g.3 "}, load.ViolationMissingTokens),
		Entry("repeated", []string{"g.0 ", "g.0 ", "g.1 "}, load.ViolationRepeatedToken),
		Entry("spliced", []string{"g.0 ", "h.1 ", "h.2 "}, load.ViolationWrongToken),
		Entry("too long", []string{"g.0 ", "g.1 ", "g.2 ", "g.3 "}, load.ViolationExtraTokens),
	)

	It("count only the time in excess of the threshold as stall", func() {
		gaps := []time.Duration{10, 30, 100, 31}
		Expect(load.StallTime(gaps, 30)).To(Equal(time.Duration(71)))
	})

	It("rate an allocation as fair if it follows weights and demands", func() {
		workspaces := []load.Workspace{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}, {Name: "c", Weight: 1}}
		demand := map[string]float64{"a": 1000, "b": 1000, "c": 20}
		fair := map[string]float64{"a": 360, "b": 120, "c": 20}
		Expect(load.Fairness(workspaces, demand, fair)).To(BeNumerically("~", 1, 1e-9))
		unfair := map[string]float64{"a": 10, "b": 470, "c": 20}
		Expect(load.Fairness(workspaces, demand, unfair)).To(BeNumerically("<", 0.6))
	})
})

// stubGateway starts a stub gateway that answers each generation with as many tokens as the length
// marker in its prompt requests. The caller must close it.
func stubGateway() *httptest.Server {
	marker := regexp.MustCompile(`\[\[len=(\d+)\]\]`)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/addresses":
			_ = json.NewEncoder(w).Encode(map[string]any{"addresses": []string{server.Listener.Addr().String()}, "ttl_ms": 60000})
			return
		case strings.HasPrefix(r.URL.Path, "/services/"):
			_, _ = fmt.Fprint(w, "{}")
			return
		}
		var body struct{ Prompt string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		n, _ := strconv.Atoi(marker.FindStringSubmatch(body.Prompt)[1])
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range n {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"gen.%d \"}],\"crocusreel\":{\"index\":%d}}\n\n", i, i)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"crocusreel\":{\"index\":%d,\"preemptions\":1}}\n\ndata: [DONE]\n\n", n)
	}))
	return server
}

var _ = Describe("Run", func() {
	It("sends all requests of the trace and reports the results", func() {
		server := stubGateway()
		defer server.Close()
		trace := load.NewCountTrace(exampleMix("schronisko"), 400, 200, 3)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		rep, err := load.Run(ctx, trace, load.Options{
			Gateways: []string{server.Listener.Addr().String()},
			Key:      func(string) string { return "k" },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.Whole).To(Equal(200))
		Expect(rep.OK()).To(BeTrue())
		Expect(rep.PreemptionsPer1000).To(BeNumerically("==", 1000))
		Expect(rep.Lookup.Count).To(BeNumerically(">", 0))
		Expect(rep.Fairness).To(BeNumerically("~", 1, 1e-9))
		Expect(rep.WritePNG(filepath.Join(GinkgoT().TempDir(), "times.png"))).To(Succeed())
		var table strings.Builder
		Expect(rep.WriteTable(&table)).To(Succeed())
		Expect(table.String()).To(ContainSubstring("no wrong, missing or repeated token"))
	})
})
