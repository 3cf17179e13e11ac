package tests

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/operator"
)

var _ = Describe("Hostile input", Ordered, ContinueOnFailure, func() {
	const otherKey = "other-key"
	var r *rig.Rig
	var gateway string

	BeforeAll(func() {
		spec := withBookingService()
		spec.Base = fmt.Sprintf("[[workspaces]]\nname = \"desk\"\nkey_sha256 = [%q]\n[[workspaces]]\nname = \"other\"\nkey_sha256 = [%q]\n",
			rig.Digest(rig.DefaultKey), rig.Digest(otherKey))
		r = startRig(spec)
		gateway = r.VMs[0].CallerAddress
	})

	AfterEach(func(ctx SpecContext) {
		for _, v := range r.VMs {
			Expect(v.Gateway.Running()).To(BeTrue(), "the gateway process is not running")
			Expect(v.Controller.Running()).To(BeTrue(), "the controller process is not running")
		}
		expectComplete(send(ctx, generationRequest(gateway, "still there", 3)), 3)
	})

	refusals := func(ctx context.Context, reason crocusreel.Reason) float64 {
		GinkgoHelper()
		vars, err := r.Vars(ctx, r.VMs[0].GatewayVarsAddress)
		Expect(err).NotTo(HaveOccurred())
		return vars["refusals"][string(reason)]
	}

	// Requests with a wrong key, a malformed key or an operator's key are sent to every route. Each
	// must be refused and counted, so that operators can see the attempts.
	It("with a wrong key is refused and counted at every route", func(ctx SpecContext) {
		before := refusals(ctx, crocusreel.ReasonUnauthorized)
		sent := 0
		for _, key := range []string{"wrong", rig.OperatorKey, strings.Repeat("k", 5000), "desk-key\x7f"} {
			for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/v1/resume", "/v1/requests/1", "/v1/models", "/services/beds/book"} {
				q := request{gateway: gateway, path: path, body: "{}", callerKey: key}
				if path == "/v1/models" || strings.HasPrefix(path, "/v1/requests") {
					q.method = http.MethodGet
				}
				s := send(ctx, q)
				if s.err != nil {
					// The HTTP client itself refuses to send a header with a control character.
					continue
				}
				sent++
				Expect(s.status).To(Equal(http.StatusUnauthorized), "%s %+v", path, s)
			}
		}
		Expect(refusals(ctx, crocusreel.ReasonUnauthorized)).To(BeNumerically(">=", before+float64(sent)))
		Expect(sent).To(BeNumerically(">=", 18))
	}, SpecTimeout(time.Minute))

	// A handle is modified, truncated, forged or used by another workspace. If it were accepted,
	// one customer would read the text of another.
	It("as a forged or foreign handle is refused and counted", func(ctx SpecContext) {
		q := generationRequest(gateway, "private", 60)
		q.onToken = func(index int) bool { return index < 5 }
		s := send(ctx, q)
		Expect(s.handle).NotTo(BeEmpty())
		before := refusals(ctx, crocusreel.ReasonHandleInvalid) + refusals(ctx, crocusreel.ReasonForbidden)
		forged := []string{
			"", "x", s.handle[:len(s.handle)-2], s.handle + "A", strings.Repeat("A", 100_000),
			base64.RawURLEncoding.EncodeToString([]byte(`{"endpoint":"e1"}`)), flipChar(s.handle, 3), flipChar(s.handle, len(s.handle)/2), flipChar(s.handle, len(s.handle)-3),
		}
		for _, h := range forged {
			got := send(ctx, resumeRequest(gateway, h, 0))
			Expect(got.refusal).NotTo(BeNil(), "handle %.60q: %+v", h, got)
			Expect(got.refusal.Reason).To(Equal(crocusreel.ReasonHandleInvalid))
		}
		foreign := resumeRequest(gateway, s.handle, 0)
		foreign.callerKey = otherKey
		got := send(ctx, foreign)
		Expect(got.refusal).NotTo(BeNil(), "%+v", got)
		Expect(got.refusal.Reason).To(Equal(crocusreel.ReasonForbidden))
		Expect(got.texts).To(BeEmpty())
		after := refusals(ctx, crocusreel.ReasonHandleInvalid) + refusals(ctx, crocusreel.ReasonForbidden)
		Expect(after).To(BeNumerically(">=", before+float64(len(forged))+1))
	}, SpecTimeout(time.Minute))

	// Two customers use the same idempotency key, by chance or to read the other's booking. Each
	// must get its own run, and neither may see the other's recent requests.
	It("cannot reach another workspace's records", func(ctx SpecContext) {
		key := uuid.NewString()
		own := send(ctx, bookingRequest(gateway, key, 1))
		Expect(own.status).To(Equal(http.StatusOK))
		q := bookingRequest(gateway, key, 1)
		q.callerKey = otherKey
		foreign := send(ctx, q)
		Expect(foreign.status).To(Equal(http.StatusOK))
		Expect(foreign.body).NotTo(Equal(own.body))
		Expect(runsWithKey(ctx, key, r.Services...)).To(HaveLen(2))

		record := request{gateway: gateway, method: http.MethodGet, path: "/v1/requests/" + own.header.Get(api.HeaderRequestID)}
		Expect(send(ctx, record).status).To(Equal(http.StatusOK))
		record.callerKey = otherKey
		Expect(send(ctx, record).status).To(Equal(http.StatusNotFound))
	}, SpecTimeout(time.Minute))

	// Malformed and oversized input is sent to every listener. None of it may stop a process or be
	// answered with success.
	It("that is malformed is refused at every listener", func(ctx SpecContext) {
		bodies := []string{
			"", "{", "[]", `{"model":7}`, `{"model":"m","max_tokens":-1}`, strings.Repeat("[", 100_000),
			`{"model":"` + strings.Repeat("m", 5<<20) + `"}`, "\x00\xff\xfe",
		}
		for _, body := range bodies {
			for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/v1/resume"} {
				s := send(ctx, request{gateway: gateway, path: path, body: body})
				Expect(s.status).NotTo(Equal(http.StatusOK), "%s %.60q", path, body)
			}
		}
		s := send(ctx, request{gateway: gateway, path: "/v1/chat/completions", body: `{"model":"m","messages":[]}`})
		Expect(s.status).To(Equal(http.StatusBadRequest))
		headers := map[string]string{
			api.HeaderAttempt: "-1", api.HeaderPriority: "99999999999999999999", api.HeaderDeadline: "soon",
			api.HeaderIdempotencyKey: strings.Repeat("k", 300), api.HeaderIdempotent: "maybe", api.HeaderClass: "urgent",
		}
		for name, value := range headers {
			q := generationRequest(gateway, "note", 1)
			q.header = map[string]string{name: value}
			s := send(ctx, q)
			Expect(s.refusal).NotTo(BeNil(), "%s: %s", name, value)
			Expect(s.refusal.Reason).To(Equal(crocusreel.ReasonBadRequest))
		}
		for _, address := range []string{gateway, r.VMs[0].GatewayPeerAddress, r.VMs[0].ControllerPeerAddress, r.VMs[0].OperatorAddress} {
			for _, text := range []string{"\x16\x03\x01\x00\xa5", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff", "GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", strings.Repeat("A", 100_000)} {
				sendRaw(address, text)
			}
		}
	}, SpecTimeout(time.Minute))

	// An edit has a wrong key or its document is malformed. It must change nothing.
	It("to operators' listeners changes nothing", func(ctx SpecContext) {
		intruder := operator.NewClient("http://"+r.VMs[0].OperatorAddress, rig.DefaultKey, nil)
		edit := operator.Edit{ExpectedVersion: 1, EditID: uuid.NewString(), Document: r.Document()}
		_, err := intruder.Apply(ctx, edit)
		Expect(err).To(HaveOccurred())
		for _, base := range []string{"", "a = = b", strings.Repeat("[[models]]\n", 10_000), "[service]\nname = \"\\u0000\"\n"} {
			_, err := r.Operator(r.VMs[0]).Apply(ctx, operator.Edit{ExpectedVersion: 1, EditID: uuid.NewString(), Document: config.Document{Base: base}})
			Expect(err).To(HaveOccurred(), "%.40q", base)
		}
		current, err := r.Operator(r.VMs[0]).Current(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Version).To(BeEquivalentTo(1))
	}, SpecTimeout(time.Minute))
})

// flipChar replaces the character of a handle at the given position.
func flipChar(text string, at int) string {
	changed := byte('A')
	if text[at] == changed {
		changed = 'B'
	}
	return text[:at] + string(changed) + text[at+1:]
}

// sendRaw sends bytes to a listener and reads the response, for at most 200 ms after it has
// connected.
func sendRaw(address, text string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = conn.Write([]byte(text))
	_, _ = conn.Read(make([]byte, 4096))
}
