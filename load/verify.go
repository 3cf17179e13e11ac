package load

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/crocusreel/crocusreel/client"
)

// Violation is a breach of the guarantees on the tokens of an answer, as detected by the caller.
type Violation string

// Kinds of violations.
const (
	// ViolationWrongToken is a token that belongs to another generation than the token before it,
	// or whose text is not that of a stand-in engine's token.
	ViolationWrongToken Violation = "wrong_token"
	// ViolationMissingTokens is an answer that skips tokens or ended as complete with too few
	// tokens. A token whose index differs from the position in its text also counts here.
	ViolationMissingTokens Violation = "missing_tokens"
	// ViolationRepeatedToken is a token at a position that was already received.
	ViolationRepeatedToken Violation = "repeated_token"
	// ViolationExtraTokens is a complete answer with more tokens than requested.
	ViolationExtraTokens Violation = "extra_tokens"
)

// verifier checks the tokens of one answer. Stand-in engines send "<generation>.<index> " as the
// text of each token, so the text alone identifies the generation and the position of the token,
// independently of the index that the gateway assigned to it.
type verifier struct {
	generation string
	nextIndex  int
	violation  Violation
	detail     string
}

func (v *verifier) addToken(t client.Token) {
	generation, index, ok := splitToken(t.Text)
	switch {
	case !ok:
		v.fail(ViolationWrongToken, fmt.Sprintf("text %q", t.Text))
	case v.nextIndex > 0 && generation != v.generation:
		v.fail(ViolationWrongToken, fmt.Sprintf("generation %s after %s", generation, v.generation))
	case index < v.nextIndex:
		v.fail(ViolationRepeatedToken, fmt.Sprintf("token %d in place of %d", index, v.nextIndex))
	case index > v.nextIndex || t.Index != index:
		v.fail(ViolationMissingTokens, fmt.Sprintf("token %d (index %d) in place of %d", index, t.Index, v.nextIndex))
	}
	v.generation = generation
	v.nextIndex++
}

func (v *verifier) finish(want int) {
	switch {
	case v.nextIndex < want:
		v.fail(ViolationMissingTokens, fmt.Sprintf("%d tokens of %d", v.nextIndex, want))
	case v.nextIndex > want:
		v.fail(ViolationExtraTokens, fmt.Sprintf("%d tokens of %d", v.nextIndex, want))
	}
}

// fail records a violation; only the first one is kept.
func (v *verifier) fail(kind Violation, detail string) {
	if v.violation == "" {
		v.violation = kind
		v.detail = detail
	}
}

func splitToken(text string) (generation string, index int, ok bool) {
	generation, number, found := strings.Cut(strings.TrimSpace(text), ".")
	if !found {
		return "", 0, false
	}
	index, err := strconv.Atoi(number)
	return generation, index, err == nil
}
