package load

import "github.com/crocusreel/crocusreel/client"

// Exported for tests.
var (
	StallTime = stallTime
	Fairness  = fairness
)

// Verify runs the verifier over the token texts of one complete answer that should have want
// tokens, and returns the first violation or an empty string.
func Verify(texts []string, want int) Violation {
	var v verifier
	for i, text := range texts {
		v.addToken(client.Token{Index: i, Text: text})
	}
	v.finish(want)
	return v.violation
}
