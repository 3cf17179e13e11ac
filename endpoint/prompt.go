package endpoint

import (
	"encoding/binary"
	"hash/fnv"
)

const (
	// BlockTokens is the number of tokens in a block of KV cache memory.
	BlockTokens = 16
	// bytesPerToken is the mean length of a token of ordinary text.
	bytesPerToken = 4
	blockBytes    = BlockTokens * bytesPerToken
)

// PromptTokens estimates the length of a prompt in tokens. The result is at least 1.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// PrefixHashes returns the hashes of all prefixes of the prompt that consist of complete blocks,
// shortest first. The hashes also depend on the model. Cache events identify prefixes by these
// hashes.
func PrefixHashes(model, prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	parent := h.Sum64()
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		h.Reset()
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, parent))
		_, _ = h.Write([]byte(prompt[at : at+blockBytes]))
		parent = h.Sum64()
		hashes = append(hashes, parent)
	}
	return hashes
}
