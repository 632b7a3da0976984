package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/engine"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/routing"
	standin "github.com/borageflow/borageflow/internal/standin/engine"
)

// Guards against events that are read twice or lost at a gap, and against a
// reader that waits for old numbers after the engine was restarted.
func TestCacheEventsAreReadOnceAndAfterRestart(t *testing.T) {
	var held []engine.CacheEvent
	n := newCacheNews(engine.NewClient("http://127.0.0.1:1"), zap.NewNop())
	n.read = func(_ context.Context, after int64) ([]engine.CacheEvent, error) {
		var out []engine.CacheEvent
		for _, e := range held {
			if e.Sequence > after {
				out = append(out, e)
			}
		}
		return out, nil
	}
	event := func(sequence int64, prefix string) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Kind: engine.EventCached, Prefix: prefix, Version: "v"}
	}
	count := func() int {
		assert.NilError(t, n.poll(t.Context()))
		if news := n.changes.NextMessage(time.Now(), nil); news != nil {
			return len(news.Cached)
		}
		return 0
	}
	held = []engine.CacheEvent{event(1, "a1"), event(4, "a4"), event(9, "a9")}
	assert.Equal(t, count(), 3)
	assert.Equal(t, count(), 0)
	held = append(held, event(12, "ac"))
	assert.Equal(t, count(), 1)
	held = []engine.CacheEvent{event(1, "b1"), event(2, "b2")} // restarted
	assert.Equal(t, count(), 0)
	assert.Equal(t, count(), 2)
}

// prefixWorld is four entries in front of six stand-in engines.
type prefixWorld struct {
	clients map[string]*engine.Client
	news    map[string]*cacheNews
	hits    atomic.Int64
	asked   atomic.Int64
}

const prefixVersion = "small-1"

func newPrefixWorld(t *testing.T) *prefixWorld {
	w := &prefixWorld{clients: map[string]*engine.Client{}, news: map[string]*cacheNews{}}
	for i := range 6 {
		server, err := standin.New(standin.Config{
			Versions: []string{prefixVersion}, KVTokens: 6000, PrefillTokens: 64, StepTime: time.Millisecond,
			EventDelay: 200 * time.Millisecond, EventDropNth: 5,
		}).Start("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		name := fmt.Sprintf("engine-%d", i)
		w.clients[name] = engine.NewClient(server.URL())
		w.news[name] = newCacheNews(w.clients[name], zap.NewNop())
		go w.news[name].run(t.Context())
	}
	return w
}

// entry sends requests one after another and chooses servers by its own fleet.
func (w *prefixWorld) entry(ctx context.Context, number, requests int, told bool) error {
	fleet := routing.NewFleet(routing.Location{Instance: strconv.Itoa(number)}, routing.Options{})
	servers := make([]routing.Server, 0, len(w.clients))
	for name := range w.clients {
		servers = append(servers, routing.Server{Name: name, Incarnation: 1, Versions: []string{prefixVersion}, Slots: 8})
	}
	fleet.SetServers(time.Now(), servers)
	rng := rand.New(rand.NewPCG(7, uint64(number)))
	link := &peer.Link{} // identifies the reader only
	for i := range requests {
		prefix := rng.IntN(48)
		messages := []api.ChatMessage{{Role: "system", Content: strings.Repeat(fmt.Sprintf("p%03d", prefix), 400)}}
		fingerprint, err := strconv.ParseUint(standin.Fingerprint(messages), 16, 64)
		if err != nil {
			return err
		}
		key := routing.PrefixKey(prefixVersion, fingerprint)
		pick, ok := fleet.Pick(time.Now(), routing.Query{Version: prefixVersion, Prefix: key, PromptTokens: 401, MaxTokens: 2}, rng)
		if !ok {
			return fmt.Errorf("entry %d has no server", number)
		}
		work := fleet.Start(time.Now(), pick.Server, routing.Work{Prefix: key, PromptTokens: 401, MaxTokens: 2})
		begun, first := time.Now(), 0.0
		end, err := w.clients[pick.Server].Generate(ctx, engine.Generate{
			Request: fmt.Sprintf("r-%d-%d", number, i), Attempt: 1, Version: prefixVersion, Customer: "c",
			Messages: messages, MaxTokens: 2, DeadlineMs: 5000,
		}, func(engine.Token) {
			if first == 0 {
				first = float64(time.Since(begun)) / float64(time.Millisecond)
			}
		})
		if err != nil {
			return err
		}
		fleet.End(time.Now(), pick.Server, work, routing.Outcome{
			OK: true, FirstTokenMs: first, InputTokens: end.InputTokens, CachedTokens: end.CachedTokens, OutputTokens: end.OutputTokens,
		})
		w.count(i >= requests/4, end.CachedTokens > 0)
		if told {
			w.tell(fleet, pick.Server, link)
		}
	}
	return nil
}

// count leaves out the start, when every cache is empty.
func (w *prefixWorld) count(warm, hit bool) {
	if !warm {
		return
	}
	w.asked.Add(1)
	if hit {
		w.hits.Add(1)
	}
}

func (w *prefixWorld) tell(fleet *routing.Fleet, server string, link *peer.Link) {
	n := w.news[server]
	n.mu.Lock()
	news := n.changes.NextMessage(time.Now(), link)
	n.mu.Unlock()
	if news == nil {
		return
	}
	for _, keys := range []struct {
		list   []string
		cached bool
	}{{news.Evicted, false}, {news.Cached, true}} {
		for _, text := range keys.list {
			key, _ := strconv.ParseUint(text, 16, 64)
			fleet.CacheEvent(time.Now(), server, key, keys.cached)
		}
	}
}

func prefixHits(t *testing.T, told bool) float64 {
	w := newPrefixWorld(t)
	errs := make(chan error, 4)
	var entries sync.WaitGroup
	for number := range 4 {
		entries.Go(func() { errs <- w.entry(t.Context(), number, 400, told) })
	}
	entries.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
	return float64(w.hits.Load()) / float64(w.asked.Load())
}

// Guards against cache events that arrive but do not raise prefix reuse: 48
// prefixes fit into the six engines together, not into each of them. Events are
// 200 ms late and one in five is lost.
func TestCacheEventsRaisePrefixHits(t *testing.T) {
	without, with := prefixHits(t, false), prefixHits(t, true)
	t.Logf("prefix hits without events %.3f, with events %.3f, ratio %.2f", without, with, with/without)
	assert.Assert(t, with > without)
}
