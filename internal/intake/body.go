package intake

// body follows the body of a request, so that bytes behind it are known to belong to the next one.
type body struct {
	// left is the number of bytes until the end of the body, or of the present chunk if it isChunked.
	left      int64
	isChunked bool
	state     chunkState
	lineBytes int // bytes of the present line of a chunk size or trailer, without its end
	isSizeEnd bool
	isDone    bool
}

// chunkState is what comes next in a body in chunks.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	trailer
)

// maxChunkBytes ends a size that grows beyond any chunk, which net/http refuses.
const maxChunkBytes = 1 << 60

func bodyOf(h *head) body {
	b := body{isChunked: h.isChunked, left: max(h.length, 0)}
	if h.isChunked {
		b.left = 0
	}
	b.isDone = !h.isChunked && b.left == 0
	return b
}

// advance returns how many of the bytes belong to the body. What net/http refuses as malformed may be taken for
// anything: it reads no further request from that connection.
func (b *body) advance(p []byte) int {
	n := 0
	for n < len(p) && !b.isDone {
		if !b.isChunked || b.state == chunkData {
			taken := min(b.left, int64(len(p)-n))
			n += int(taken)
			if b.left -= taken; b.left == 0 {
				b.isDone, b.state, b.left = !b.isChunked, chunkEnd, 2
			}
			continue
		}
		b.chunkByte(p[n])
		n++
	}
	return n
}

// chunkByte takes a byte that is not data.
func (b *body) chunkByte(c byte) {
	switch {
	case b.state == chunkEnd: // a carriage return and a line feed
		if b.left--; b.left == 0 {
			b.startLine(chunkSize)
		}
	case c == '\n' && b.state == chunkSize:
		if b.left > 0 {
			b.state = chunkData
		} else {
			b.startLine(trailer)
		}
	case c == '\n' && b.lineBytes == 0:
		b.isDone = true
	case c == '\n':
		b.startLine(trailer)
	case b.state == chunkSize:
		b.sizeByte(c)
	case c != '\r':
		b.lineBytes++
	}
}

func (b *body) startLine(s chunkState) { b.state, b.left, b.lineBytes, b.isSizeEnd = s, 0, 0, false }

// sizeByte takes a byte of the line with the size of a chunk, which an extension may follow.
func (b *body) sizeByte(c byte) {
	digit := int64(-1)
	switch {
	case '0' <= c && c <= '9':
		digit = int64(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		digit = int64(c|0x20-'a') + 10
	}
	if digit < 0 {
		b.isSizeEnd = true
	}
	if !b.isSizeEnd && b.left < maxChunkBytes/16 {
		b.left = 16*b.left + digit
	}
}
