package loadgen

import (
	"strconv"
	"strings"

	"github.com/borageflow/borageflow/api"
)

// bytesPerToken is the number of bytes of filler text per prompt token.
const bytesPerToken = 4

// buildMessages returns the prompt of an arrival: a system message that all requests with the
// same prefix share, if there is a prefix, and a user message that is unique to the request.
func buildMessages(run string, class api.LoadClass, a arrival) []api.ChatMessage {
	var messages []api.ChatMessage
	if prefix := prefixText(class, a); prefix != "" {
		tokens := max(class.PrefixTokens, 1)
		messages = append(messages, api.ChatMessage{Role: "system", Content: padToTokens(prefix, tokens)})
	}
	tokens := a.promptTokens
	if tokens == 0 {
		tokens = max(class.PromptTokens, 1)
	}
	unique := "request " + run + "-" + strconv.Itoa(a.number)
	return append(messages, api.ChatMessage{Role: "user", Content: padToTokens(unique, tokens)})
}

func prefixText(class api.LoadClass, a arrival) string {
	if a.prefix != "" {
		return "prefix " + a.prefix
	}
	if class.PrefixTokens == 0 {
		return ""
	}
	return "prefix " + class.Name + " " + strconv.Itoa(a.number%max(class.Prefixes, 1))
}

// padToTokens pads text to a length in tokens. Longer text is returned unchanged.
func padToTokens(text string, tokens int) string {
	missing := tokens*bytesPerToken - len(text)
	if missing <= 0 {
		return text
	}
	return text + strings.Repeat(" and", (missing+3)/4)[:missing]
}

func maxTokens(class api.LoadClass, a arrival) int {
	if a.maxTokens > 0 {
		return a.maxTokens
	}
	return max(class.MaxTokens, 1)
}

// serviceBody returns the body of a plain-service call, which is unique to the call.
func serviceBody(run string, a arrival) string {
	return `{"call":"` + run + "-" + strconv.Itoa(a.number) + `"}`
}

// idempotencyKey returns the idempotency key of a plain-service call: the recorded one, or one
// that is unique to the call.
func idempotencyKey(run string, a arrival) string {
	if a.idempotencyKey != "" {
		return a.idempotencyKey
	}
	return run + "-" + strconv.Itoa(a.number)
}
