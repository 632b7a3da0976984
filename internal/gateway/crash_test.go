package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/quarantine"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// fatalPart is the part of a prompt that ends the workers of a crashFleet.
const fatalPart = "dead"

// crashFleet is a service whose workers end on fatalPart and are started again under new IDs.
type crashFleet struct {
	t     *testing.T
	store *forwarding.Store
	// restartDelay is the time from the end of a worker to its next start.
	restartDelay time.Duration
	slots        int
	answerTime   time.Duration
	// endDelay is the time from the break of the answer to a fatal plain request to the end of the worker.
	endDelay time.Duration
	// isFatal reports whether requests that are fatal end workers now; nil if they always do.
	isFatal func() bool
	// fails reports whether the next plain request is answered with 500; nil if none is.
	fails func() bool
	// configure changes the settings of each worker before it starts; nil for none.
	configure func(*forwarding.WorkerConfig)
	// keepsID is set if workers are started again under the ID that they had.
	keepsID bool

	mu      sync.Mutex
	started int
	// all holds all workers, also those that have ended.
	all []*forwarding.Worker
	// ends holds when workers ended under fatal requests.
	ends    []time.Time
	running map[string]*forwarding.Worker
	// ownEnds holds the workers that end for a reason of their own.
	ownEnds map[string]bool
	closed  bool
}

func startCrashFleet(t *testing.T, workers int, restartDelay time.Duration) *crashFleet {
	t.Helper()
	f := newCrashFleet(t, restartDelay)
	for range workers {
		f.start()
	}
	return f
}

// newCrashFleet returns a crashFleet without workers.
func newCrashFleet(t *testing.T, restartDelay time.Duration) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, store: forwarding.NewStore(), restartDelay: restartDelay, slots: 64, answerTime: 5 * time.Millisecond, running: map[string]*forwarding.Worker{}, ownEnds: map[string]bool{}}
	f.store.PutConfig(testConfig(1))
	t.Cleanup(f.close)
	return f
}

func (f *crashFleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, w := range f.all {
		w.Close()
	}
}

// start starts a worker under a new ID and writes its entry to the store.
func (f *crashFleet) start() { f.startAs("") }

// startAs starts a worker under an ID, or a new one.
func (f *crashFleet) startAs(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	if f.started++; id == "" {
		id = fmt.Sprintf("w%d", f.started)
	}
	names := DefaultHeaderNames
	config := forwarding.WorkerConfig{
		ID: id, Address: ownHost() + ":0", Slots: f.slots, EventInterval: f.answerTime,
		HeaderNames: forwarding.HeaderNames{RequestID: names.RequestID, ExpectWorker: names.ExpectWorker, NotRun: names.NotRun, Load: names.Load, WorkerID: names.WorkerID, Model: names.Model, Prompt: names.Prompt},
		FatalPart:   fatalPart, FatalPath: "/safe/fatal", FatalDelay: 60 * time.Millisecond, IsFatal: f.isFatal, EndDelay: f.endDelay, Fails: f.fails, OnEnd: func() { f.workerEnded(id) },
	}
	if f.configure != nil {
		f.configure(&config)
	}
	w, err := forwarding.StartWorker(config)
	if err != nil {
		f.t.Errorf("worker cannot be started: %v", err)
		return
	}
	f.running[id] = w
	f.all = append(f.all, w)
	f.store.PutWorker(forward.Worker{ID: id, Service: "svc", Address: w.Address(), FailureDomain: "a", Version: "v1", Slots: f.slots, StartUnixMs: time.Now().UnixMilli()})
}

func (f *crashFleet) workerEnded(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, id)
	if !f.ownEnds[id] {
		f.ends = append(f.ends, time.Now())
	}
	time.AfterFunc(f.restartDelay, func() {
		if f.keepsID {
			f.startAs(id)
			return
		}
		f.store.RemoveWorker(id)
		f.start()
	})
}

func (f *crashFleet) endCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ends)
}

// endsAfterBound returns the number of workers that ended later than bound after the fifth end.
func (f *crashFleet) endsAfterBound(bound time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for i, at := range f.ends {
		if i >= 5 && at.Sub(f.ends[4]) > bound {
			n++
		}
	}
	return n
}

// promptWith returns a prompt whose last part is that of request n alone, and that shares the parts
// with other requests.
func promptWith(n int64, parts ...string) string {
	out := ""
	for _, p := range parts {
		out += p + ":100,"
	}
	return out + fmt.Sprintf("%x:50", 0x1000000+n)
}

// load sends requests with and without fatalPart until it is stopped, and counts the sound ones.
type load struct {
	fleet        *crashFleet
	asked, whole atomic.Int64
	group        sync.WaitGroup
	stop         chan struct{}
}

// startLoad sends one request with fatalPart and four sound ones each interval, to the gateways in
// turn. Sound requests share the first part, and some the second one, with the others.
func startLoad(f *crashFleet, interval time.Duration, gateways ...*gatewayHarness) *load {
	l := &load{fleet: f, stop: make(chan struct{})}
	l.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := int64(0); ; n += 5 {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			for i := range int64(5) {
				gw := gateways[(n+i)%int64(len(gateways))]
				l.group.Go(func() { l.send(gw, n+i, i == 0) })
			}
		}
	})
	return l
}

func (l *load) send(gw *gatewayHarness, n int64, isFatal bool) {
	if isFatal {
		gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(n, "a", "b", fatalPart))
		return
	}
	l.asked.Add(1)
	second := fmt.Sprintf("%x", 0xb+n%4)
	resp := gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(n, "a", second))
	if resp.status == http.StatusOK && resp.err == nil {
		l.whole.Add(1)
	}
}

func (l *load) end() {
	close(l.stop)
	l.group.Wait()
}

// Guards against a request that is sent on from one worker that it ends to the next.
func TestRequestEndsAtMostTwoWorkers(t *testing.T) {
	for _, route := range []string{"/stream/x", "/once/x"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			f := startCrashFleet(t, 6, time.Minute)
			gw := startGatewayWith(t, testSettings(t), f.store)
			for _, prompt := range []string{promptWith(1, "a", fatalPart), fatalPart + ":50"} {
				before := f.endCount()
				resp := gw.call("POST", route, "prompt", DefaultHeaderNames.Prompt, prompt)
				assert.Equal(t, resp.status, http.StatusBadGateway)
				ends := f.endCount() - before
				assert.Assert(t, ends >= 1 && ends <= 2, "%d workers ended under %s\n%s", ends, prompt, gw.log.String())
			}
		})
	}
}

// Guards against a request that ends a third server because the ends of the first two are known a moment after the
// breaks of their answers, and against a suspect that ends a second one on trial.
func TestRequestIsNotSentOnBeforeItsBreaksAreSettled(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, time.Minute)
	f.endDelay = 40 * time.Millisecond
	for range 8 {
		f.start()
	}
	gw := startGatewayWith(t, testSettings(t), f.store)
	for i := range 60 {
		gw.call("GET", fmt.Sprintf("/safe/sound-%d", i), "")
	}
	for _, want := range []int{2, 1} {
		before := f.endCount()
		gw.call("GET", "/safe/fatal", "")
		time.Sleep(2 * f.endDelay)
		assert.Equal(t, f.endCount()-before, want, gw.log.String())
	}
}

// Guards against a request with a suspected part that waits for its own turn when its first worker was
// full.
func TestRequestSentAloneMayBeRepeated(t *testing.T) {
	t.Parallel()
	var arrivals atomic.Int64
	script := func(_ int, c net.Conn, r receivedRequest) bool {
		if arrivals.Add(1) == 1 {
			writeResponse(c, r, http.StatusServiceUnavailable, "", DefaultHeaderNames.NotRun+": 1")
			return true
		}
		return writeBody(c, r, "length", formatEvent(1))
	}
	gw := startGateway(t, startWorker(t, "w1", script), startWorker(t, "w2", script))
	q := gw.gateway.quarantine
	q.mu.Lock()
	for range 60 {
		q.tracker.RecordFinished(sinceBoot(), sinceBoot(), "svc", []uint64{1})
	}
	for i := range 2 {
		q.tracker.RecordEnd(sinceBoot()-time.Duration(2-i)*time.Second, quarantine.WorkerEnd{Service: "svc", Worker: fmt.Sprint(i), IDs: []uint64{0xb}, Weight: 1})
	}
	q.mu.Unlock()
	assert.Equal(t, q.decide("svc", []uint64{0xb}).Action, quarantine.SendAlone)
	started := time.Now()
	resp := gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(1, "b"))
	assert.Equal(t, resp.status, http.StatusOK)
	assert.Equal(t, arrivals.Load(), int64(2))
	assert.Assert(t, time.Since(started) < maxAloneWait, "took %v", time.Since(started))
}

// Guards against plain requests that end one server after the other, also when their caller repeats
// them.
func TestRepeatedPlainRequestIsRefused(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 8, 50*time.Millisecond)
	gw := startGatewayWith(t, testSettings(t), f.store)
	get := func(path string) callResult { return gw.call("GET", path, "") }
	for i := range 60 {
		get(fmt.Sprintf("/safe/sound-%d", i))
	}
	assert.Equal(t, get("/safe/fatal").status, http.StatusBadGateway)
	assert.Equal(t, f.endCount(), 2)
	gw.waitFor("request is refused", func() bool {
		get("/safe/sound")
		resp := get("/safe/fatal")
		return resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") == ""
	})
	ends := f.endCount()
	assert.Assert(t, ends <= 6, "%d servers ended", ends)
	for range 10 {
		get("/safe/fatal")
	}
	assert.Equal(t, f.endCount(), ends)
	assert.Equal(t, get("/safe/sound").status, http.StatusOK)
}

// Guards against a plain request that ends one server after the other and is accused of nothing because each
// server breaks off its answer some milliseconds before it ends.
func TestServerThatEndsAfterTheBreakIsNoticed(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 100*time.Millisecond)
	f.endDelay = 40 * time.Millisecond
	for range 8 {
		f.start()
	}
	gw := startGatewayWith(t, testSettings(t), f.store)
	for i := range 60 {
		gw.call("GET", fmt.Sprintf("/safe/sound-%d", i), "")
	}
	gw.waitFor("request is refused", func() bool {
		resp := gw.call("GET", "/safe/fatal", "")
		time.Sleep(100 * time.Millisecond)
		return resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") == ""
	})
	assert.Assert(t, f.endCount() <= 8, "%d servers ended", f.endCount())
	assert.Equal(t, gw.call("GET", "/safe/sound", "").status, http.StatusOK)
}

// Guards against requests of one kind that end one worker after the other.
func TestRequestsThatEndWorkersStopBeingSent(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 8, 300*time.Millisecond)
	s := testSettings(t)
	gw := startGatewayWith(t, s, f.store)
	l := startLoad(f, 50*time.Millisecond, gw)
	time.Sleep(4 * time.Second)
	asked, whole := l.asked.Load(), l.whole.Load()
	time.Sleep(2 * time.Second)
	l.end()
	asked, whole = l.asked.Load()-asked, l.whole.Load()-whole
	assert.Assert(t, f.endCount() >= 2, "only %d workers ended: the fatal requests did not reach them", f.endCount())
	assert.Assert(t, f.endsAfterBound(s.StablePeriod) <= 3, "%d workers ended later than %v after the fifth, %d in all", f.endsAfterBound(s.StablePeriod), s.StablePeriod, f.endCount())
	assert.Assert(t, whole*10 >= asked*9, "%d of %d sound requests were served", whole, asked)
}

// Guards against gateways that each learn for themselves which requests end workers.
func TestGatewaysShareWhatEndsWorkers(t *testing.T) {
	t.Parallel()
	f := startCrashFleet(t, 9, 300*time.Millisecond)
	address := freeAddress(t)
	var gateways []*gatewayHarness
	for i := range 4 {
		s := testSettings(t)
		s.Instance, s.Relays = fmt.Sprintf("g%d", i), []string{address}
		if i == 0 {
			s.PeerAddress = address
		}
		gateways = append(gateways, startGatewayWith(t, s, forwarding.NewForwardingStore(f.store)))
	}
	l := startLoad(f, 100*time.Millisecond, gateways...)
	time.Sleep(5 * time.Second)
	l.end()
	assert.Assert(t, f.endCount() >= 2, "only %d workers ended: the fatal requests did not reach them", f.endCount())
	assert.Assert(t, f.endsAfterBound(time.Second) <= 3, "%d workers ended later than 1 s after the fifth, %d in all", f.endsAfterBound(time.Second), f.endCount())
	for _, gw := range gateways {
		resp := gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(1, "a", "b", fatalPart))
		assert.Equal(t, resp.status, http.StatusServiceUnavailable)
		assert.Equal(t, resp.header.Get("Retry-After"), "")
		resp = gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(2, "a", "b"))
		assert.Equal(t, resp.status, http.StatusOK)
	}
}

// endOne ends one of the running workers for a reason of its own.
func (f *crashFleet) endOne() {
	f.mu.Lock()
	var worker *forwarding.Worker
	for id, w := range f.running {
		worker = w
		f.ownEnds[id] = true
		break
	}
	f.mu.Unlock()
	if worker != nil {
		worker.End()
	}
}

// endsAfterThird returns the number of workers that ended under fatal requests, that of those later than
// bound after the third, and when the last one ended.
func (f *crashFleet) endsAfterThird(bound time.Duration) (ends, late int, last time.Time) {
	return f.endsAfterNth(3, bound)
}

// endsAfterNth is endsAfterThird for another end than the third.
func (f *crashFleet) endsAfterNth(n int, bound time.Duration) (ends, late int, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.ends {
		if i >= n && at.Sub(f.ends[n-1]) > bound {
			late++
		}
		last = at
	}
	return len(f.ends), late, last
}
