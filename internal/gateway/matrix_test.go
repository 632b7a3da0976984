package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/standin/faulty"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// Roles are the place of the faulty answer among the attempts of a request.
const (
	firstRole        = "first"
	secondRole       = "second"       // after a worker that refused the request
	continuationRole = "continuation" // after a stream that broke off behind its first event
	largerRole       = "larger"       // of a larger model, while a small one's answer is kept
	heldRole         = "held"         // kept for a larger model, whose first attempt fails
)

// matrixCase is one request with one faulty answer.
type matrixCase struct {
	script faulty.Script
	route  string
	role   string
}

func (c matrixCase) String() string { return c.route + "/" + c.role + "/" + c.script.String() }

// matrixPieces is the number of pieces of the faulty answer.
const matrixPieces = 3

func matrixCases() []matrixCase {
	var out []matrixCase
	for _, s := range append(faulty.Scripts(matrixPieces, 0, 5*time.Millisecond), faulty.ExitScripts(matrixPieces, 0, 5*time.Millisecond)...) {
		for route, roles := range map[string][]string{
			"safe": {firstRole, secondRole}, "unsafe": {firstRole, secondRole}, "once": {firstRole, secondRole},
			"stream": {firstRole, secondRole, continuationRole, largerRole, heldRole},
		} {
			for _, role := range roles {
				if role == heldRole && s.End == faulty.Exit {
					continue // a later run may be at the same worker, and end with it
				}
				out = append(out, matrixCase{s, route, role})
			}
		}
	}
	return out
}

func (c matrixCase) isStream() bool { return c.route == "stream" || c.route == "once" }
func (c matrixCase) mayRepeat() bool {
	return (c.route == "stream" || c.route == "safe") && !c.isAwaited()
}

// isAwaited reports whether the worker of a stream falls silent for good where no kept answer can take its place.
// Nothing shows that it has ended, so that the stream must not go on at another worker.
func (c matrixCase) isAwaited() bool {
	if c.route != "stream" || c.script.End != faulty.Silence || c.role == largerRole && c.script.Pieces == 0 {
		return false
	}
	switch c.script.Place {
	case faulty.BeforeHead, faulty.InsideHead:
		return true
	case faulty.AfterHead, faulty.AfterPiece, faulty.InsidePiece, faulty.InsideChunkSize, faulty.InsideLastChunk, faulty.InsideTrailer:
		return c.role != heldRole // an answer that is kept has begun
	case faulty.Whole:
		return c.role != heldRole && c.script.Framing == faulty.ByConnection
	}
	return false
}

// awaitedRuns is the number of runs of a case that is awaited: that of the silent worker and those before.
func (c matrixCase) awaitedRuns() int64 {
	if c.role == continuationRole || c.role == largerRole {
		return 2
	}
	return 1
}

func (c matrixCase) isEscalated() bool { return c.role == largerRole || c.role == heldRole }

// piece returns a part of the answer of a worker that runs a model.
func (c matrixCase) piece(worker, model string, n int) string {
	if c.isStream() {
		return fmt.Sprintf("id: %d\ndata: %s answer\n\n", n, model)
	}
	return fmt.Sprintf("%s says %d;", worker, n)
}

func (c matrixCase) pieces(worker, model string, from int) []string {
	last := matrixPieces
	if c.role == continuationRole {
		last++
	}
	var out []string
	for n := from; n <= last; n++ {
		out = append(out, c.piece(worker, model, n))
	}
	return out
}

// matrixRun is a case while it is played.
type matrixRun struct {
	matrixCase
	mu       sync.Mutex
	attempts int
	larger   int
	small    int
	runs     atomic.Int64
	// taken is set if an answer without end was read on.
	taken atomic.Bool
}

func matrixHead(w *faulty.Worker, id string, confidence int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nX-Signature: %s\r\n%s: %d\r\n", DefaultHeaderNames.RequestID, id, w.ID, DefaultHeaderNames.Confidence, confidence)
}

// serve answers the attempts of the case in their order.
func (m *matrixRun) serve(w *faulty.Worker, c net.Conn, r *http.Request, wait func()) bool {
	names := DefaultHeaderNames
	id, model := r.Header.Get(names.RequestID), r.Header.Get(names.Model)
	whole := faulty.Script{Framing: faulty.ByChunks, Place: faulty.Whole, End: faulty.Silence}
	if strings.HasSuffix(r.URL.Path, "/followup") {
		whole.Pieces = 1
		return whole.Play(c, faulty.Answer{Head: matrixHead(w, id, 90), Pieces: []string{id}}, wait)
	}
	from := 1
	if last := r.Header.Get(names.LastEventID); last != "" {
		_, _ = fmt.Sscan(last, &from)
		from++
	}
	other := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\nX-Signature: other\r\nContent-Length: 5\r\n\r\nother", names.RequestID)
	answer := faulty.Answer{Head: matrixHead(w, id, 90), Pieces: m.pieces(w.ID, model, from), Other: other, Taken: func() { m.taken.Store(true) }, Exit: w.Close}
	if !m.isStream() && m.script.Place == faulty.EndlessPiece {
		answer.EndlessPause = time.Millisecond // such a body is passed on, at the cost of its reader
	}
	script, refuse := m.next(model)
	if refuse {
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.NotRun)
		return true
	}
	m.runs.Add(1)
	if model == "small" && m.isEscalated() {
		answer.Head = matrixHead(w, id, 10)
	}
	if script == nil {
		whole.Pieces = len(answer.Pieces)
		script = &whole
	}
	return script.Play(c, answer, wait)
}

// next returns the script of the next attempt, nil for a whole answer, and whether the attempt is
// refused.
func (m *matrixRun) next(model string) (*faulty.Script, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts++
	if model == "small" {
		m.small++
	} else {
		m.larger++
	}
	switch {
	case m.role == firstRole && m.attempts == 1, m.role == secondRole && m.attempts == 2, m.role == continuationRole && m.attempts == 2,
		m.role == largerRole && model != "small" && m.larger == 1, m.role == heldRole && model == "small" && m.small == 1:
		return &m.script, false
	case m.role == secondRole && m.attempts == 1:
		return nil, true
	case m.role == continuationRole && m.attempts == 1:
		return &faulty.Script{Framing: faulty.ByChunks, Place: faulty.InsidePiece, End: faulty.FIN, Pieces: 1}, false
	case m.role == heldRole && model != "small" && m.larger == 1:
		return &faulty.Script{Framing: faulty.ByLength, Place: faulty.BeforeHead, End: faulty.FIN, Pause: 20 * time.Millisecond}, false
	}
	return nil, false
}

// expectation is what the protocol allows a caller to receive.
type expectation struct {
	// mustSucceed is set if the caller must receive a whole answer, and mayNotSucceed if it must
	// not. bodies are the whole answers that it may receive, by the worker that signed them.
	mustSucceed, mayNotSucceed bool
	bodies                     func(worker string) []string
	// anyBody accepts every body.
	anyBody bool
}

// leavesBytes reports whether a connection stays open with bytes behind a whole answer.
func (c matrixCase) leavesBytes() bool {
	return (c.script.Place == faulty.ExtraBytes || c.script.Place == faulty.ExtraAnswer) && c.script.End == faulty.Silence
}

// sentPieces is the body of the faulty answer up to the place where it ends.
func (c matrixCase) sentPieces(worker, model string, from int) string {
	pieces := c.pieces(worker, model, from)
	out := strings.Join(pieces[:c.script.Pieces], "")
	if c.script.Place == faulty.InsidePiece || c.script.Place == faulty.FramedInsidePiece {
		next := pieces[c.script.Pieces]
		out += next[:len(next)/2+1]
	}
	return out
}

// scriptEnds reports whether the faulty answer is whole as far as the protocol can tell.
func (c matrixCase) scriptEnds() bool {
	s := c.script
	endsInOrder := s.Framing != faulty.ByConnection || s.End == faulty.FIN
	switch s.Place {
	case faulty.Whole:
		return endsInOrder
	case faulty.ExtraBytes, faulty.ExtraAnswer:
		return true
	case faulty.AfterPiece:
		return s.Framing == faulty.ByConnection && s.End == faulty.FIN
	case faulty.AfterHead, faulty.InsidePiece:
		return !c.isStream() && s.Framing == faulty.ByConnection && s.End == faulty.FIN
	case faulty.FramedInsidePiece:
		return !c.isStream()
	case faulty.EndlessPiece:
		return !c.isStream() && s.Framing == faulty.ByConnection
	}
	return false
}

func (c matrixCase) expected() expectation {
	ends := c.scriptEnds()
	e := expectation{mustSucceed: ends || c.mayRepeat(), mayNotSucceed: !ends && !c.mayRepeat()}
	if c.script.Place == faulty.EndlessPiece && !c.isStream() {
		// A body of this size is sent as it arrives, so that it cannot be replaced.
		e.anyBody, e.mustSucceed, e.mayNotSucceed = true, false, !ends
	}
	models := []string{"m"}
	if c.isEscalated() {
		models = []string{"small", "medium", "large"}
	}
	e.bodies = func(worker string) []string {
		var out []string
		for _, model := range models {
			out = append(out, strings.Join(c.pieces(worker, model, 1), ""))
			if !ends {
				continue
			}
			if c.role == continuationRole {
				out = append(out, c.piece(worker, model, 1)+c.sentPieces(worker, model, 2))
			} else {
				out = append(out, c.sentPieces(worker, model, 1))
			}
		}
		return out
	}
	return e
}

// judge returns what is wrong with the response that a caller received.
func (m *matrixRun) judge(got callResult, took, deadline time.Duration) string {
	e := m.expected()
	signature := got.header.Get("X-Signature")
	complete := got.err == nil && got.status == http.StatusOK
	isWhole := e.anyBody
	for _, body := range e.bodies(signature) {
		isWhole = isWhole || got.body == body
	}
	isPart := e.anyBody
	for _, body := range e.bodies(signature) {
		isPart = isPart || strings.HasPrefix(body, got.body)
	}
	isBounded := m.script.Place == faulty.EndlessHead || m.script.Place == faulty.EndlessPiece && m.isStream()
	switch runs := m.runs.Load(); {
	case isBounded && m.taken.Load():
		return "answer without end was read on"
	case took > deadline+time.Second:
		return fmt.Sprintf("answered after %v", took)
	case m.isAwaited() && runs > m.awaitedRuns():
		return fmt.Sprintf("ran %d times, a silent worker was left", runs)
	case !m.isAwaited() && !m.mayRepeat() && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case runs > 3:
		return fmt.Sprintf("ran %d times of 3", runs)
	case complete && e.mayNotSucceed:
		return fmt.Sprintf("broken answer looks complete: %q", got.body)
	case complete && !isWhole:
		return fmt.Sprintf("complete answer differs: %q, signed %q", got.body, signature)
	case !complete && e.mustSucceed:
		return fmt.Sprintf("no whole answer: status %d, error %v, %q", got.status, got.err, got.body)
	case got.status != http.StatusOK && signature != "":
		return fmt.Sprintf("status %d is signed by %s", got.status, signature)
	case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests:
		return fmt.Sprintf("status %d states that the request has not run", got.status)
	case got.status == http.StatusOK && !isPart:
		return fmt.Sprintf("broken answer holds other bytes: %q", got.body)
	case got.status == http.StatusOK && m.isStream() && !e.anyBody && got.body != "" && !strings.HasSuffix(got.body, "\n\n"):
		return fmt.Sprintf("a part of an event was sent: %q", got.body)
	}
	return ""
}

// playMatrixCase plays a case on a gateway and workers of its own. It returns what is wrong, with the
// log of the gateway.
func playMatrixCase(t *testing.T, c matrixCase) string {
	m := &matrixRun{matrixCase: c}
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	var workers []*faulty.Worker
	host := ownHost()
	for n := range 3 {
		w, err := faulty.Start(fmt.Sprintf("w%d", n), host+":0", m.serve)
		if err != nil {
			return err.Error()
		}
		defer w.Close()
		workers = append(workers, w)
		store.PutWorker(forward.Worker{ID: w.ID, Service: "svc", Address: w.Address(), FailureDomain: "a", Version: "v1", Slots: 8})
	}
	out := &lockedBuffer{}
	s := testSettings(t)
	s.CallerAddress, s.HealthAddress = host+":81", host+":82"
	s.MaxRevokeDelay = time.Minute // the age of the keys is not played here
	log, lines, err := newLogger(s, out)
	if err != nil {
		return err.Error()
	}
	g := newGateway(s, Dependencies{Store: store, Headers: DefaultHeaderNames, LogOutput: out}, log, lines)
	if err := g.start(context.Background()); err != nil {
		return err.Error()
	}
	defer func() {
		g.stopBackground()
		_ = g.callerServer.Close()
		_ = g.healthServer.Close()
	}()
	for started := time.Now(); ; time.Sleep(time.Millisecond) {
		g.dispatcher.mu.Lock()
		known := len(g.dispatcher.usableWorkers) == len(workers)
		g.dispatcher.mu.Unlock()
		if ready, _ := g.dispatcher.isReady(sinceBoot()); ready && known {
			break
		}
		if time.Since(started) > 10*time.Second {
			return "gateway is not ready: " + out.String()
		}
	}
	gw := &gatewayHarness{t: t, store: store, gateway: g, log: out, url: "http://" + s.CallerAddress}
	deadline := 20 * time.Second
	if !c.mayRepeat() {
		deadline = 600 * time.Millisecond // a silent worker is awaited until then
	}
	model := "m"
	if c.isEscalated() {
		model = "auto"
	}
	started := time.Now()
	got := gw.call("POST", "/"+c.route+"/x", "prompt", DefaultHeaderNames.Model, model, DefaultHeaderNames.DeadlineMs, fmt.Sprint(deadline.Milliseconds()))
	if problem := m.judge(got, time.Since(started), deadline); problem != "" {
		return problem + "\n" + out.String()
	}
	route := "safe"
	if c.leavesBytes() {
		// Unsafe requests are not repeated, so that one that meets the bytes fails.
		route = "unsafe"
		time.Sleep(30 * time.Millisecond)
	}
	for range 3 {
		id := fmt.Sprintf("f-%d", time.Now().UnixNano())
		if got := gw.call("POST", "/"+route+"/followup", "x", DefaultHeaderNames.RequestID, id); got.err != nil || got.body != id {
			return fmt.Sprintf("next request got status %d, error %v, %q\n%s", got.status, got.err, got.body, out.String())
		}
	}
	return ""
}

// Guards against each way in which an answer that breaks off, is spoiled or never ends reaches a caller
// as complete, mixed, doubled or late. BORAGEFLOW_MATRIX_CASE plays one case again.
func TestFaultyAnswerMatrix(t *testing.T) {
	const parallel = 32
	cases := matrixCases()
	only := os.Getenv("BORAGEFLOW_MATRIX_CASE")
	queue := make(chan matrixCase)
	var players sync.WaitGroup
	var played atomic.Int64
	for range parallel {
		players.Go(func() {
			for c := range queue {
				if problem := playMatrixCase(t, c); problem != "" {
					t.Errorf("BORAGEFLOW_MATRIX_CASE=%s: %s", c, problem)
				}
				played.Add(1)
			}
		})
	}
	for _, c := range cases {
		if only == "" || only == c.String() {
			queue <- c
		}
	}
	close(queue)
	players.Wait()
	t.Logf("%d cases", played.Load())
	if played.Load() == 0 {
		t.Errorf("no case is named %q", only)
	}
}
