// Package fake provides fake backend servers for demos, tests and experiments: model
// engines with continuous batching, a bounded prefix cache, resumable and cancellable
// streams and delayed load reports, and plain services that record their executions.
package fake

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// AnswerToken returns the i-th token of the answer to a prompt. It depends on the
// prompt, so that a caller can tell its own answer from that of another call.
func AnswerToken(promptHash uint64, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(promptHash), i)
}

// AnswerText returns the first n tokens of the answer to a prompt.
func AnswerText(promptHash uint64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(AnswerToken(promptHash, i))
	}
	return b.String()
}

// CountTokens returns the number of tokens in generated text.
func CountTokens(text string) int { return strings.Count(text, " ") }

// PromptHash returns the hash by which AnswerToken identifies a prompt.
func PromptHash(messages []json.RawMessage) uint64 {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.Write(m)
	}
	return h.Sum64()
}
