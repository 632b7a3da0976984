package main

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/borageflow/borageflow/platform"
)

// crowdForm is what each client of a crowd sends on its connections.
type crowdForm struct {
	name string
	// onHealth directs the crowd to the port of the health checks.
	onHealth bool
	// onRelay directs it to the port for other instances.
	onRelay bool
	// head is sent once. block is sent next, until bytes of it are sent, or without end if bytes is 0.
	head, block string
	bytes       int
	// tail is sent last. Then the client waits, reading nothing, until its connection is closed.
	tail string
	// resets lets the client reset its connection instead of waiting.
	resets bool
}

// shortFields returns different header fields of five bytes each, n bytes in all.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-_!#$%&'*+.^`|~"
	var out strings.Builder
	for i := 0; out.Len()+5 <= n; i++ {
		out.WriteString(string([]byte{letters[i%len(letters)], letters[i/len(letters)%len(letters)], letters[i/len(letters)/len(letters)%len(letters)]}) + ":\n")
	}
	return out.String()
}

const (
	// crowdHeaderBytes and crowdBodyBytes are the limits of the configuration that the crowd meets.
	crowdHeaderBytes = 16 << 10
	crowdBodyBytes   = 4 << 20
	// insideBytes of header fields are inside the limits.
	insideBytes = 15 << 10
)

// relayHello opens a link to a relay.
const relayHello = `{"jsonrpc":"2.0","id":0,"method":"hello","params":{"member":{"instance":"crowd","incarnation":1,"failureDomain":"a","address":"","state":"ready"}}}`

// relayMessage returns a message behind its length.
func relayMessage(text string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))) + text
}

// crowdHeads are the beginnings of the heads of a crowd.
type crowdHeads struct {
	// path is that of a request that would be served, and longPath one of 12 KiB.
	path, longPath string
	// key is a known one, and deadline a header field with the time of 30 s.
	key, deadline string
}

// gatewayHeads are those for a gateway.
var gatewayHeads = crowdHeads{
	path: unsafePath + "a", longPath: unsafePath + strings.Repeat("a", 12<<10), key: "key-permanent",
	deadline: platform.Headers.DeadlineMs + ": 30000\r\n",
}

// crowdForms returns the forms that are played one at a time.
func crowdForms(heads crowdHeads) []crowdForm {
	line := "POST " + heads.path + " HTTP/1.1\r\nHost: " + hostname + "\r\n"
	known := line + "Authorization: Bearer " + heads.key + "\r\n" + heads.deadline
	unknown := line + "Authorization: Bearer nobody\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	short, inside, far := shortFields(4<<10), shortFields(insideBytes), shortFields(64<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4<<10, strings.Repeat("x", 4<<10))
	whole := known + "Content-Length: 4\r\n\r\nbody"
	long := strings.Repeat("x", 4<<10)
	ready := "GET /readyz HTTP/1.1\r\nHost: x\r\n"
	return []crowdForm{
		{name: "short fields without end", head: known, block: short},
		{name: "short fields far over the limit", head: known, block: far, bytes: len(far)},
		{name: "short fields inside the limit and no body", head: known + inside + "Content-Length: 10\r\n\r\n"},
		{name: "short fields inside the limit and no end of the head", head: known + inside},
		{name: "one field name without end", head: line, block: long},
		{name: "one field value without end", head: line + "a:", block: long},
		{name: "folded lines without end", head: line + "a: b\r\n", block: strings.Repeat(" c\r\n", 1<<10)},
		{name: "method without end", block: long},
		{name: "request line without end", head: "GET /", block: long},
		{name: "body in chunks without end", head: known + chunked, block: chunk},
		{name: "body in chunks without end, unknown key", head: unknown + chunked, block: chunk},
		{name: "length far over the limit", head: known + "Content-Length: 99999999999\r\n\r\n", block: long},
		{name: "longest body without its last byte", head: known + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes), block: long[1:] + "y", bytes: crowdBodyBytes - len(long), tail: long[1:]},
		{name: "chunks of one byte with extensions", head: known + chunked, block: strings.Repeat("1;"+strings.Repeat("e", 60)+"\r\nx\r\n", 50)},
		{name: "one chunk extension without end", head: known + chunked + "1;", block: long},
		{name: "trailers without end", head: known + chunked + "0\r\n", block: short},
		{name: "empty lines before the first request", block: strings.Repeat("\r\n", 2<<10)},
		{name: "empty lines after the first request", head: whole, block: strings.Repeat("\r\n", 2<<10)},
		{name: "requests in a row whose answers are not read", block: strings.Repeat(whole, 20)},
		{name: "another protocol", block: strings.Repeat("\x16\x03\x01\x02\x00\x01", 700)},
		{name: "silence"},
		{name: "100-continue that is never followed", head: known + "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n"},
		{name: "long paths and ids", head: "POST " + heads.longPath + " HTTP/1.1\r\nHost: " + hostname + "\r\n" +
			platform.Headers.RequestID + ": " + strings.Repeat("i", 12<<10) + "\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "resets inside the head", head: known + inside, resets: true},
		{name: "resets inside the body", head: known + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes), block: long, bytes: crowdBodyBytes / 2, resets: true},
		{name: "health port: one field without end", onHealth: true, head: ready + "a:", block: long},
		{name: "health port: short fields far over the limit", onHealth: true, head: ready, block: far, bytes: len(far)},
		{name: "health port: short fields and no end of the head", onHealth: true, head: ready + inside},
		{name: "health port: silence", onHealth: true},
		{name: "relay port: first message without its end", onRelay: true, head: "\x00\x80\x00\x00{", block: long, bytes: 7 << 20},
		{name: "relay port: messages without their end", onRelay: true, head: relayMessage(relayHello) + "\x00\x80\x00\x00{", block: long, bytes: 7 << 20},
		{name: "relay port: calls whose answers are not read", onRelay: true, head: relayMessage(relayHello), block: strings.Repeat(relayMessage(`{"jsonrpc":"2.0","id":1,"method":"news","params":{}}`), 50)},
		{name: "relay port: watches without end", onRelay: true, head: relayMessage(relayHello), block: strings.Repeat(relayMessage(`{"jsonrpc":"2.0","id":1,"method":"news","params":{"topic":"workers","revision":1000000,"waitMs":100000000}}`), 50)},
		{name: "relay port: silence", onRelay: true},
	}
}
