package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// silenceCase is one request whose first worker falls silent once and goes on.
type silenceCase struct {
	route string
	// phase is where the worker falls silent.
	phase string
	pause time.Duration
	// others is what the other workers do: "none", "full", "free" or "silent" in the same way.
	others string
	// keepsOn is set if workers go on with a request whose connection has closed.
	keepsOn bool
}

func (c silenceCase) String() string {
	return fmt.Sprintf("%s/%s/%v/%s/keeps on %v", c.route, c.phase, c.pause, c.others, c.keepsOn)
}

func (c silenceCase) isStream() bool { return c.route == "stream" || c.route == "once" }

func silenceCases() []silenceCase {
	var out []silenceCase
	for _, others := range []string{"none", "full", "free", "silent"} {
		for _, pause := range []time.Duration{800 * time.Millisecond, 1200 * time.Millisecond, 1700 * time.Millisecond, 2300 * time.Millisecond} {
			for _, phase := range []string{"before header", "inside header", "inside body"} {
				out = append(out, silenceCase{"safe", phase, pause, others, false}, silenceCase{"unsafe", phase, pause, others, true})
			}
		}
		for _, pause := range []time.Duration{800 * time.Millisecond, 1700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
			for _, phase := range []string{"before header", "inside header", "before first event", "between events", "inside event"} {
				out = append(out, silenceCase{"stream", phase, pause, others, true}, silenceCase{"once", phase, pause, others, true})
			}
		}
	}
	return out
}

// silenceRun is a case while it is played.
type silenceRun struct {
	silenceCase
	mu       sync.Mutex
	arrivals int
	running  sync.WaitGroup
	runs     []silenceSpan
}

// silenceSpan is the time for which a worker worked on the request.
type silenceSpan struct {
	worker   string
	from, to time.Time
}

// serve answers the request in two parts, with a pause between them if the worker falls silent.
func (m *silenceRun) serve(worker string) func(int, net.Conn, receivedRequest) bool {
	return func(_ int, c net.Conn, r receivedRequest) bool {
		m.mu.Lock()
		m.arrivals++
		isFirst := m.arrivals == 1
		m.mu.Unlock()
		if !isFirst && m.others == "full" {
			writeResponse(c, r, http.StatusServiceUnavailable, "full", DefaultHeaderNames.NotRun+": 1")
			return true
		}
		m.running.Add(1)
		defer m.running.Done()
		span := silenceSpan{worker: worker, from: time.Now()}
		left := make(chan struct{})
		if !m.keepsOn {
			go func() {
				_, _ = c.Read(make([]byte, 1)) // returns when the gateway closes the connection
				close(left)
			}()
		}
		before, after := m.parts(r)
		_, _ = c.Write([]byte(before)) // the gateway may have closed the connection
		if isFirst || m.others == "silent" {
			select {
			case <-time.After(m.pause):
			case <-left:
			}
		}
		_, _ = c.Write([]byte(after))
		span.to = time.Now()
		m.mu.Lock()
		m.runs = append(m.runs, span)
		m.mu.Unlock()
		return false
	}
}

// whole is the body that the caller must get.
func (c silenceCase) whole() string {
	if c.isStream() {
		return formatEvent(1) + formatEvent(2) + formatEvent(3)
	}
	return "the whole answer"
}

// parts returns the answer before and after the place where the worker falls silent.
func (c silenceCase) parts(r receivedRequest) (before, after string) {
	body := c.whole()
	kind := "text/plain"
	if c.isStream() {
		kind = "text/event-stream"
		if last := r.request.Header.Get(DefaultHeaderNames.LastEventID); last != "" {
			body = body[strings.Index(body, "id: "+last)+len(formatEvent(1)):]
		}
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nX-Signature: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		DefaultHeaderNames.RequestID, r.request.Header.Get(DefaultHeaderNames.RequestID), r.request.Header.Get(DefaultHeaderNames.ExpectWorker), kind, len(body))
	raw := head + body
	at := map[string]int{
		"before header": 0, "inside header": len(head) / 2, "before first event": len(head), "inside body": len(head) + len(body)/2,
		"between events": len(head) + len(formatEvent(1)), "inside event": len(head) + len(formatEvent(1)) + 4,
	}[c.phase]
	at = min(at, len(raw)) // a continuation is shorter
	return raw[:at], raw[at:]
}

// maxSharedTime is how long two workers may work on one request.
const maxSharedTime = 400 * time.Millisecond

// judge returns what is wrong with the answer and with the runs.
func (m *silenceRun) judge(got callResult) string {
	if got.err != nil || got.status != http.StatusOK || got.body != m.whole() {
		return fmt.Sprintf("status %d, error %v, body %q", got.status, got.err, got.body)
	}
	m.running.Wait() // a worker may work on after the answer
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, a := range m.runs {
		for _, b := range m.runs[i+1:] {
			shared := earlier(a.to, b.to).Sub(latest(a.from, b.from))
			if shared > maxSharedTime || m.route != "safe" {
				return fmt.Sprintf("%s and %s worked on it together for %v", a.worker, b.worker, shared)
			}
		}
	}
	return ""
}

// playSilenceCase plays a case on a gateway and workers of its own. It returns what is wrong.
func playSilenceCase(t *testing.T, c silenceCase) string {
	m := &silenceRun{silenceCase: c}
	names := []string{"w1", "w2", "w3"}
	if c.others == "none" {
		names = names[:1]
	}
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	for _, name := range names {
		store.PutWorker(startWorker(t, name, m.serve(name)).worker())
	}
	gw := startGatewayWith(t, testSettings(t), store)
	gw.waitFor("workers are known", func() bool {
		gw.gateway.dispatcher.mu.Lock()
		defer gw.gateway.dispatcher.mu.Unlock()
		return len(gw.gateway.dispatcher.usableWorkers) == len(names)
	})
	headers := []string{DefaultHeaderNames.DeadlineMs, "9500"}
	if problem := m.judge(gw.call("POST", "/"+c.route+"/x", "prompt", headers...)); problem != "" {
		return problem + "\n" + gw.log.String()
	}
	return ""
}

// Guards against the silence of a sound worker that ends an answer, and against a request that goes on at two
// workers at a time.
func TestSilentWorkerEndsNoAnswer(t *testing.T) {
	const parallel = 32
	queue := make(chan silenceCase)
	var players sync.WaitGroup
	for range parallel {
		players.Go(func() {
			for c := range queue {
				if problem := playSilenceCase(t, c); problem != "" {
					t.Errorf("%s: %s", c, problem)
				}
			}
		})
	}
	cases := silenceCases()
	for _, c := range cases {
		queue <- c
	}
	close(queue)
	players.Wait()
	t.Logf("%d cases", len(cases))
}
