package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// crashAfterTokens is the number of tokens after which the engine exits because of CrashMarker in
// the prompt. If the output is shorter, it exits at the last token.
const crashAfterTokens = 3

var lengthMarker = regexp.MustCompile(`\[\[len=(\d{1,9})\]\]`)

func hasCrashMarker(prompt string) bool { return strings.Contains(prompt, admin.CrashMarker) }

// outputLength returns the output length of a request in tokens before any limit applies. A
// marker [[len=N]] in the prompt sets it. Otherwise it is drawn from a lognormal distribution
// with a generator seeded by the engine's seed and the request ID, so that a request has the same
// length on every engine with the same seed.
func outputLength(o Options, requestID, prompt string) int {
	if m := lengthMarker.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1])
		return max(1, n)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	random := rand.New(rand.NewPCG(o.Seed, h.Sum64()))
	length := o.LengthMedian * math.Exp(o.LengthSigma*random.NormFloat64())
	return max(1, int(length))
}
