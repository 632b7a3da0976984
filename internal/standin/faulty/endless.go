package faulty

import (
	"net"
	"strings"
)

// Endless is an answer that goes on without end: a start, and a piece that is repeated until the caller closes.
type Endless struct {
	Name, Start, Piece string
}

// endlessBlockBytes is about what is written at a time.
const endlessBlockBytes = 4 << 10

// EndlessAnswers returns an answer without end for each part of an answer that may have none. In each Start, {id} and
// {other} stand for header lines that name the request and another one, and {refused} for one that says that the
// request has not run.
func EndlessAnswers() []Endless {
	const (
		ok      = "HTTP/1.1 200 OK\r\n{id}"
		stream  = ok + "Content-Type: text/event-stream\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		length  = "Content-Length: 1000000000000\r\n\r\n"
	)
	line := strings.Repeat("y", 100)
	chunk := "1000\r\n" + strings.Repeat("z", 0x1000) + "\r\n"
	return []Endless{
		{"bare bytes", "", "\x00\xff garbage"},
		{"bare lines", "", "garbage\r\n\r\n"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"head lines", ok, "X-Field: " + line + "\r\n"},
		{"one head line", ok + "X-Field: ", "y"},
		{"informational", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"informational with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: " + line + "\r\n\r\n"},
		{"informational head", "HTTP/1.1 103 Early Hints\r\n", "Link: " + line + "\r\n"},
		{"answers of others", "", "HTTP/1.1 200 OK\r\n{other}Content-Length: 4\r\n\r\nbody"},
		{"body of another", "HTTP/1.1 200 OK\r\n{other}" + length, line},
		{"chunk extension", ok + chunked + "5;x=", "y"},
		{"zeros of a chunk size", ok + chunked, "0"},
		{"trailers", ok + chunked + "5\r\nhello\r\n0\r\n", "X-Field: " + line + "\r\n"},
		{"one trailer", ok + chunked + "5\r\nhello\r\n0\r\nX-Field: ", "y"},
		{"body with a length", ok + length, line},
		{"body in chunks", ok + chunked, chunk},
		{"body of a byte a chunk", ok + chunked, "1\r\nz\r\n"},
		{"body up to the end", ok + "\r\n", line},
		{"one event", stream + "\r\n", "y"},
		{"one event in chunks", stream + chunked, chunk},
		{"lines of one event", stream + "\r\nid: 1\n", "data: " + line + "\n"},
		{"comments", stream + "\r\n", ": " + line + "\n"},
		{"one comment", stream + "\r\n: ", "y"},
		{"events", stream + "\r\n", "data: " + line + "\n\n"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\n{id}{refused}" + length, line},
		{"refusal in chunks", "HTTP/1.1 503 Service Unavailable\r\n{id}{refused}" + chunked, chunk},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\n{id}{refused}" + chunked, chunk},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n{id}" + chunked, chunk},
		{"failure with a length", "HTTP/1.1 500 Internal Server Error\r\n{id}" + length, line},
		{"behind an answer", ok + "Content-Length: 5\r\n\r\nhello", "garbage\r\n"},
	}
}

// Play writes the answer until the caller closes. replace puts the header lines in the place of their names. It returns
// the number of bytes written.
func (e Endless) Play(c net.Conn, replace *strings.Replacer) int64 {
	n, err := c.Write([]byte(replace.Replace(e.Start)))
	sent := int64(n)
	piece := replace.Replace(e.Piece)
	block := []byte(strings.Repeat(piece, 1+endlessBlockBytes/len(piece)))
	for err == nil {
		n, err = c.Write(block)
		sent += int64(n)
	}
	return sent
}
