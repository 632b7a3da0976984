package news

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/peer"
)

const (
	// avoidSilent is how long a relay that did not answer in time is not asked again: each
	// question to it costs the whole time-out in which nothing is heard.
	avoidSilent = 5 * time.Second
	// avoidRefusing is the same for one that refused at once, because it starts, leaves or has
	// no news itself. Such a question costs nothing, while the store is asked instead.
	avoidRefusing = time.Second
)

// Linker opens links to other gateways; peer.Node is one.
type Linker interface {
	Link(ctx context.Context, address string) (*peer.Link, error)
}

// Store is the store as a gateway sees it that gets its news from relays. It lists and
// writes at the store itself, and watches there while no relay has news.
type Store struct {
	forward.Store
	linker Linker
	// timeout bounds a question beyond the time that it waits.
	timeout time.Duration
	clock   func() Elapsed
	log     *zap.Logger

	mu     sync.Mutex
	relays []relayState
}

type relayState struct {
	address string
	until   Elapsed // not asked before
}

// NewStore returns a Store in front of a direct one. Each instance has its own order of the
// relays, so that they share the questions.
func NewStore(direct forward.Store, linker Linker, instance string, relays []string, timeout time.Duration, clock func() Elapsed, log *zap.Logger) *Store {
	s := &Store{Store: direct, linker: linker, timeout: timeout, clock: clock, log: log}
	ordered := slices.Clone(relays)
	slices.SortFunc(ordered, func(a, b string) int {
		if xxhash.Sum64String(instance+"/"+a) < xxhash.Sum64String(instance+"/"+b) {
			return -1
		}
		return 1
	})
	for _, address := range ordered {
		s.relays = append(s.relays, relayState{address: address})
	}
	return s
}

// Watch implements forward.Store.
func (s *Store) Watch(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	if address := s.Relay(); address != "" {
		u, err := s.watchAt(ctx, address, topic, revision, wait)
		if err == nil || ctx.Err() != nil {
			return u, err
		}
		s.avoid(address, topic, err)
	}
	return s.Store.Watch(ctx, topic, revision, wait)
}

func (s *Store) watchAt(ctx context.Context, address string, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.timeout)
	defer cancel()
	dial, done := context.WithTimeout(ctx, s.timeout)
	defer done()
	link, err := s.linker.Link(dial, address)
	if err != nil {
		return forward.Update{}, err
	}
	u, err := ask(ctx, link, topic, revision, wait)
	if err != nil && ctx.Err() != nil {
		link.Close() // ends the questions about the other topics, which would wait in vain
	}
	return u, err
}

// silent reports whether a relay did not answer in time, rather than refuse.
func silent(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// Relay returns the relay that is asked now, or "" when the store is.
func (s *Store) Relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, r := range s.relays {
		if now >= r.until {
			return r.address
		}
	}
	return ""
}

func (s *Store) avoid(address string, topic forward.Topic, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	pause := avoidRefusing
	if silent(err) {
		pause = avoidSilent
	}
	for i := range s.relays {
		if s.relays[i].address != address {
			continue
		}
		if now >= s.relays[i].until {
			s.log.Info("relay has no news, asking elsewhere", zap.String("relay", address), zap.Stringer("topic", topic), zap.Duration("for", pause), zap.Error(err))
		}
		s.relays[i].until = max(s.relays[i].until, now+pause)
	}
}
