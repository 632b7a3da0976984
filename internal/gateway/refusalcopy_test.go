package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusalCopier is the script of workers that refuse the first request on each connection and write that
// refusal once more to the same connection.
type refusalCopier struct {
	status                  int
	refusalNames, copyNames bool
	// behind is the number of requests on the connection before the one that meets the copy.
	behind int
	// pause is the time from that request to the copy. If it is negative, the copy follows the refusal, or the
	// answer before that request, after -pause.
	pause time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*copierConn
	// runs counts the runs of each request.
	runs map[string]int
}

type copierConn struct {
	requests int
	refused  string // the ID of the refused request
}

func (s *refusalCopier) refusal(id string, names bool) string {
	name := ""
	if names {
		name = fmt.Sprintf("%s: %s\r\n", DefaultHeaderNames.RequestID, id)
	}
	notRun := DefaultHeaderNames.NotRun + ": 1\r\n"
	if s.status == http.StatusMisdirectedRequest {
		notRun = ""
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: 5\r\n\r\nbusy\n", s.status, http.StatusText(s.status), name, notRun)
}

func (s *refusalCopier) script(_ int, c net.Conn, r receivedRequest) bool {
	id := r.request.Header.Get(DefaultHeaderNames.RequestID)
	s.mu.Lock()
	state := s.conns[c]
	if state == nil {
		state = &copierConn{refused: id}
		s.conns[c] = state
	}
	state.requests++
	n := state.requests
	if n > 1 {
		s.runs[id]++
	}
	s.mu.Unlock()
	second := s.refusal(state.refused, s.copyNames)
	late := func() {
		if s.pause < 0 && n == s.behind {
			time.Sleep(-s.pause)
			fmt.Fprint(c, second)
		}
	}
	if n == 1 {
		fmt.Fprint(c, s.refusal(id, s.refusalNames))
		late()
		return true
	}
	isStream := strings.HasPrefix(r.request.URL.Path, "/stream") || strings.HasPrefix(r.request.URL.Path, "/once")
	if s.pause >= 0 && n == s.behind+1 {
		time.Sleep(s.pause)
		fmt.Fprint(c, second)
	}
	time.Sleep(20 * time.Millisecond) // the request is at work
	if !isStream {
		writeResponse(c, r, 200, id)
		late()
		return true
	}
	writeStreamHeader(c, r)
	writeChunk(c, formatEvent(1))
	time.Sleep(5 * time.Millisecond)
	writeChunk(c, formatEvent(2))
	fmt.Fprint(c, "0\r\n\r\n")
	late()
	return true
}

// Guards against the copy of a refusal by which a request that runs is refused, or runs at a second worker.
func TestCopyOfRefusalRefusesNoOtherRequest(t *testing.T) {
	const ms = time.Millisecond
	for _, status := range []int{503, 429, 421} {
		for _, names := range []string{"both name", "none names", "the refusal names", "the copy names"} {
			for _, behind := range []int{1, 2, 3} {
				for _, pause := range []time.Duration{0, 2 * ms, 60 * ms, -ms, -60 * ms} {
					for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x", "/stream/x"} {
						for _, sameID := range []bool{false, true} {
							name := fmt.Sprintf("%d, %s, %d behind, %v, %s, same ID %v", status, names, behind, pause, path, sameID)
							t.Run(name, func(t *testing.T) {
								t.Parallel()
								s := &refusalCopier{
									status: status, behind: behind, pause: pause, conns: map[net.Conn]*copierConn{}, runs: map[string]int{},
									refusalNames: names == "both name" || names == "the refusal names", copyNames: names == "both name" || names == "the copy names",
								}
								s.play(t, path, sameID)
							})
						}
					}
				}
			}
		}
	}
}

// play sends requests one after another, with new IDs or all with the ID of the first one, and checks what their
// callers are told against the runs of the workers.
func (s *refusalCopier) play(t *testing.T, path string, sameID bool) {
	gw := startGateway(t, startWorker(t, "w1", s.script), startWorker(t, "w2", s.script))
	for n := range 8 {
		id := fmt.Sprint("r-", n)
		if sameID {
			id = "r"
		}
		s.mu.Lock()
		before := s.runs[id]
		s.mu.Unlock()
		resp := gw.call("POST", path, "q", DefaultHeaderNames.RequestID, id)
		time.Sleep(25 * time.Millisecond) // runs that the gateway has given up end
		s.mu.Lock()
		runs := s.runs[id] - before
		s.mu.Unlock()
		notRun := resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests
		assert.Assert(t, !notRun || runs == 0, "request %d: status %d says that it has not run, it ran %d times", n, resp.status, runs)
		if path == "/unsafe/x" || path == "/once/x" {
			assert.Assert(t, runs <= 1, "request %d: it may run once and ran %d times", n, runs)
		}
		if resp.status == http.StatusOK && resp.err == nil {
			want := id
			if path == "/once/x" || path == "/stream/x" {
				want = formatEvent(1) + formatEvent(2)
			}
			assert.Equal(t, resp.body, want)
		}
		assert.Assert(t, !strings.Contains(resp.body, "HTTP/1.1"), resp.body)
	}
}

// Guards against the copy of a refusal that is taken for the answer of a larger model to the same request.
func TestCopyOfRefusalRefusesNoLargerModel(t *testing.T) {
	const largeAnswer = "id: 1\ndata: large\n\n"
	for n := range 12 { // the larger model may be asked at the other worker, where no copy is sent
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s := &refusalCopier{status: http.StatusServiceUnavailable, runs: map[string]int{}}
			var refusedOn net.Conn
			script := func(_ int, c net.Conn, r receivedRequest) bool {
				model, id := r.request.Header.Get(DefaultHeaderNames.Model), r.request.Header.Get(DefaultHeaderNames.RequestID)
				s.mu.Lock()
				isFirst := refusedOn == nil
				if isFirst {
					refusedOn = c
				}
				s.runs[model]++
				s.mu.Unlock()
				switch {
				case isFirst:
					fmt.Fprint(c, s.refusal(id, true))
				case model == "small":
					return writeBody(c, r, "length", smallAnswer, DefaultHeaderNames.Confidence+": 10")
				default:
					if c == refusedOn {
						fmt.Fprint(c, s.refusal(id, true))
						time.Sleep(10 * time.Millisecond)
					}
					return writeBody(c, r, "length", largeAnswer, DefaultHeaderNames.Confidence+": 90")
				}
				return true
			}
			gw := startEscalationGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
			resp := gw.call("POST", "/stream/x", "hard", DefaultHeaderNames.Model, "auto")
			assert.NilError(t, resp.err)
			assert.Equal(t, resp.body, largeAnswer)
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.Equal(t, s.runs["small"], 2)
			assert.Equal(t, s.runs["large"], 1, "the larger model ran twice")
		})
	}
}
