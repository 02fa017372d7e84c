// Package fake holds small stand-ins for the systems that cardamomwick serves:
// model engines with continuous batching, a bounded prefix cache, resumable
// and cancellable streams and lagging load reports, and plain services that
// count what they run. They are for demos, tests and experiments.
package fake

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th token of the answer to a prompt. It depends on the
// prompt, so that a caller can tell its own answer from another one's.
func Token(promptHash uint64, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(promptHash), i)
}

// Text returns the first n tokens of the answer to a prompt.
func Text(promptHash uint64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(promptHash, i))
	}
	return b.String()
}

// Tokens counts the tokens in generated text.
func Tokens(text string) int { return strings.Count(text, " ") }

// PromptHash identifies a prompt.
func PromptHash(messages []json.RawMessage) uint64 {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.Write(m)
	}
	return h.Sum64()
}
