package daemon

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/engine"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/routing"
	"github.com/borageflow/borageflow/internal/sidecar"
)

// eventsInterval is how often the engine's cache events are read.
const eventsInterval = 500 * time.Millisecond

// cacheNews reads the cache events of the engine and adds them to results and
// probe answers.
type cacheNews struct {
	read func(ctx context.Context, after int64) ([]engine.CacheEvent, error)
	log  *zap.Logger
	// last is the sequence number of the last event that was read.
	last int64

	mu      sync.Mutex
	changes *sidecar.CacheChangeLog[*peer.Link]
}

func newCacheNews(client *engine.Client, log *zap.Logger) *cacheNews {
	return &cacheNews{read: client.Events, log: log, changes: sidecar.NewCacheChangeLog[*peer.Link]()}
}

func (n *cacheNews) run(ctx context.Context) {
	ticker := time.NewTicker(eventsInterval)
	defer ticker.Stop()
	failed := false
	for {
		err := n.poll(ctx)
		if err != nil && !failed && ctx.Err() == nil {
			n.log.Info("cache events of the engine cannot be read", zap.Error(err))
		}
		failed = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reads the last event again with the new ones. An engine that no longer
// has it was restarted and counts from the start.
func (n *cacheNews) poll(ctx context.Context) error {
	events, err := n.read(ctx, max(n.last-1, 0))
	if err != nil {
		return err
	}
	if len(events) == 0 {
		n.last = 0
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range events {
		if e.Sequence > n.last {
			n.last = e.Sequence
			n.add(e)
		}
	}
	return nil
}

func (n *cacheNews) add(e engine.CacheEvent) {
	prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
	if err != nil || prefix == 0 {
		return
	}
	key := fmt.Sprintf("%016x", routing.PrefixKey(e.Version, prefix))
	switch e.Kind {
	case engine.EventCached:
		n.changes.Add(key, true)
	case engine.EventEvicted:
		n.changes.Add(key, false)
	}
}

// take returns the next changes for an entry, or nil.
func (n *cacheNews) take(link *peer.Link) *api.CacheNews {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-link.Done():
		return nil // forget was or will be called, so nothing may be kept for it
	default:
		return n.changes.NextMessage(time.Now(), link)
	}
}

func (n *cacheNews) forget(link *peer.Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changes.RemoveReader(link)
}
