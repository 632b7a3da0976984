package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
)

const (
	// DefaultMaxTokens is used when a request names no bound.
	DefaultMaxTokens = 64
	// shortestAnswer and answerSpread bound the natural length of an answer, in
	// tokens.
	shortestAnswer = 8
	answerSpread   = 505
	// bytesPerToken converts prompt text to tokens.
	bytesPerToken = 4
)

var syllables = []string{
	"ba", "de", "fi", "go", "hu", "ja", "ke", "li", "mo", "nu", "pa", "re", "si", "to", "vu", "za",
}

// Tokens returns the tokens of the good answer of a version to messages. The
// answer depends on nothing else; a smaller maxTokens yields a prefix.
func Tokens(version string, messages []api.ChatMessage, maxTokens int) []string {
	seed := seedOf(version, messages)
	tokens := make([]string, answerLength(seed, maxTokens))
	for i := range tokens {
		tokens[i] = tokenText(seed, i, false)
	}
	return tokens
}

// Answer returns the text of the good answer of a version to messages.
func Answer(version string, messages []api.ChatMessage, maxTokens int) string {
	return strings.Join(Tokens(version, messages, maxTokens), "")
}

// PoorAnswer returns the text of the poor answer: the good one in capitals.
func PoorAnswer(version string, messages []api.ChatMessage, maxTokens int) string {
	return strings.ToUpper(Answer(version, messages, maxTokens))
}

// IsPoor reports whether text is (part of) a poor answer.
func IsPoor(text string) bool { return strings.ToLower(text) != text }

// Difficulty returns the difficulty of messages in [0, 1). A version of quality
// q answers well when q is higher than the difficulty, so that a better version
// answers everything well that a worse one does.
func Difficulty(messages []api.ChatMessage) float64 {
	return unit(mix(seedOf("difficulty", messages)))
}

// Fingerprint returns the prefix fingerprint of a prompt: the xxHash64 of role
// NUL content NUL of its first message, in 16 hex digits.
func Fingerprint(messages []api.ChatMessage) string {
	if len(messages) == 0 {
		return ""
	}
	sum := xxhash.Sum64String(messages[0].Role + "\x00" + messages[0].Content + "\x00")
	hex := strconv.FormatUint(sum, 16)
	return strings.Repeat("0", 16-len(hex)) + hex
}

// Digest returns the digest of a prompt that the ledger records.
func Digest(messages []api.ChatMessage) string {
	return strconv.FormatUint(seedOf("", messages), 16)
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

func seedOf(version string, messages []api.ChatMessage) uint64 {
	digest := xxhash.New()
	// Writes to the digest cannot fail.
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
	return min(shortestAnswer+int(mix(seed)%answerSpread), maxTokens)
}

func finishReason(seed uint64, maxTokens int) string {
	if answerLength(seed, maxTokens) < answerLength(seed, shortestAnswer+answerSpread) {
		return "length"
	}
	return "stop"
}

func tokenText(seed uint64, index int, poor bool) string {
	h := mix(seed + uint64(index)*0x9e3779b97f4a7c15)
	text := syllables[h&15] + syllables[h>>4&15] + syllables[h>>8&15] + " "
	if poor {
		return strings.ToUpper(text)
	}
	return text
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }
