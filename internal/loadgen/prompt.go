package loadgen

import (
	"strconv"
	"strings"

	"github.com/borageflow/borageflow/api"
)

// bytesPerToken is the length of filler text for one prompt token.
const bytesPerToken = 4

// messagesOf builds the prompt of an arrival: a first message shared by the
// requests of one prefix, and a last message that no other request has.
func messagesOf(run string, class api.LoadClass, a arrival) []api.ChatMessage {
	var messages []api.ChatMessage
	if prefix := prefixOf(class, a); prefix != "" {
		tokens := max(class.PrefixTokens, 1)
		messages = append(messages, api.ChatMessage{Role: "system", Content: fill(prefix, tokens)})
	}
	tokens := a.prompt
	if tokens == 0 {
		tokens = max(class.PromptTokens, 1)
	}
	unique := "request " + run + "-" + strconv.Itoa(a.number)
	return append(messages, api.ChatMessage{Role: "user", Content: fill(unique, tokens)})
}

func prefixOf(class api.LoadClass, a arrival) string {
	if a.prefix != "" {
		return "prefix " + a.prefix
	}
	if class.PrefixTokens == 0 {
		return ""
	}
	return "prefix " + class.Name + " " + strconv.Itoa(a.number%max(class.Prefixes, 1))
}

// fill pads text to a length in tokens; longer text stays whole.
func fill(text string, tokens int) string {
	missing := tokens*bytesPerToken - len(text)
	if missing <= 0 {
		return text
	}
	return text + strings.Repeat(" and", (missing+3)/4)[:missing]
}

func maxTokensOf(class api.LoadClass, a arrival) int {
	if a.maxTokens > 0 {
		return a.maxTokens
	}
	return max(class.MaxTokens, 1)
}

// bodyOf builds the body of a plain-service call, which no other call has.
func bodyOf(run string, a arrival) string {
	return `{"call":"` + run + "-" + strconv.Itoa(a.number) + `"}`
}

// keyOf returns the idempotency key of a plain-service call.
func keyOf(run string, a arrival) string {
	if a.key != "" {
		return a.key
	}
	return run + "-" + strconv.Itoa(a.number)
}
