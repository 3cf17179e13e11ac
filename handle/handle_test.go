package handle

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	oldKey = "old:" + strings.Repeat("0a", MinKeyBytes)
	newKey = "new:" + strings.Repeat("0b", MinKeyBytes)
	now    = time.Unix(1_000_000, 0)
)

func mustSigner(t *testing.T, keys ...string) *Signer {
	s, err := NewSigner(keys)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return s
}

// During key rotation callers still hold handles signed with the old key. These must verify as long
// as the old key is listed; otherwise their streams could not be resumed.
func TestRotationKeepsOldHandles(t *testing.T) {
	g := gomega.NewWithT(t)
	h := Handle{Endpoint: "e1", GenerationID: "g1", Workspace: "w", Expires: now.Add(time.Minute)}
	text, err := mustSigner(t, oldKey).Sign(h)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := mustSigner(t, newKey, oldKey).Verify(text, now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.GenerationID).To(gomega.Equal("g1"))
	_, err = mustSigner(t, newKey).Verify(text, now)
	g.Expect(err).To(gomega.MatchError(ErrInvalid))
}

func TestExpiredHandleIsInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	s := mustSigner(t, newKey)
	text, err := s.Sign(Handle{Expires: now})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.Verify(text, now.Add(time.Second))
	g.Expect(err).To(gomega.MatchError(ErrInvalid))
}

// A caller might alter a handle to reach another workspace's answer. No text other than the signed
// one may verify as a handle of a different workspace, whatever its form.
func FuzzVerifyRefusesWhatWasNotSigned(f *testing.F) {
	signer, err := NewSigner([]string{newKey})
	if err != nil {
		f.Fatal(err)
	}
	signed, err := signer.Sign(Handle{Workspace: "w", Expires: now.Add(time.Minute)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(signed[:len(signed)-1])
	f.Add("new.e30.")
	f.Add("..")
	f.Add(strings.Replace(signed, "new", "old", 1))
	f.Fuzz(func(t *testing.T, text string) {
		if text == signed {
			return
		}
		h, err := signer.Verify(text, now)
		if err == nil && h.Workspace != "w" {
			t.Fatalf("Verify accepted the unsigned handle %q", text)
		}
	})
}
