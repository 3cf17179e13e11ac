package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"
)

// Keys holds the SHA-256 digests of the valid operator keys. Several keys can be valid at the same
// time, so that a key can be rotated without downtime.
type Keys struct {
	digests [][sha256.Size]byte
}

// ParseKeys decodes hexadecimal SHA-256 digests. Its error does not contain the digest.
func ParseKeys(digests []string) (Keys, error) {
	var k Keys
	for _, d := range digests {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(d)); err != nil || n != len(digest) {
			return Keys{}, eris.New("operator key digest must be 64 hexadecimal digits")
		}
		k.digests = append(k.digests, digest)
	}
	return k, nil
}

// Valid reports whether an Authorization header carries one of the keys as a bearer token. It
// compares with every digest in constant time, so that the response time reveals nothing about
// them.
func (k Keys) Valid(authorization string) bool {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	given := sha256.Sum256([]byte(token))
	found := 0
	for _, digest := range k.digests {
		found |= subtle.ConstantTimeCompare(given[:], digest[:])
	}
	return ok && found == 1
}
