package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
)

const (
	// DefaultMaxTokens is the maximum number of tokens of an answer when the request sets
	// none.
	DefaultMaxTokens = 64
	// minAnswerTokens and answerTokenRange set the length of an answer that the request's
	// maximum does not cut: minAnswerTokens plus 0 to answerTokenRange-1 tokens.
	minAnswerTokens  = 8
	answerTokenRange = 505
	// bytesPerToken is the number of prompt bytes that count as one token.
	bytesPerToken = 4
)

var syllables = []string{
	"ba", "de", "fi", "go", "hu", "ja", "ke", "li", "mo", "nu", "pa", "re", "si", "to", "vu", "za",
}

// Tokens returns the tokens of the good answer of a version to messages, at most maxTokens,
// or DefaultMaxTokens when maxTokens is 0. The answer is a function of version and messages;
// a smaller maxTokens yields a prefix of it.
func Tokens(version string, messages []api.ChatMessage, maxTokens int) []string {
	seed := answerSeed(version, messages)
	tokens := make([]string, answerLength(seed, maxTokens))
	for i := range tokens {
		tokens[i] = tokenText(seed, i, false)
	}
	return tokens
}

// Answer returns the text of the good answer of a version to messages; see Tokens.
func Answer(version string, messages []api.ChatMessage, maxTokens int) string {
	return strings.Join(Tokens(version, messages, maxTokens), "")
}

// PoorAnswer returns the text of the poor answer of a version to messages: the good answer
// in capitals.
func PoorAnswer(version string, messages []api.ChatMessage, maxTokens int) string {
	return strings.ToUpper(Answer(version, messages, maxTokens))
}

// IsPoorAnswer reports whether text is a poor answer or a part of one.
func IsPoorAnswer(text string) bool { return strings.ToLower(text) != text }

// Difficulty returns the difficulty of messages in [0, 1). A version of quality q gives a
// good answer when q exceeds the difficulty. A better version therefore gives a good answer
// wherever a worse one does.
func Difficulty(messages []api.ChatMessage) float64 {
	return unitFraction(splitMix64(answerSeed("difficulty", messages)))
}

// Fingerprint returns the prefix fingerprint of a prompt in 16 hex digits: the xxHash64 of
// the first message's role, a NUL byte, its content and a NUL byte. It is empty for a prompt
// without messages.
func Fingerprint(messages []api.ChatMessage) string {
	if len(messages) == 0 {
		return ""
	}
	sum := xxhash.Sum64String(messages[0].Role + "\x00" + messages[0].Content + "\x00")
	hex := strconv.FormatUint(sum, 16)
	return strings.Repeat("0", 16-len(hex)) + hex
}

// Digest returns the digest of a prompt that the ledger records as base.Run.BodyDigest.
func Digest(messages []api.ChatMessage) string {
	return strconv.FormatUint(answerSeed("", messages), 16)
}

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(messages []api.ChatMessage) int {
	total := 0
	for _, m := range messages {
		total += messageTokens(m)
	}
	return total
}

func messageTokens(m api.ChatMessage) int {
	return 1 + (len(m.Content)+bytesPerToken-1)/bytesPerToken
}

func answerSeed(version string, messages []api.ChatMessage) uint64 {
	digest := xxhash.New()
	// Writing to an xxhash digest cannot fail.
	_, _ = digest.WriteString(version + "\x00")
	for _, m := range messages {
		_, _ = digest.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return digest.Sum64()
}

func answerLength(seed uint64, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	return min(minAnswerTokens+int(splitMix64(seed)%answerTokenRange), maxTokens)
}

func finishReason(seed uint64, maxTokens int) string {
	if answerLength(seed, maxTokens) < answerLength(seed, minAnswerTokens+answerTokenRange) {
		return "length"
	}
	return "stop"
}

func tokenText(seed uint64, index int, poor bool) string {
	h := splitMix64(seed + uint64(index)*0x9e3779b97f4a7c15)
	text := syllables[h&15] + syllables[h>>4&15] + syllables[h>>8&15] + " "
	if poor {
		return strings.ToUpper(text)
	}
	return text
}

// splitMix64 is the finalizer of splitmix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func unitFraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }
