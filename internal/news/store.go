package news

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/peer"
)

const (
	// storeRetryInterval is the time between calls to a store that does not answer. Relays
	// are tried more often, because they notice first that the store answers again. The
	// interval does not apply to the configuration: its age decides whether API keys are
	// accepted, and a slow store answers some of the calls in time.
	storeRetryInterval = 2 * time.Second
	// firstListPatience is how long after the start a gateway waits for a relay that has a
	// topic. A relay that starts at the same time has listed all topics within 0.2 s.
	firstListPatience = 500 * time.Millisecond
	// firstListTimeout bounds one request for a first list, and firstListRetryInterval is the
	// pause after a relay that does not have the topic.
	firstListTimeout       = 200 * time.Millisecond
	firstListRetryInterval = 40 * time.Millisecond
	maxFirstListRequests   = 12
)

// errStoreBackoff is returned instead of calling the store within storeRetryInterval after
// a failure.
var errStoreBackoff = errors.New("store did not answer the last call and is not called again yet, and no relay has updates")

// LinkDialer opens links to other gateways. It is implemented by peer.Node.
type LinkDialer interface {
	Link(ctx context.Context, address string) (*peer.Link, error)
}

// RelayedStore is a forward.Store that reads from relays. It writes to the store directly, and
// lists and watches there while no relay has updates.
type RelayedStore struct {
	forward.Store
	dialer LinkDialer
	// timeout bounds a request to a relay beyond its waiting time.
	timeout time.Duration
	clock   func() Elapsed
	// startedAt is the time at which the store was made.
	startedAt Elapsed
	// listNow is closed by ListNow.
	listNow     chan struct{}
	listNowOnce sync.Once
	log         *zap.Logger

	relays *RelayChoice

	mu       sync.Mutex
	progress map[forward.Topic]topicProgress
}

// topicProgress is this gateway's progress in reading a topic.
type topicProgress struct {
	// revision is the revision of the last answer. An answer of a relay with a lower one is
	// ignored, because it would restore an older state.
	revision int64
	// storeFailedAt is the time of the last failed call to the store, 0 after an answer.
	storeFailedAt Elapsed
}

// NewRelayedStore returns a store that reads from relays in front of a direct store.
func NewRelayedStore(direct forward.Store, dialer LinkDialer, instance, domain string, relays []string, timeout time.Duration, clock func() Elapsed, log *zap.Logger) *RelayedStore {
	return &RelayedStore{
		Store: direct, dialer: dialer, relays: NewRelayChoice(instance, domain, relays, clock), timeout: timeout, clock: clock,
		startedAt: clock(), listNow: make(chan struct{}), log: log, progress: map[forward.Topic]topicProgress{},
	}
}

// List implements forward.Store. The first list comes from a relay if one has the topic soon
// after the start, and otherwise from the store: when all gateways start at once, they share
// the lists of the relays. Because all gateways list again after each outage, later lists ask a
// relay for the changes since the last answer, and the store only if no relay has them. A relay
// that is behind is ignored.
func (s *RelayedStore) List(ctx context.Context, topic forward.Topic) (forward.Update, error) {
	direct := func() (forward.Update, error) { return s.Store.List(ctx, topic) }
	if revision := s.lastRevision(topic); revision > 0 {
		return s.relayOrStore(ctx, topic, revision, 0, direct)
	}
	if u, ok := s.firstListFromRelay(ctx, topic); ok {
		return u, nil
	}
	u, err := direct()
	if err != nil {
		return s.snapshotFromRelay(ctx, topic, err)
	}
	s.accept(topic, &u)
	return u, nil
}

// ListNow ends the wait of first lists for a relay: callers are waiting.
func (s *RelayedStore) ListNow() {
	s.listNowOnce.Do(func() { close(s.listNow) })
}

// firstListFromRelay requests a whole topic from the relays in turn until one has it, ListNow is
// called, or firstListPatience has passed since the start. The relays may be starting too, and
// a connection to a machine that is not running hangs. Without ListNow, callers were refused for
// half a second after a power loss.
func (s *RelayedStore) firstListFromRelay(ctx context.Context, topic forward.Topic) (forward.Update, bool) {
	ctx, cancelWait := context.WithCancel(ctx)
	defer cancelWait()
	go func() {
		select {
		case <-s.listNow:
			cancelWait()
		case <-ctx.Done():
		}
	}()
	for n := 0; len(s.relays.relays) > 0 && n < maxFirstListRequests && ctx.Err() == nil; n++ {
		remaining := s.startedAt + firstListPatience - s.clock()
		if remaining <= 0 {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, min(remaining, firstListTimeout))
		u, err := s.watchRelay(callCtx, s.relays.address(n), topic, 0, 0)
		cancel()
		switch {
		case err == nil && u.Full && s.accept(topic, &u):
			return u, true
		case errors.Is(err, errGap):
			return forward.Update{}, false // the list is too long to be worth sending
		}
		timer := time.NewTimer(min(remaining, firstListRetryInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return forward.Update{}, false
}

// snapshotFromRelay requests a whole topic from a relay after the store failed to list it,
// so that a gateway can start and serve while it cannot reach the store. It returns
// storeErr if no relay has the topic.
func (s *RelayedStore) snapshotFromRelay(ctx context.Context, topic forward.Topic, storeErr error) (forward.Update, error) {
	address := s.CurrentRelay()
	if address == "" || ctx.Err() != nil {
		return forward.Update{}, storeErr
	}
	s.recordStoreFailure(topic)
	u, err := s.watchRelay(ctx, address, topic, 0, 0)
	switch {
	case err == nil && u.Full && s.accept(topic, &u):
		return u, nil
	case err != nil && ctx.Err() == nil:
		s.backOff(address, topic, err)
	}
	return forward.Update{}, storeErr
}

// lastRevision returns the revision of the last answer about a topic, 0 if there was none.
func (s *RelayedStore) lastRevision(topic forward.Topic) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress[topic].revision
}

// Watch implements forward.Store.
func (s *RelayedStore) Watch(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	return s.relayOrStore(ctx, topic, revision, wait, func() (forward.Update, error) { return s.Store.Watch(ctx, topic, revision, wait) })
}

// relayOrStore requests updates from a relay, and calls direct if no relay has them.
func (s *RelayedStore) relayOrStore(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration, direct func() (forward.Update, error)) (forward.Update, error) {
	if address := s.CurrentRelay(); address != "" {
		u, err := s.watchRelay(ctx, address, topic, revision, wait)
		switch {
		case err == nil && s.accept(topic, &u):
			return u, nil
		case ctx.Err() != nil:
			return forward.Update{}, ctx.Err()
		case err != nil && !errors.Is(err, errGap):
			s.backOff(address, topic, err)
		}
	}
	if s.inStoreBackoff(topic) {
		return forward.Update{}, errStoreBackoff
	}
	u, err := direct()
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, forward.ErrCompacted) {
			s.recordStoreFailure(topic)
		}
		return u, err
	}
	s.accept(topic, &u)
	return u, nil
}

// accept records the revision of an answer. It returns false for an answer of a relay that
// is older than the last one, which must be ignored.
func (s *RelayedStore) accept(topic forward.Topic, u *forward.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.progress[topic]
	if u.Relayed && u.Revision < p.revision {
		return false
	}
	// An answer of the store itself is accepted at any revision: the store may have been
	// restored from a backup.
	s.progress[topic] = topicProgress{revision: u.Revision}
	return true
}

func (s *RelayedStore) recordStoreFailure(topic forward.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.progress[topic]
	p.storeFailedAt = s.clock()
	s.progress[topic] = p
}

// storeFailing reports whether the store failed to answer since the last answer about a
// topic.
func (s *RelayedStore) storeFailing(topic forward.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress[topic].storeFailedAt > 0
}

// inStoreBackoff reports whether the store failed to answer less than storeRetryInterval
// ago. It is always false for the configuration.
func (s *RelayedStore) inStoreBackoff(topic forward.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	failedAt := s.progress[topic].storeFailedAt
	return topic != forward.ConfigTopic && failedAt > 0 && s.clock()-failedAt < storeRetryInterval
}

// watchRelay requests the updates of a topic from a relay. While the store fails to answer,
// it requests the whole topic if the relay does not hold the changes.
func (s *RelayedStore) watchRelay(ctx context.Context, address string, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.timeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, s.timeout)
	defer cancelDial()
	link, err := s.dialer.Link(dialCtx, address)
	if err != nil {
		return forward.Update{}, err
	}
	s.relays.SetDomain(address, link.Remote.FailureDomain)
	u, err := requestDelta(ctx, link, api.NewsParams{Topic: topic.String(), Revision: int(revision), WaitMs: int(wait.Milliseconds()), Whole: s.storeFailing(topic)})
	if err != nil && ctx.Err() != nil {
		link.Close() // ends the requests for the other topics, which this relay would not answer either
	}
	return u, err
}

// CurrentRelay returns the address of the relay that is used now, or "" if the store is called
// directly.
func (s *RelayedStore) CurrentRelay() string { return s.relays.Current() }

// backOff excludes a relay from use for a time that depends on how its last request failed.
func (s *RelayedStore) backOff(address string, topic forward.Topic, err error) {
	if backoff, wasUsed := s.relays.BackOff(address, err); wasUsed {
		s.log.Info("request to a relay failed, the relay is not used for a while", zap.String("relay", address), zap.Stringer("topic", topic), zap.Duration("for", backoff), zap.Error(err))
	}
}
