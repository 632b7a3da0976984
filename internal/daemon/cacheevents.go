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

// cacheEventInterval is the time between two reads of the engine's cache events.
const cacheEventInterval = 500 * time.Millisecond

// cacheEventReader polls the engine's cache events and keeps the resulting changes
// until they are sent to entries with results and probe answers.
type cacheEventReader struct {
	readEvents func(ctx context.Context, after int64) ([]engine.CacheEvent, error)
	log        *zap.Logger
	// lastSequence is the sequence number of the newest event read.
	lastSequence int64

	mu      sync.Mutex
	changes *sidecar.CacheChangeLog[*peer.Link]
}

func newCacheEventReader(client *engine.Client, log *zap.Logger) *cacheEventReader {
	return &cacheEventReader{readEvents: client.CacheEvents, log: log, changes: sidecar.NewCacheChangeLog[*peer.Link]()}
}

// run polls until ctx ends. Only the first of several failures in a row is logged.
func (r *cacheEventReader) run(ctx context.Context) {
	ticker := time.NewTicker(cacheEventInterval)
	defer ticker.Stop()
	failed := false
	for {
		err := r.poll(ctx)
		if err != nil && !failed && ctx.Err() == nil {
			r.log.Info("cache events of the engine cannot be read, entries get none until a read succeeds", zap.Error(err))
		}
		failed = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reads the events from the newest known one on, which is read again. If the
// engine no longer returns that event, it was restarted and its sequence numbers start
// over, so the next poll reads from the beginning.
func (r *cacheEventReader) poll(ctx context.Context) error {
	events, err := r.readEvents(ctx, max(r.lastSequence-1, 0))
	if err != nil {
		return err
	}
	if len(events) == 0 {
		r.lastSequence = 0
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		if e.Sequence > r.lastSequence {
			r.lastSequence = e.Sequence
			r.addEvent(e)
		}
	}
	return nil
}

// addEvent adds an event to the changes. Events with an invalid prefix are ignored.
func (r *cacheEventReader) addEvent(e engine.CacheEvent) {
	prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
	if err != nil || prefix == 0 {
		return
	}
	key := fmt.Sprintf("%016x", routing.PrefixKey(e.Version, prefix))
	switch e.Kind {
	case engine.EventCached:
		r.changes.Add(key, true)
	case engine.EventEvicted:
		r.changes.Add(key, false)
	}
}

// nextMessage returns the next changes for the entry on link. It returns nil when there
// are none, the byte budget is exhausted, or the link is closed.
func (r *cacheEventReader) nextMessage(link *peer.Link) *api.CacheNews {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-link.Done():
		return nil // removeReader was or will be called, so no position may be stored for the link
	default:
		return r.changes.NextMessage(time.Now(), link)
	}
}

func (r *cacheEventReader) removeReader(link *peer.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes.RemoveReader(link)
}
