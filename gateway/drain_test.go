package gateway

import (
	"context"
	"testing"

	"github.com/crocusreel/crocusreel"
)

// Guards against a request that starts after the drain, because its body was read during it, and is cut off
// by the end of the process.
func TestNoRequestStartsAfterTheDrain(t *testing.T) {
	for name, end := range map[string]func(*testGateway){
		"complete":  func(tg *testGateway) { tg.awaitIdle(context.Background()) },
		"cut short": func(tg *testGateway) { tg.abortRequests() },
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTestGateway(t, nil)
			release, refusal := tg.AcquireSlot(tg.ws)
			if refusal != nil {
				t.Fatal(refusal)
			}
			release()
			end(tg)
			_, refusal = tg.AcquireSlot(tg.ws)
			if refusal == nil || refusal.Reason != crocusreel.ReasonShuttingDown || refusal.Outcome != crocusreel.OutcomeNotRun {
				t.Errorf("request after the drain: got %v, want a refusal as not run", refusal)
			}
		})
	}
}
