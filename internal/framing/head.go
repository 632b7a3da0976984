package framing

import (
	"bytes"

	"github.com/rotisserie/eris"
)

const (
	// MaxHeadBytes bounds the status line and the header of one response. Four hundred heads of this
	// size take 6.6 MB.
	MaxHeadBytes = 16 << 10
	// MaxHeadLines bounds their lines, each of which takes an entry of a map.
	MaxHeadLines = 128
)

// Errors of a head beyond a bound.
var (
	ErrHeadTooLarge  = eris.Errorf("head of the response is larger than %d bytes", MaxHeadBytes)
	ErrTooManyFields = eris.Errorf("head of the response has more than %d lines", MaxHeadLines)
)

// HeadCounter follows the bytes of a response up to the blank line that ends its head. The zero
// value is at the end of a head and accepts everything.
type HeadCounter struct {
	inHead       bool
	bytes, lines int
	// inLine reports whether the current line has a character.
	inLine bool
}

// Begin starts the head of a response.
func (c *HeadCounter) Begin() { *c = HeadCounter{inHead: true} }

// Add counts the next bytes. It returns an error once the head is beyond a bound.
func (c *HeadCounter) Add(p []byte) error {
	for c.inHead && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end+1]
		}
		c.bytes += len(line)
		c.inLine = c.inLine || len(bytes.TrimRight(line, "\r\n")) > 0
		p = p[len(line):]
		if end >= 0 {
			c.lines++
			c.inHead, c.inLine = c.inLine, false
		}
		switch {
		case c.bytes > MaxHeadBytes:
			return ErrHeadTooLarge
		case c.lines > MaxHeadLines:
			return ErrTooManyFields
		}
	}
	return nil
}
