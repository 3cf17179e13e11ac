package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// backend is a fake Backend that records edits and returns the configured version and error.
type backend struct {
	current operator.Version
	err     error
	edits   []operator.Edit
	leaving string
}

func (b *backend) Current() operator.Version { return b.current }
func (b *backend) Version(context.Context, uint64) (operator.Version, error) {
	return b.current, b.err
}

func (b *backend) History(_ context.Context, limit int) ([]operator.Version, error) {
	return make([]operator.Version, limit), b.err
}

func (b *backend) Apply(_ context.Context, e operator.Edit) (operator.Version, error) {
	b.edits = append(b.edits, e)
	return operator.Version{Version: e.ExpectedVersion + 1, EditID: e.EditID}, b.err
}
func (b *backend) Status() operator.Status { return operator.Status{VM: "vm-1"} }
func (b *backend) Leave(_ context.Context, vm string) error {
	b.leaving = vm
	return b.err
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func refusalCount(code string) string {
	if v := expvar.Get("refusals").(*expvar.Map).Get("operator_" + code); v != nil {
		return v.String()
	}
	return "0"
}

var _ = Describe("The administration API", func() {
	var b *backend
	var url string
	ctx := context.Background()
	client := func(key string) *operator.Client { return operator.NewClient(url, key, nil) }

	BeforeEach(func() {
		b = &backend{}
		keys, err := operator.ParseKeys([]string{digest("old"), digest("new")})
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(operator.NewHandler(b, keys, zap.NewNop()))
		DeferCleanup(server.Close)
		url = server.URL
	})

	It("accepts each of the valid keys, and refuses and counts all others", func() {
		for _, key := range []string{"old", "new"} {
			_, err := client(key).Status(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		before := refusalCount(operator.CodeUnauthorized)
		var refusal *operator.RemoteError
		for _, key := range []string{"", "older", digest("old")} {
			_, err := client(key).Status(ctx)
			Expect(errors.As(err, &refusal)).To(BeTrue())
			Expect(refusal.Code).To(Equal(operator.CodeUnauthorized))
			Expect(errors.As(client(key).Leave(ctx, "vm-1"), &refusal)).To(BeTrue())
		}
		Expect(b.leaving).To(BeEmpty())
		Expect(refusalCount(operator.CodeUnauthorized)).NotTo(Equal(before))
	})

	// Guards against lost edits when two operators edit concurrently: the second one must see the
	// changes to merge.
	It("returns the changes of the other edit in a conflict", func() {
		change := config.Change{Part: "base", Key: "service.name", Old: "a", New: "b"}
		b.err = &operator.Conflict{Current: operator.Version{Version: 7, EditID: "x"}, Changes: []config.Change{change}}
		_, err := client("new").Apply(ctx, operator.Edit{ExpectedVersion: 6, EditID: "y"})
		var refusal *operator.RemoteError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(operator.CodeConflict))
		Expect(refusal.Conflict.Current.Version).To(Equal(uint64(7)))
		Expect(refusal.Conflict.Changes).To(Equal([]config.Change{change}))
	})

	It("reports every problem of a document and changes nothing", func() {
		err := client("new").Validate(ctx, config.Document{Base: "a = 1\nb = 2\n"})
		var refusal *operator.RemoteError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(operator.CodeInvalidDocument))
		Expect(len(refusal.Problems)).To(BeNumerically(">=", 3))
		Expect(b.edits).To(BeEmpty())
	})

	DescribeTable("reports whether an edit may be in force", func(err error, code string) {
		b.err = eris.Wrap(err, "detail")
		_, got := client("new").Apply(ctx, operator.Edit{EditID: "y"})
		var refusal *operator.RemoteError
		Expect(errors.As(got, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(code))
	},
		Entry("nothing was changed", operator.ErrPlatformUnavailable, operator.CodePlatformUnavailable),
		Entry("it may be in force", operator.ErrResultUnknown, operator.CodeResultUnknown),
	)

	It("refuses an edit without an ID, a body that is too large and a limit out of range", func() {
		_, err := client("new").Apply(ctx, operator.Edit{})
		Expect(err).To(MatchError(ContainSubstring("edit_id")))
		_, err = client("new").Apply(ctx, operator.Edit{EditID: "x", Document: config.Document{Base: strings.Repeat("#", 5<<20)}})
		Expect(err).To(HaveOccurred())
		_, err = client("new").History(ctx, 100000)
		Expect(err).To(MatchError(ContainSubstring("limit")))
		Expect(b.edits).To(BeEmpty())
	})

	It("is reported as unreachable if no connection can be established", func() {
		_, err := operator.NewClient("http://127.0.0.1:1", "new", nil).Status(ctx)
		Expect(errors.Is(err, operator.ErrUnreachable)).To(BeTrue())
	})
})
