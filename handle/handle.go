// Package handle signs and verifies resume handles: opaque tokens with which a caller can resume a
// generation at any gateway. Gateways need no shared state for this except the signing keys.
package handle

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// MinKeyBytes is the minimum length of a signing key.
const MinKeyBytes = 32

// maxHandleBytes limits the encoded length of a handle in bytes, which bounds the cost of verifying a
// malicious one.
const maxHandleBytes = 2048

// ErrInvalid is returned for every handle that fails verification. It does not state the reason,
// since that could help to forge a handle.
var ErrInvalid = eris.New("invalid handle")

// Handle identifies a running or recently finished generation.
type Handle struct {
	Endpoint     string    `json:"e"`
	GenerationID string    `json:"g"`
	RequestID    string    `json:"r"`
	Workspace    string    `json:"w"`
	Model        string    `json:"m"`
	Expires      time.Time `json:"x"`
}

// key is a named signing key.
type key struct {
	name   string
	secret []byte
}

// Signer signs handles with its first key and verifies them with any of its keys, so that a key can be
// rotated while handles signed with the old one are in use. A Signer is immutable and safe for
// concurrent use.
type Signer struct {
	keys []key
}

// NewSigner returns a signer with keys of the form "name:hex". The name must not contain a dot, and
// the decoded key must have at least MinKeyBytes bytes.
func NewSigner(keys []string) (*Signer, error) {
	if len(keys) == 0 {
		return nil, eris.New("no handle key configured: at least one is required")
	}
	s := &Signer{}
	for _, text := range keys {
		name, hexSecret, ok := strings.Cut(text, ":")
		if !ok || name == "" || strings.Contains(name, ".") {
			return nil, eris.New("malformed handle key: expected name:hex with no dot in the name")
		}
		secret, err := hex.DecodeString(hexSecret)
		if err != nil || len(secret) < MinKeyBytes {
			return nil, eris.Errorf("malformed handle key %q: expected at least %d hex-encoded bytes", name, MinKeyBytes)
		}
		s.keys = append(s.keys, key{name: name, secret: secret})
	}
	return s, nil
}

// Sign returns the encoded handle: key name, base64url payload and base64url HMAC-SHA256, separated by
// dots.
func (s *Signer) Sign(h Handle) (string, error) {
	payload, err := json.Marshal(h)
	if err != nil {
		return "", eris.Wrap(err, "handle")
	}
	k := s.keys[0]
	body := k.name + "." + base64.RawURLEncoding.EncodeToString(payload)
	return body + "." + base64.RawURLEncoding.EncodeToString(k.mac(body)), nil
}

// Verify decodes the handle. It returns ErrInvalid if the handle is forged, malformed or expired.
func (s *Signer) Verify(text string, now time.Time) (Handle, error) {
	var h Handle
	if len(text) > maxHandleBytes {
		return h, ErrInvalid
	}
	lastDot := strings.LastIndexByte(text, '.')
	if lastDot < 0 {
		return h, ErrInvalid
	}
	body := text[:lastDot]
	mac, err := base64.RawURLEncoding.DecodeString(text[lastDot+1:])
	if err != nil || !s.verifyMAC(body, mac) {
		return h, ErrInvalid
	}
	_, encoded, _ := strings.Cut(body, ".")
	payload, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || json.Unmarshal(payload, &h) != nil {
		return Handle{}, ErrInvalid
	}
	if now.After(h.Expires) {
		return Handle{}, ErrInvalid
	}
	return h, nil
}

func (s *Signer) verifyMAC(body string, mac []byte) bool {
	name, _, _ := strings.Cut(body, ".")
	for _, k := range s.keys {
		if k.name == name && hmac.Equal(mac, k.mac(body)) {
			return true
		}
	}
	return false
}

func (k key) mac(body string) []byte {
	m := hmac.New(sha256.New, k.secret)
	m.Write([]byte(body))
	return m.Sum(nil)
}
