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

// Guards against events that are read twice or lost at a gap in the sequence numbers,
// and against a reader that keeps waiting for the old numbers after the engine was
// restarted.
func TestCacheEventsAreReadOnceAndAfterRestart(t *testing.T) {
	var engineEvents []engine.CacheEvent
	reader := newCacheEventReader(engine.NewClient("http://127.0.0.1:1"), zap.NewNop())
	reader.readEvents = func(_ context.Context, after int64) ([]engine.CacheEvent, error) {
		var out []engine.CacheEvent
		for _, e := range engineEvents {
			if e.Sequence > after {
				out = append(out, e)
			}
		}
		return out, nil
	}
	event := func(sequence int64, prefix string) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Kind: engine.EventCached, Prefix: prefix, Version: "v"}
	}
	pollCount := func() int {
		assert.NilError(t, reader.poll(t.Context()))
		if message := reader.changes.NextMessage(time.Now(), nil); message != nil {
			return len(message.Cached)
		}
		return 0
	}
	engineEvents = []engine.CacheEvent{event(1, "a1"), event(4, "a4"), event(9, "a9")}
	assert.Equal(t, pollCount(), 3)
	assert.Equal(t, pollCount(), 0)
	engineEvents = append(engineEvents, event(12, "ac"))
	assert.Equal(t, pollCount(), 1)
	engineEvents = []engine.CacheEvent{event(1, "b1"), event(2, "b2")} // restarted
	assert.Equal(t, pollCount(), 0)
	assert.Equal(t, pollCount(), 2)
}

// prefixCluster is a set of six stand-in engines, with a reader of cache events for each.
type prefixCluster struct {
	clients  map[string]*engine.Client
	readers  map[string]*cacheEventReader
	hits     atomic.Int64
	requests atomic.Int64
}

const prefixVersion = "small-1"

func newPrefixCluster(t *testing.T) *prefixCluster {
	c := &prefixCluster{clients: map[string]*engine.Client{}, readers: map[string]*cacheEventReader{}}
	for i := range 6 {
		server, err := standin.New(standin.Config{
			Versions: []string{prefixVersion}, KVCapacityTokens: 6000, PrefillTokens: 64, StepTime: time.Millisecond,
			EventDelay: 200 * time.Millisecond, EventDropNth: 5,
		}).Start("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		name := fmt.Sprintf("engine-%d", i)
		c.clients[name] = engine.NewClient(server.URL())
		c.readers[name] = newCacheEventReader(c.clients[name], zap.NewNop())
		go c.readers[name].run(t.Context())
	}
	return c
}

// runEntry sends requests one after another and picks servers from its own fleet.
func (c *prefixCluster) runEntry(ctx context.Context, number, requests int, useEvents bool) error {
	fleet := routing.NewFleet(routing.Location{Instance: strconv.Itoa(number)}, routing.Options{})
	servers := make([]routing.Server, 0, len(c.clients))
	for name := range c.clients {
		servers = append(servers, routing.Server{Name: name, Incarnation: 1, Versions: []string{prefixVersion}, Slots: 8})
	}
	fleet.SetServers(time.Now(), servers)
	rng := rand.New(rand.NewPCG(7, uint64(number)))
	link := &peer.Link{} // only identifies the reader
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
		attempt := fleet.StartAttempt(time.Now(), pick.Server, routing.Attempt{Prefix: key, PromptTokens: 401, MaxTokens: 2})
		startedAt, firstTokenMs := time.Now(), 0.0
		end, err := c.clients[pick.Server].Generate(ctx, engine.GenerateRequest{
			Request: fmt.Sprintf("r-%d-%d", number, i), Attempt: 1, Version: prefixVersion, Customer: "c",
			Messages: messages, MaxTokens: 2, DeadlineMs: 5000,
		}, func(engine.Token) {
			if firstTokenMs == 0 {
				firstTokenMs = float64(time.Since(startedAt)) / float64(time.Millisecond)
			}
		})
		if err != nil {
			return err
		}
		fleet.EndAttempt(time.Now(), pick.Server, attempt, routing.Outcome{
			OK: true, FirstTokenMs: firstTokenMs, InputTokens: end.InputTokens, CachedTokens: end.CachedTokens, OutputTokens: end.OutputTokens,
		})
		c.countHit(i >= requests/4, end.CachedTokens > 0)
		if useEvents {
			c.applyCacheEvents(fleet, pick.Server, link)
		}
	}
	return nil
}

// countHit counts a request and its prefix hit. It skips requests that are not warm,
// since all caches are empty at the start.
func (c *prefixCluster) countHit(warm, hit bool) {
	if !warm {
		return
	}
	c.requests.Add(1)
	if hit {
		c.hits.Add(1)
	}
}

// applyCacheEvents passes the next cache changes of a server to the fleet of an entry.
func (c *prefixCluster) applyCacheEvents(fleet *routing.Fleet, server string, link *peer.Link) {
	reader := c.readers[server]
	reader.mu.Lock()
	message := reader.changes.NextMessage(time.Now(), link)
	reader.mu.Unlock()
	if message == nil {
		return
	}
	for _, keys := range []struct {
		list   []string
		cached bool
	}{{message.Evicted, false}, {message.Cached, true}} {
		for _, text := range keys.list {
			key, _ := strconv.ParseUint(text, 16, 64)
			fleet.RecordCacheEvent(time.Now(), server, key, keys.cached)
		}
	}
}

// prefixHitRate returns the share of warm requests that found their prefix in the cache of
// the engine, for four entries that run in parallel.
func prefixHitRate(t *testing.T, useEvents bool) float64 {
	c := newPrefixCluster(t)
	errs := make(chan error, 4)
	var entries sync.WaitGroup
	for number := range 4 {
		entries.Go(func() { errs <- c.runEntry(t.Context(), number, 400, useEvents) })
	}
	entries.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
	return float64(c.hits.Load()) / float64(c.requests.Load())
}

// Guards against cache events that arrive without raising prefix reuse. The 48 prefixes
// fit into the caches of the six engines together, but not into the cache of one engine.
// Events are 200 ms late and one in five is lost.
func TestCacheEventsRaisePrefixHits(t *testing.T) {
	without, with := prefixHitRate(t, false), prefixHitRate(t, true)
	t.Logf("prefix hits without events %.3f, with events %.3f, ratio %.2f", without, with, with/without)
	assert.Assert(t, with > without)
}
