package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
)

// control is interim until the exchange lands.
type control struct {
	node  *peer.Node
	store platform.Store
	log   *zap.Logger

	onSnapshot func(*manifest.Snapshot)
	onMembers  func([]api.Member)

	mu       sync.Mutex
	self     api.Member
	snapshot *manifest.Snapshot
}

func (c *control) setSelf(m api.Member) {
	c.mu.Lock()
	c.self = m
	c.mu.Unlock()
}

func (c *control) hello() api.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := api.Hello{Member: c.self}
	if c.snapshot != nil {
		h.Revision = c.snapshot.Revision
	}
	return h
}

func (c *control) offer(o api.ConfigOffer) {
	s, err := manifest.Compile(o.Manifest, o.Revision)
	if err != nil {
		c.log.Error("manifest is invalid", zap.Error(err))
		return
	}
	c.mu.Lock()
	newer := c.snapshot == nil || manifest.Newer(s.Revision, c.snapshot.Revision)
	if newer {
		c.snapshot = s
	}
	c.mu.Unlock()
	if newer {
		c.onSnapshot(s)
	}
}

func (c *control) held() (api.ConfigOffer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return api.ConfigOffer{}, false
	}
	return api.ConfigOffer{Revision: c.snapshot.Revision, Manifest: c.snapshot.Raw}, true
}

func (c *control) run(ctx context.Context) {
	go c.members(ctx)
	var version int64
	for ctx.Err() == nil {
		o, err := c.store.Watch(ctx, "config/manifest", version, time.Second)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		version = o.Version
		c.offer(api.ConfigOffer{Revision: api.Revision{Generation: int(o.Generation), Version: int(o.Version)}, Manifest: o.Value})
	}
}

func (c *control) members(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.store.Instances(ctx)
		if err == nil {
			var members []api.Member
			for _, i := range list {
				if i.Role != "sidecar" || i.Leaving {
					continue
				}
				link, err := c.node.Link(ctx, i.Address)
				if err != nil {
					continue
				}
				var r api.ProbeResult
				if link.Call(ctx, peer.MethodProbe, api.ProbeParams{}, &r) == nil {
					members = append(members, r.Member)
				}
			}
			c.onMembers(members)
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func newControl(c *common, store platform.Store) *control {
	return &control{store: store, log: c.log, self: c.self}
}

func (c *control) publish(any)           {}
func (c *control) addStatus(*api.Status) {}
