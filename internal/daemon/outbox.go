package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/ring"
)

const (
	outboxSize = 4096
	// notifyTimeout bounds dialing and sending one notification.
	notifyTimeout = 3 * time.Second
)

// notice is a notification to a daemon that need not be linked yet.
type notice struct {
	address string
	method  string
	params  any
}

// outbox sends notifications from a goroutine of its own, so that a peer that
// does not read cannot block the main loop.
type outbox struct {
	node  *peer.Node
	log   *zap.Logger
	items *ring.Ring[notice]
}

func newOutbox(node *peer.Node, log *zap.Logger) *outbox {
	return &outbox{node: node, log: log, items: ring.New[notice](outboxSize)}
}

func (o *outbox) send(n notice) {
	if !o.items.Offer(n) {
		o.log.Warn("notification is dropped, outbox is full", zap.String("method", n.method))
	}
}

func (o *outbox) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-o.items.Items():
			o.deliver(ctx, n)
		}
	}
}

func (o *outbox) deliver(ctx context.Context, n notice) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	link, err := o.node.Link(ctx, n.address)
	if err == nil {
		err = link.Notify(ctx, n.method, n.params)
	}
	if err != nil {
		o.log.Debug("notification is not delivered", zap.String("method", n.method), zap.Error(err))
	}
}
