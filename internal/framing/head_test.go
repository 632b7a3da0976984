package framing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a head that is counted beyond its blank line, or not to its end, when it arrives
// in pieces.
func TestHeadCounterEndsAtBlankLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		fields := rapid.SliceOfN(rapid.StringMatching(`[A-Za-z][a-z-]{0,8}: ?[a-z]{0,9}`), 0, MaxHeadLines-2).Draw(t, "fields")
		head := "HTTP/1.1 200 OK" + end + strings.Join(append(fields, ""), end) + end
		raw := head + strings.Repeat("body\n", MaxHeadBytes)
		var c HeadCounter
		c.Begin()
		for len(raw) > 0 {
			n := min(rapid.IntRange(1, 4096).Draw(t, "read"), len(raw))
			if err := c.Add([]byte(raw[:n])); err != nil {
				t.Fatalf("head of %d bytes is refused: %v", len(head), err)
			}
			raw = raw[n:]
			if !c.inHead {
				break
			}
		}
		if c.bytes != len(head) {
			t.Fatalf("counted %d bytes of a head of %d", c.bytes, len(head))
		}
	})
}

// Guards against a head without end that is read on.
func TestHeadCounterRefusesHeadWithoutEnd(t *testing.T) {
	for name, piece := range map[string]string{"line": "aaaaaaaa", "fields": "a: b\r\n", "long fields": "a: " + strings.Repeat("b", 1000) + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			var c HeadCounter
			c.Begin()
			read := 0
			for c.Add([]byte(piece)) == nil {
				read += len(piece)
				assert.Assert(t, read <= MaxHeadBytes)
			}
		})
	}
}
