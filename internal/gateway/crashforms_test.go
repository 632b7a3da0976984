package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// crashPlay is a kind of fatal request and a form in which workers end under it, beside sound streams that share
// all parts but the last one with each other.
type crashPlay struct {
	name string
	// fatal is what ends workers: a part of otherwise different prompts, or one request that is repeated.
	fatal fatalKind
	form  forwarding.EndForm
	// beforeHeader is set if workers end before the header of their answer, delay is from the beginning of the
	// work to the end.
	beforeHeader bool
	delay        time.Duration
	workers      int
	restart      time.Duration
	keepsID      bool
	// withoutRelay is set if the gateways exchange nothing.
	withoutRelay bool
	// answeredBefore is set if workers answer the request for three seconds before they end under it.
	answeredBefore bool
}

type fatalKind int

const (
	fatalPartOfMany fatalKind = iota
	repeatedStream
	repeatedStreamOfOnePart
	repeatedGet
)

func (k fatalKind) String() string {
	return [...]string{"part", "repeated stream", "stream of one part", "repeated GET"}[k]
}

const (
	crashPlayStart  = time.Second
	crashPlayLength = 10 * time.Second
	// crashPlayBound is the time after the third end of a request, or the fifth of a part, in which it must have
	// stopped reaching workers.
	crashPlayBound = 3 * time.Second
	maxLateEnds    = 3
)

// crashPlayResult is what the workers and the callers of a crashPlay saw.
type crashPlayResult struct {
	ends, late int
	// asked and served count the sound streams from a second after the last ended worker was back, and refused
	// those of the whole play that were refused as condemned.
	asked, served, refused int
}

// send sends the fatal request for the n-th time.
func (p crashPlay) send(gw *gatewayHarness, n int) {
	switch p.fatal {
	case fatalPartOfMany:
		gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(rand.Int64N(1<<30), "a", "b", fatalPart))
	case repeatedStream:
		gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, "a:100,b:100,"+fatalPart+":50")
	case repeatedStreamOfOnePart:
		gw.call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, fatalPart+":50")
	case repeatedGet:
		gw.call("GET", "/safe/fatal", "")
	}
}

// run plays the case before four gateways.
func (p crashPlay) run(t *testing.T) crashPlayResult {
	t.Helper()
	f := newCrashFleet(t, p.restart)
	started := time.Now()
	turnsFatal := started.Add(crashPlayStart)
	if p.answeredBefore {
		turnsFatal = turnsFatal.Add(3 * time.Second)
	}
	f.keepsID, f.answerTime = p.keepsID, 50*time.Millisecond
	f.isFatal = func() bool { return time.Now().After(turnsFatal) }
	f.configure = func(c *forwarding.WorkerConfig) {
		c.FatalBeforeHeader, c.FatalDelay, c.Form = p.beforeHeader, p.delay, p.form
	}
	for range p.workers {
		f.start()
	}
	gateways := startExchangingGateways(t, f, 4, !p.withoutRelay)
	until := turnsFatal.Add(crashPlayLength)
	var calls sync.WaitGroup
	var mu sync.Mutex
	var sound []soundCall
	out := crashPlayResult{}
	calls.Go(func() {
		everyUntil(20*time.Millisecond, until, func(n int) {
			at := time.Now()
			resp := gateways[n%4].call("POST", "/stream/x", "prompt", DefaultHeaderNames.Prompt, promptWith(int64(n), "a", fmt.Sprintf("%x", 0xb+n%4)))
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, soundCall{at, resp.status == http.StatusOK && resp.err == nil})
			if resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") == "" {
				out.refused++
			}
		})
	})
	time.Sleep(time.Until(started.Add(crashPlayStart)))
	everyUntil(200*time.Millisecond, until, func(n int) { p.send(gateways[n%4], n) })
	calls.Wait()
	counted := 3
	if p.fatal == fatalPartOfMany {
		counted = 5
	}
	var last time.Time
	out.ends, out.late, last = f.endsAfterNth(counted, crashPlayBound)
	for _, call := range sound {
		if call.at.After(last.Add(p.restart + time.Second)) {
			out.asked++
			if call.isServed {
				out.served++
			}
		}
	}
	if out.late > maxLateEnds || out.refused > 0 {
		for _, gw := range gateways {
			logQuarantine(t, gw)
		}
	}
	return out
}

// logQuarantine writes what a gateway logged on ends of workers and verdicts.
func logQuarantine(t *testing.T, gw *gatewayHarness) {
	t.Helper()
	for line := range strings.SplitSeq(gw.log.String(), "\n") {
		if strings.Contains(line, `"part":"quarantine"`) {
			t.Log(line)
		}
	}
}

// startExchangingGateways starts gateways that exchange what they know, unless they have no relay.
func startExchangingGateways(t *testing.T, f *crashFleet, n int, hasRelay bool) []*gatewayHarness {
	t.Helper()
	address := freeAddress(t)
	var out []*gatewayHarness
	for i := range n {
		s := testSettings(t)
		s.Instance, s.StablePeriod = fmt.Sprintf("g%d", i), crashPlayBound
		if hasRelay {
			s.Relays = []string{address}
			if i == 0 {
				s.PeerAddress = address
			}
		}
		out = append(out, startGatewayWith(t, s, forwarding.NewForwardingStore(f.store)))
	}
	return out
}

// everyUntil calls send in a goroutine of its own each interval, and waits for all calls.
func everyUntil(interval time.Duration, until time.Time, send func(n int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		calls.Go(func() { send(n) })
		<-ticker.C
	}
	calls.Wait()
}

// checkCrashPlays plays cases, some at a time.
func checkCrashPlays(t *testing.T, plays []crashPlay) {
	t.Helper()
	running := make(chan struct{}, 8)
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			out := p.run(t)
			t.Logf("%+v", out)
			assert.Check(t, out.ends >= 2, "the fatal request reached no worker")
			assert.Check(t, out.late <= maxLateEnds, "%d workers ended later than %v after the limit, %d in all", out.late, crashPlayBound, out.ends)
			assert.Check(t, out.refused == 0, "%d sound streams were refused as condemned", out.refused)
			assert.Check(t, out.asked > 0 && out.served*10 >= out.asked*9, "%d of %d sound streams were served", out.served, out.asked)
		})
	}
}

// Guards against a stream that ends one worker after the other for as long as its caller repeats it, and against
// sound streams that are refused in its place.
func TestRepeatedFatalStreamStopsReachingWorkers(t *testing.T) {
	var plays []crashPlay
	for _, kind := range []fatalKind{repeatedStream, repeatedStreamOfOnePart} {
		name := kind.String()
		base := crashPlay{fatal: kind, delay: 60 * time.Millisecond, workers: 8, restart: 2 * time.Second}
		three, same, before := base, base, base
		three.workers = 3
		same.keepsID, same.restart = true, 500*time.Millisecond
		before.answeredBefore = true
		for suffix, p := range map[string]crashPlay{"eight": base, "three": three, "same-id": same, "answered-before": before} {
			p.name = name + "/" + suffix
			plays = append(plays, p)
		}
	}
	checkCrashPlays(t, plays)
}

// Guards against requests that go on to end workers because these end before they have written a header.
func TestEndsBeforeHeaderAreCounted(t *testing.T) {
	var plays []crashPlay
	for _, kind := range []fatalKind{fatalPartOfMany, repeatedStream} {
		for _, delay := range []time.Duration{0, 60 * time.Millisecond, 600 * time.Millisecond} {
			plays = append(plays, crashPlay{name: fmt.Sprintf("%v/%v", kind, delay), fatal: kind, beforeHeader: true, delay: delay, workers: 8, restart: 2 * time.Second})
		}
	}
	checkCrashPlays(t, plays)
}

// Guards against requests that go on to end workers whose address accepts connections after the end.
func TestEndsBehindAcceptingAddressAreCounted(t *testing.T) {
	var plays []crashPlay
	for _, kind := range []fatalKind{fatalPartOfMany, repeatedStream, repeatedGet} {
		for _, before := range []bool{false, true} {
			plays = append(plays, crashPlay{name: fmt.Sprintf("%v/before=%v", kind, before), fatal: kind, form: forwarding.Accepts, beforeHeader: before, delay: 60 * time.Millisecond, workers: 8, restart: 2 * time.Second})
		}
	}
	checkCrashPlays(t, plays)
}

// silentPlays returns cases of workers that keep their connections and answer nothing any more.
func silentPlays(same bool, form forwarding.EndForm, kinds ...fatalKind) []crashPlay {
	var out []crashPlay
	for _, kind := range kinds {
		name := fmt.Sprintf("%v/dark=%v/same=%v", kind, form == forwarding.Dark, same)
		out = append(out, crashPlay{name: name, fatal: kind, form: form, delay: 60 * time.Millisecond, workers: 8, restart: 2 * time.Second, keepsID: same})
	}
	return out
}

// Guards against streams that go on to end workers that fall silent and start again, or whose machine is lost.
func TestSilentEndsAreCounted(t *testing.T) {
	plays := silentPlays(true, forwarding.Silent, fatalPartOfMany, repeatedStream)
	plays = append(plays, silentPlays(true, forwarding.Dark, fatalPartOfMany, repeatedStream)...)
	checkCrashPlays(t, append(plays, silentPlays(false, forwarding.Dark, fatalPartOfMany, repeatedStream)...))
}

// Guards against requests that go on to hang workers whose address still accepts connections once their entry is
// removed.
func TestHungWorkersAreCounted(t *testing.T) {
	checkCrashPlays(t, silentPlays(false, forwarding.Silent, fatalPartOfMany, repeatedStream, repeatedGet))
}

// Guards against a plain request that goes on to end workers that fall silent: its attempts are over before the end
// of their worker is known.
func TestSilentEndsUnderPlainRequestAreCounted(t *testing.T) {
	plays := silentPlays(true, forwarding.Silent, repeatedGet)
	plays = append(plays, silentPlays(true, forwarding.Dark, repeatedGet)...)
	checkCrashPlays(t, append(plays, silentPlays(false, forwarding.Dark, repeatedGet)...))
}

// Guards against a stream that ends workers long after the header of its answer and is never accused of it.
func TestLateEndsOfRepeatedStreamAreCounted(t *testing.T) {
	var plays []crashPlay
	for _, delay := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		plays = append(plays, crashPlay{name: delay.String(), fatal: repeatedStream, delay: delay, workers: 8, restart: 2 * time.Second})
	}
	checkCrashPlays(t, plays)
}
