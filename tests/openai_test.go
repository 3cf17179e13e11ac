package tests

import (
	"errors"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
	"github.com/crocusreel/crocusreel/internal/rig"
)

const openAIModel = "m1"

// openAISystem returns a system of two gateways and two engines in one data centre.
func openAISystem() rig.Spec {
	return rig.Spec{
		VMs: []rig.VMSpec{{ID: "vm1", DataCentre: "dc1"}, {ID: "vm2", DataCentre: "dc1"}},
		Engines: []rig.EngineSpec{
			{Name: "engine1", DataCentre: "dc1", Models: []string{openAIModel}},
			{Name: "engine2", DataCentre: "dc1", Models: []string{openAIModel}},
		},
	}
}

// tokenIndices returns the token indices in the text of a stand-in engine. It fails the spec
// if the tokens belong to different generations.
func tokenIndices(text string) []int {
	GinkgoHelper()
	var out []int
	first := ""
	for _, word := range strings.Fields(text) {
		generation, index, ok := strings.Cut(word, ".")
		Expect(ok).To(BeTrue(), word)
		if first == "" {
			first = generation
		}
		Expect(generation).To(Equal(first))
		var n int
		_, err := fmt.Sscan(index, &n)
		Expect(err).NotTo(HaveOccurred())
		out = append(out, n)
	}
	return out
}

func indicesBelow(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Runs the official Go client library of the API against a gateway; only its base URL, API key and
// retries are configured.
var _ = Describe("OpenAI's client library", Ordered, func() {
	var api openai.Client

	BeforeAll(func() {
		r := startRig(openAISystem())
		api = openai.NewClient(
			option.WithBaseURL("http://"+r.VMs[0].CallerAddress+"/v1/"),
			option.WithAPIKey(rig.DefaultKey),
			option.WithMaxRetries(0),
		)
	})

	It("lists the models", func(ctx SpecContext) {
		page, err := api.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Data).To(HaveLen(1))
		Expect(page.Data[0].ID).To(Equal(openAIModel))
	}, SpecTimeout(waitTimeout))

	completion := openai.CompletionNewParams{
		Model:  openAIModel,
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Draft. [[len=40]]")},
	}
	chat := openai.ChatCompletionNewParams{
		Model: openAIModel,
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("You draft letters."),
			openai.UserMessage("Draft. [[len=40]]"),
		},
	}

	It("gets whole completions", func(ctx SpecContext) {
		answer, err := api.Completions.New(ctx, completion)
		Expect(err).NotTo(HaveOccurred())
		Expect(tokenIndices(answer.Choices[0].Text)).To(Equal(indicesBelow(40)))
		Expect(string(answer.Choices[0].FinishReason)).To(Equal("stop"))
		Expect(answer.Usage.CompletionTokens).To(BeEquivalentTo(40))
	}, SpecTimeout(waitTimeout))

	It("streams completions", func(ctx SpecContext) {
		stream := api.Completions.NewStreaming(ctx, completion)
		defer stream.Close()
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Text)
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(tokenIndices(text.String())).To(Equal(indicesBelow(40)))
	}, SpecTimeout(waitTimeout))

	It("gets whole chat completions", func(ctx SpecContext) {
		answer, err := api.Chat.Completions.New(ctx, chat)
		Expect(err).NotTo(HaveOccurred())
		Expect(tokenIndices(answer.Choices[0].Message.Content)).To(Equal(indicesBelow(40)))
		Expect(answer.Choices[0].FinishReason).To(Equal("stop"))
	}, SpecTimeout(waitTimeout))

	It("streams chat completions", func(ctx SpecContext) {
		stream := api.Chat.Completions.NewStreaming(ctx, chat)
		defer stream.Close()
		var whole openai.ChatCompletionAccumulator
		for stream.Next() {
			Expect(whole.AddChunk(stream.Current())).To(BeTrue())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(tokenIndices(whole.Choices[0].Message.Content)).To(Equal(indicesBelow(40)))
		Expect(whole.Choices[0].FinishReason).To(Equal("stop"))
	}, SpecTimeout(waitTimeout))

	It("respects the bound on tokens", func(ctx SpecContext) {
		bounded := completion
		bounded.MaxTokens = openai.Int(7)
		answer, err := api.Completions.New(ctx, bounded)
		Expect(err).NotTo(HaveOccurred())
		Expect(tokenIndices(answer.Choices[0].Text)).To(Equal(indicesBelow(7)))
		Expect(string(answer.Choices[0].FinishReason)).To(Equal("length"))
	}, SpecTimeout(waitTimeout))

	It("gets typed errors", func(ctx SpecContext) {
		unknown := completion
		unknown.Model = "no-such-model"
		_, err := api.Completions.New(ctx, unknown)
		var apiErr *openai.Error
		Expect(errors.As(err, &apiErr)).To(BeTrue())
		Expect(apiErr.StatusCode).To(Equal(404))
		Expect(apiErr.Code).To(Equal(string(crocusreel.ReasonUnknownModel)))

		_, err = api.Models.List(ctx, option.WithAPIKey("wrong"))
		Expect(errors.As(err, &apiErr)).To(BeTrue())
		Expect(apiErr.StatusCode).To(Equal(401))
	}, SpecTimeout(waitTimeout))
})

// A gateway is killed while it streams a response. Its connections break, and a caller that could
// not resume would be left with a partial text.
var _ = Describe("The Go client", func() {
	It("gets its whole answer though the gateway dies in mid-stream", func(ctx SpecContext) {
		r := startRig(openAISystem())
		c, err := client.New(client.Options{Seeds: r.CallerAddresses(), Key: rig.DefaultKey})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		const tokens = 300
		stream, err := c.Generate(ctx, client.Request{Model: openAIModel, Prompt: fmt.Sprintf("[[len=%d]]", tokens)})
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		var text strings.Builder
		for i := range tokens {
			if i == tokens/3 {
				killGatewayAt(r, stream.Gateway())
			}
			token, err := stream.Next()
			Expect(err).NotTo(HaveOccurred())
			text.WriteString(token.Text)
		}
		_, err = stream.Next()
		Expect(err).To(MatchError("EOF"))
		Expect(tokenIndices(text.String())).To(Equal(indicesBelow(tokens)))
		Expect(c.Counts().Resumes).To(BeNumerically(">=", 1))
	}, SpecTimeout(2*time.Minute))
})

func killGatewayAt(r *rig.Rig, callerAddress string) {
	GinkgoHelper()
	for _, vm := range r.VMs {
		if vm.CallerAddress == callerAddress {
			vm.Gateway.Kill()
			return
		}
	}
	Fail("no gateway with caller address " + callerAddress)
}
