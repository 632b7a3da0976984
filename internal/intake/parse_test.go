package intake

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/errkind"
)

// drawChunks returns a body in chunks and its content.
func drawChunks(t *rapid.T) (wire, content string) {
	for range rapid.IntRange(0, 4).Draw(t, "chunks") {
		data := strings.Repeat("\r\n0\r\n\r\n", rapid.IntRange(1, 20).Draw(t, "data"))
		wire += fmt.Sprintf(rapid.SampledFrom([]string{"%x", "%X", "000%x"}).Draw(t, "size"), len(data))
		wire += rapid.SampledFrom([]string{"", ";ext=1", "; a=b"}).Draw(t, "extension") + "\r\n" + data + "\r\n"
		content += data
	}
	wire += "0\r\n" + rapid.SampledFrom([]string{"", "Trailer: x\r\n", "A: 1\r\nB: 2\r\n"}).Draw(t, "trailers") + "\r\n"
	return wire, content
}

// drawPieces splits a text.
func drawPieces(t *rapid.T, text string) []string {
	var out []string
	for len(text) > 0 {
		n := min(len(text), rapid.SampledFrom([]int{1, 2, 7, 100, 5000}).Draw(t, "piece"))
		out, text = append(out, text[:n]), text[n:]
	}
	return out
}

// Guards against an end of a body that is seen too early or too late, so that bytes of a body count as a head or a head
// passes uncounted.
func TestBodyEndsWhereItsChunksEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wire, _ := drawChunks(t)
		b := bodyOf(&head{isChunked: true, length: -1})
		own, rest := 0, 0
		for _, piece := range drawPieces(t, wire+"GET / HTTP/1.1\r\n\r\n") {
			n := b.advance([]byte(piece))
			own, rest = own+n, rest+len(piece)-n
		}
		assert.Assert(t, b.isDone)
		assert.Equal(t, own, len(wire))
	})
}

// Guards against a head whose size, fields or end depend on the pieces in which it arrives.
func TestHeadIsScannedInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := rapid.IntRange(0, 50).Draw(t, "fields")
		ending := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "ending")
		leading := strings.Repeat(ending, rapid.IntRange(0, 2).Draw(t, "leading"))
		text := leading + "POST /a HTTP/1.1" + ending + strings.Repeat("abc: d"+ending, fields) + "content-LENGTH: 12" + ending + ending
		var h head
		var raw []byte
		found := 0
		for _, piece := range drawPieces(t, text+"body of 12 b") {
			raw = append(raw, piece...)
			length, refusal := h.scan(raw, 10_000)
			assert.Assert(t, refusal == nil, "%v", refusal)
			if found = length; found > 0 {
				break
			}
		}
		assert.Equal(t, found, len(text))
		assert.Equal(t, h.fields, fields+1)
		assert.Equal(t, h.length, int64(12))
	})
}

// Guards against heads that net/http frames in another way than this package, so that a request is hidden from the
// bounds, and against heads without end.
func TestHeadsAreRefused(t *testing.T) {
	const line = "POST /a HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		text string
		want errkind.Kind
	}{
		"endless name":            {line + strings.Repeat("a", 10_000), errkind.HeaderTooLarge},
		"endless value":           {line + "a:" + strings.Repeat("b", 10_000), errkind.HeaderTooLarge},
		"endless fields":          {line + strings.Repeat("a:\n", 10_000), errkind.HeaderTooLarge},
		"endless folded field":    {line + "a: b\r\n" + strings.Repeat(" c\r\n", 10_000), errkind.HeaderTooLarge},
		"endless method":          {strings.Repeat("a", 10_000), errkind.HeaderTooLarge},
		"long request line":       {"GET /" + strings.Repeat("a", 10_000) + " HTTP/1.1\r\n\r\n", errkind.HeaderTooLarge},
		"empty lines":             {"\r\n\r\n\r\n", errkind.InvalidRequest},
		"two lengths":             {line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", errkind.InvalidRequest},
		"signed length":           {line + "Content-Length: +1\r\n\r\n", errkind.InvalidRequest},
		"no length":               {line + "Content-Length:\r\n\r\n", errkind.InvalidRequest},
		"folded length":           {line + "Content-Length:\r\n 5\r\n\r\n", errkind.InvalidRequest},
		"folded encoding":         {line + "Transfer-Encoding: chunked\r\n\t, x\r\n\r\n", errkind.InvalidRequest},
		"chunks before HTTP/1.1":  {"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", errkind.InvalidRequest},
		"length beyond a number":  {line + "Content-Length: 99999999999999999999\r\n\r\n", errkind.InvalidRequest},
		"lengths that are no one": {line + "Content-Length: 1, 1\r\n\r\n", errkind.InvalidRequest},
	} {
		var h head
		_, refusal := h.scan([]byte(c.text), 2000)
		assert.Assert(t, refusal != nil, name)
		assert.Equal(t, refusal.Kind, c.want, name)
	}
}
