package news

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
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
	// directPause is the time between calls to a store that does not answer, while relays are
	// asked more often: they notice its return first. It does not hold for the configuration:
	// its age decides whether keys are accepted, and a slow store answers some calls in time.
	directPause = 2 * time.Second
)

// errStoreAway stands for a call that is not made because the last one has just failed.
var errStoreAway = errors.New("store did not answer just now and no relay has news")

// Linker opens links to other gateways; peer.Node is one.
type Linker interface {
	Link(ctx context.Context, address string) (*peer.Link, error)
}

// Store is the store as a gateway sees it that gets its news from relays. It writes at the
// store itself, and lists and watches there while no relay has news.
type Store struct {
	forward.Store
	linker Linker
	// domain is the failure domain of this gateway. Bytes within it are not priced.
	domain string
	// timeout bounds a question beyond the time that it waits.
	timeout time.Duration
	clock   func() Elapsed
	log     *zap.Logger

	mu     sync.Mutex
	relays []relayState
	known  map[forward.Topic]known
}

// known is what this gateway has heard of a topic.
type known struct {
	// revision is the highest that it was told; an older list would take it back.
	revision int64
	// failed is when the store last failed to answer; zero after an answer.
	failed Elapsed
}

type relayState struct {
	address string
	until   Elapsed // not asked before
	// domain is the relay's failure domain, once located is set.
	domain  string
	located bool
}

// NewStore returns a Store in front of a direct one. Each instance has its own order of the
// relays, so that they share the questions.
func NewStore(direct forward.Store, linker Linker, instance, domain string, relays []string, timeout time.Duration, clock func() Elapsed, log *zap.Logger) *Store {
	s := &Store{Store: direct, linker: linker, domain: domain, timeout: timeout, clock: clock, log: log, known: map[forward.Topic]known{}}
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

// List implements forward.Store. A relay is asked for the changes since what was heard
// before, and not used when it is behind that: all gateways list again after each outage.
// The first list comes from the store if it answers: after a power loss the relays are
// starting too, and a connection to one that is not up yet hangs.
func (s *Store) List(ctx context.Context, topic forward.Topic) (forward.Update, error) {
	direct := func() (forward.Update, error) { return s.Store.List(ctx, topic) }
	if revision := s.heardOf(topic); revision > 0 {
		return s.hear(ctx, topic, revision, 0, direct)
	}
	u, err := direct()
	if err != nil {
		return s.firstFromRelay(ctx, topic, err)
	}
	s.heard(topic, &u)
	return u, nil
}

// firstFromRelay asks a relay for a whole topic that the store did not list, so that a
// gateway that starts without a way to the store serves. It returns the store's error when
// no relay has news.
func (s *Store) firstFromRelay(ctx context.Context, topic forward.Topic, direct error) (forward.Update, error) {
	address := s.Relay()
	if address == "" || ctx.Err() != nil {
		return forward.Update{}, direct
	}
	s.failed(topic)
	u, err := s.watchAt(ctx, address, topic, 0, 0)
	switch {
	case err == nil && u.Full && s.heard(topic, &u):
		return u, nil
	case err != nil && ctx.Err() == nil:
		s.avoid(address, topic, err)
	}
	return forward.Update{}, direct
}

// heardOf returns the revision of the last answer about a topic, 0 if there was none.
func (s *Store) heardOf(topic forward.Topic) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[topic].revision
}

// Watch implements forward.Store.
func (s *Store) Watch(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration) (forward.Update, error) {
	return s.hear(ctx, topic, revision, wait, func() (forward.Update, error) { return s.Store.Watch(ctx, topic, revision, wait) })
}

// hear asks a relay, and the store when the relay has no news.
func (s *Store) hear(ctx context.Context, topic forward.Topic, revision int64, wait time.Duration, direct func() (forward.Update, error)) (forward.Update, error) {
	if address := s.Relay(); address != "" {
		u, err := s.watchAt(ctx, address, topic, revision, wait)
		switch {
		case err == nil && s.heard(topic, &u):
			return u, nil
		case ctx.Err() != nil:
			return forward.Update{}, ctx.Err()
		case err != nil && !errors.Is(err, errGap):
			s.avoid(address, topic, err)
		}
	}
	if s.justFailed(topic) {
		return forward.Update{}, errStoreAway
	}
	u, err := direct()
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, forward.ErrHistoryGone) {
			s.failed(topic)
		}
		return u, err
	}
	s.heard(topic, &u)
	return u, nil
}

// heard records an answer. It reports whether the answer is as new as those before.
func (s *Store) heard(topic forward.Topic, u *forward.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[topic]
	if u.Relayed && u.Revision < k.revision {
		return false
	}
	// The store may have been set back; what it says itself holds.
	s.known[topic] = known{revision: u.Revision}
	return true
}

func (s *Store) failed(topic forward.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[topic]
	k.failed = s.clock()
	s.known[topic] = k
}

// failing reports whether the store failed to answer since the last news of a topic.
func (s *Store) failing(topic forward.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[topic].failed > 0
}

func (s *Store) justFailed(topic forward.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := s.known[topic].failed
	return topic != forward.ConfigTopic && failed > 0 && s.clock()-failed < directPause
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
	s.locate(address, link.Remote.FailureDomain)
	u, err := ask(ctx, link, api.NewsParams{Topic: topic.String(), Revision: int(revision), WaitMs: int(wait.Milliseconds()), Whole: s.failing(topic)})
	if err != nil && ctx.Err() != nil {
		link.Close() // ends the questions about the other topics, which would wait in vain
	}
	return u, err
}

// silent reports whether a relay did not answer in time, rather than refuse.
func silent(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// Relay returns the relay that is asked now, or "" when the store is. It prefers one in this
// gateway's failure domain, then one whose failure domain is not known yet.
func (s *Store) Relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	best, distance := "", noRelay
	for _, r := range s.relays {
		if d := r.distance(s.domain); now >= r.until && d < distance {
			best, distance = r.address, d
		}
	}
	return best
}

// The distances of relays from a failure domain, in the order of preference.
const (
	ownDomain = iota
	unknownDomain
	otherDomain
	noRelay
)

func (r *relayState) distance(domain string) int {
	switch {
	case !r.located:
		return unknownDomain
	case r.domain == domain:
		return ownDomain
	}
	return otherDomain
}

// locate records the failure domain of a relay.
func (s *Store) locate(address, domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.relays {
		if r := &s.relays[i]; r.address == address {
			r.domain, r.located = domain, true
		}
	}
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
