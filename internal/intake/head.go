package intake

import (
	"bytes"
	"math"
	"strconv"

	"github.com/borageflow/borageflow/internal/errkind"
)

const (
	// lineSlack is allowed beyond the limit of the configuration, both for the request line and for the fields: the
	// limit does not count the host field and white space.
	lineSlack = 4 << 10
	// maxLeadingEmptyBytes is the number of carriage returns and line feeds that net/http accepts before a request line.
	maxLeadingEmptyBytes = 4
)

// head scans the raw head of a request for its end, its size and the length of its body.
type head struct {
	// scanned is the number of bytes that were looked at, and lineStart the position of the line that they end in.
	scanned, lineStart int
	leading            int // bytes of empty lines before the request line
	requestLine        int // bytes of the request line, 0 until it has ended
	isHTTP11           bool
	fields             int // lines behind the request line

	length    int64 // of the body, -1 if none is stated
	isChunked bool
	isFolded  bool // the last field states a length, so that no line may continue it
}

// scan looks at the bytes that raw has gained. It returns the length of the head once it is whole, 0 before, and why
// it is refused, if it is. limit is the largest number of bytes of the fields, and of the request line.
func (h *head) scan(raw []byte, limit int) (length int, refusal *errkind.Error) {
	for h.scanned < len(raw) {
		end := bytes.IndexByte(raw[h.scanned:], '\n')
		if end < 0 {
			h.scanned = len(raw)
			break
		}
		h.scanned += end + 1
		line := bytes.TrimSuffix(raw[h.lineStart:h.scanned-1], []byte{'\r'})
		h.lineStart = h.scanned
		if len(line) == 0 && h.requestLine > 0 {
			return h.scanned, h.checkSize(limit)
		}
		if refusal := h.line(line); refusal != nil {
			return 0, refusal
		}
	}
	return 0, h.checkSize(limit)
}

// line takes a line that is not the end of the head.
func (h *head) line(line []byte) *errkind.Error {
	switch {
	case len(line) == 0:
		if h.leading = h.scanned; h.leading > maxLeadingEmptyBytes {
			return errkind.New(errkind.InvalidRequest, "empty lines before the request")
		}
		return nil
	case h.requestLine == 0:
		h.requestLine, h.length = h.scanned-h.leading, -1
		h.isHTTP11 = bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		return nil
	}
	h.fields++
	if line[0] == ' ' || line[0] == '\t' {
		if h.isFolded {
			return errkind.New(errkind.InvalidRequest, "length of the body is folded over lines")
		}
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	h.isFolded = true
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return h.contentLength(string(bytes.Trim(value, " \t")))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if !h.isHTTP11 {
			return errkind.New(errkind.InvalidRequest, "transfer encoding needs HTTP/1.1")
		}
		h.isChunked = true // net/http refuses any other encoding
	default:
		h.isFolded = false
	}
	return nil
}

func (h *head) contentLength(value string) *errkind.Error {
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil || h.length >= 0 && h.length != int64(min(n, math.MaxInt64)) {
		return errkind.New(errkind.InvalidRequest, "length of the body is not one number")
	}
	h.length = int64(min(n, math.MaxInt64))
	return nil
}

func (h *head) checkSize(limit int) *errkind.Error {
	size := h.scanned - h.leading - h.requestLine // the fields, or the request line while it has not ended
	if size <= limit+lineSlack && h.requestLine <= limit+lineSlack {
		return nil
	}
	return errkind.New(errkind.HeaderTooLarge, "request header is larger than "+strconv.Itoa(limit)+" bytes")
}
