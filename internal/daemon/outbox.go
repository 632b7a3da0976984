package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/ring"
)

const (
	outboxQueueSize = 4096
	// notifyTimeout bounds dialing and sending one notification.
	notifyTimeout = 3 * time.Second
)

// notification is a message without an answer to a daemon. The link is opened if needed.
type notification struct {
	address string
	method  string
	params  any
}

// outbox sends notifications in a goroutine of its own, so that a peer that does not read
// cannot block the main loop.
type outbox struct {
	node  *peer.Node
	log   *zap.Logger
	queue *ring.Queue[notification]
}

func newOutbox(node *peer.Node, log *zap.Logger) *outbox {
	return &outbox{node: node, log: log, queue: ring.New[notification](outboxQueueSize)}
}

// enqueue queues a notification and drops it when the queue is full.
func (o *outbox) enqueue(n notification) {
	if !o.queue.TryPut(n) {
		o.log.Warn("notification is dropped, outbox is full", zap.String("method", n.method))
	}
}

func (o *outbox) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-o.queue.Items():
			o.deliver(ctx, n)
		}
	}
}

func (o *outbox) deliver(ctx context.Context, n notification) {
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
