package client_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
)

// fault describes a fault in one response of a gateway.
type fault struct {
	// kind is the fault that occurs after the response has sent some tokens.
	kind string
	// sent is the number of tokens before the fault.
	sent int
}

var faultKinds = []string{"none", "cut", "repeat", "gap", "short end", "no end", "lost", "refuse"}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			sent: rapid.IntRange(0, 6).Draw(t, "sent"),
		}
	}), 0, 5).Draw(t, "faults")
}

// respond answers a request for a generation of length tokens, starting at the token next, with the
// fault f.
func respond(w http.ResponseWriter, f fault, generation string, next, length int) {
	upTo := min(next+f.sent, length)
	switch f.kind {
	case "refuse":
		refuse(w, http.StatusServiceUnavailable, crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, 1)
		return
	case "cut":
		sendTokens(w, generation, next, upTo)
		abortConnection()
	case "lost":
		sendTokens(w, generation, next, upTo)
		sendErrorEvent(w, crocusreel.ReasonGenerationLost)
		return
	case "repeat":
		sendTokens(w, generation, next, upTo)
		sendTokens(w, generation, next, length)
	case "gap":
		sendTokens(w, generation, next, upTo)
		sendTokens(w, generation, min(upTo+1, length), length)
	case "short end":
		sendTokens(w, generation, next, upTo)
	case "no end":
		sendTokens(w, generation, next, length)
		return
	default:
		sendTokens(w, generation, next, length)
	}
	sendEnd(w, length)
}

// Guards against wrong answers when gateways truncate streams, repeat or omit tokens, end too early
// or lose the generation, in any order. The tokens that a caller gets must be a prefix of one
// generation, and the complete generation if the client returns io.EOF.
var _ = It("returns one complete generation or an error, whatever the gateways do", func(ctx SpecContext) {
	fake := newFakeGateways(3)
	DeferCleanup(fake.close)
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		faults := drawFaults(t)
		length := rapid.IntRange(1, 8).Draw(t, "length")
		started := 0
		served := 0
		fake.handler = func(_ int, w http.ResponseWriter, r *http.Request, body string) {
			f := fault{kind: "none"}
			if served < len(faults) {
				f = faults[served]
			}
			served++
			next := 0
			if r.URL.Path == "/v1/resume" {
				var resume struct {
					NextIndex int `json:"next_index"`
				}
				_ = json.Unmarshal([]byte(body), &resume)
				next = resume.NextIndex
			} else {
				started++
			}
			respond(w, f, fmt.Sprintf("g%d", started), next, length)
		}
		c, err := client.New(client.Options{
			Seeds: fake.addresses(), Key: "k", MaxAttempts: 20, RetryBurst: 1000, BaseBackoff: time.Microsecond,
		})
		Expect(err).NotTo(HaveOccurred())
		stream, err := c.Generate(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		var text strings.Builder
		for {
			token, err := stream.Next()
			if errors.Is(err, io.EOF) {
				Expect(text.String()).To(Equal(fullText(fmt.Sprintf("g%d", started), length)))
				return
			}
			if err != nil {
				Expect(fullText(fmt.Sprintf("g%d", started), length)).To(HavePrefix(text.String()))
				return
			}
			text.WriteString(token.Text)
		}
	})
}, SpecTimeout(2*time.Minute))
