package news

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/peer"
)

// Relay answers the questions of other gateways from its Board.
type Relay struct {
	clock func() Elapsed
	log   *zap.Logger

	mu      sync.Mutex
	board   *Board
	changed chan struct{}
}

// NewRelay returns a Relay that knows nothing. It tells nothing that is older than maxAge.
func NewRelay(maxAge time.Duration, clock func() Elapsed, log *zap.Logger) *Relay {
	return &Relay{clock: clock, log: log, board: NewBoard(maxAge), changed: make(chan struct{})}
}

// Took passes on an answer of the store.
func (r *Relay) Took(topic forward.Topic, u *forward.Update, confirmed Elapsed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	news, err := r.board.Took(topic, u, confirmed)
	if err != nil {
		r.log.Warn("update is not passed on", zap.Stringer("topic", topic), zap.Error(err))
		r.board.Lost(topic)
	}
	if news || err != nil {
		r.wake()
	}
}

// Lost ends the news of a topic until the store answers again.
func (r *Relay) Lost(topic forward.Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.Lost(topic)
	r.wake()
}

// Leave ends the news for good.
func (r *Relay) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.Leave()
	r.wake()
}

func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// LinkOpened implements peer.Handler.
func (r *Relay) LinkOpened(*peer.Link) {}

// LinkClosed implements peer.Handler.
func (r *Relay) LinkClosed(*peer.Link) {}

// Serve implements peer.Handler.
func (r *Relay) Serve(link *peer.Link, call *peer.Call) {
	var p api.NewsParams
	if call.Method != peer.MethodNews {
		call.Fail(errkind.New(errkind.InvalidRequest, "gateways answer "+peer.MethodNews+" only"))
		return
	}
	if err := call.Decode(&p); err != nil {
		call.Fail(err)
		return
	}
	topic, ok := topicOf(p.Topic)
	if !ok {
		call.Fail(errkind.New(errkind.InvalidRequest, "topic "+p.Topic+" is unknown"))
		return
	}
	go r.answer(link, call, topic, p)
}

// answer waits for news, at most as long as the other side asked for.
func (r *Relay) answer(link *peer.Link, call *peer.Call, topic forward.Topic, p api.NewsParams) {
	timer := time.NewTimer(time.Duration(p.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		a, found, changed, err := r.since(topic, &p)
		if err != nil {
			call.Fail(err)
			return
		}
		if found || waited {
			call.Respond(api.NewsResult{Revision: int(a.Revision), Full: a.Full, Gap: a.Gap, Updates: a.Updates, AgeMs: int(a.Age.Milliseconds()) + 1})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-link.Done():
			return
		}
	}
}

func (r *Relay) since(topic forward.Topic, p *api.NewsParams) (Answer, bool, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if !r.board.Available(now, topic) {
		return Answer{}, false, nil, errkind.New(errkind.NotReady, "relay has no recent news of "+topic.String())
	}
	a, found, err := r.board.Since(now, topic, int64(p.Revision), p.Whole)
	return a, found, r.changed, err
}

func topicOf(name string) (forward.Topic, bool) {
	for _, t := range []forward.Topic{forward.ConfigTopic, forward.WorkerTopic, forward.RolloutTopic} {
		if t.String() == name {
			return t, true
		}
	}
	return 0, false
}

// errGap says that a relay does not hold the changes since a revision.
var errGap = errors.New("relay does not reach back to the revision")

// ask sends one question to a relay. It returns errGap when the store is to be asked.
func ask(ctx context.Context, link *peer.Link, params api.NewsParams) (forward.Update, error) {
	var result api.NewsResult
	if err := link.Call(ctx, peer.MethodNews, params, &result); err != nil {
		return forward.Update{}, err
	}
	if result.Gap {
		return forward.Update{}, errGap
	}
	return Merge(Answer{
		Revision: int64(result.Revision), Full: result.Full, Updates: result.Updates,
		Age: time.Duration(result.AgeMs) * time.Millisecond,
	})
}
