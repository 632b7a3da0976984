package framing

import (
	"mime"
	"net/http"
	"strings"
)

// StreamHead is what the head of an answer must have in common with that of a stream which it continues.
type StreamHead struct {
	Status    int
	MediaType string // without parameters, "" if none is stated
}

// StreamHeadOf returns the StreamHead of a response.
func StreamHeadOf(resp *http.Response) StreamHead {
	value := resp.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	if err != nil {
		name, _, _ := strings.Cut(value, ";")
		mediaType = strings.ToLower(strings.TrimSpace(name))
	}
	return StreamHead{resp.StatusCode, mediaType}
}

// ContinuedBy reports whether a response goes on where a stream with this head broke off. A worker may
// answer a resumption with a failure, a page or nothing at all, which is neither a part nor the end of the
// stream. Where workers state no type, an empty answer cannot be told from that of a worker that has sent
// all events before.
func (h StreamHead) ContinuedBy(resp *http.Response) bool { return StreamHeadOf(resp) == h }
