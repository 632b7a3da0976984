package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/platform"
)

const (
	// watchersPerDomain is the number of elected watchers of a failure domain.
	watchersPerDomain = 2
	// enoughWatchers is the number of better placed watchers at which a process
	// that appointed itself stops.
	enoughWatchers = 2
	// electEvery is the time between two elections.
	electEvery = time.Second
	// rankDelay and maxRankDelay stagger self-appointment by rank, so that the
	// first to appoint themselves are heard of before the others would.
	rankDelay    = 250 * time.Millisecond
	maxRankDelay = 10 * time.Second
	// maxWatchersKnown bounds the remembered watchers.
	maxWatchersKnown = 16
	// minBackoff and maxBackoff bound the wait after a failed store call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// watcherBackoff is maxBackoff of a watcher. It is below the 3 s in which a
	// change is in force, so that the first one after an outage is too; the few
	// watchers cost a store that is down some 8 calls a second.
	watcherBackoff = time.Second
	// readTimeout is added to the wait of a call before its answer counts as lost.
	readTimeout = 10 * time.Second
	// rereadEvery is the time between plain reads by a watcher. A read also shows
	// that the object is gone, which a watch does not.
	rereadEvery = time.Minute
	// unreachableAfter is how long a watcher's calls fail before the alarm.
	unreachableAfter = 10 * time.Second
)

// storeState is the part of Exchange that concerns the store.
type storeState struct {
	watching  bool
	elected   bool
	rank      int
	rankedAt  uint64 // table version at which rank was computed
	nextElect time.Time
	// watchers holds when other watchers last called the store.
	watchers map[string]time.Time

	calling   bool
	callUntil time.Time
	nextCall  time.Time
	nextRead  time.Time
	backoff   time.Duration

	// version is the object version last read.
	version      int64
	reachable    bool
	failingSince time.Time
	// doubted is set when a read showed a revision below the one in force. A second
	// read confirms it: the first may have been answered before the newer write.
	doubted bool
}

func (x *Exchange) tickStore() {
	s := &x.store
	if !x.now.Before(s.nextElect) {
		s.nextElect = x.now.Add(electEvery)
		x.elect()
	}
	if s.calling && x.now.After(s.callUntil) {
		x.storeFailed(0)
	}
	if s.calling || x.now.Before(s.nextCall) {
		return
	}
	switch {
	case x.config.held == nil && x.config.pending == nil:
		x.call(ReadStore{}, 0)
	case s.watching && (s.version == 0 || !x.now.Before(s.nextRead)):
		x.call(ReadStore{}, 0)
	case s.watching:
		x.call(WatchStore{After: s.version, Wait: x.cfg.WatchWait}, x.cfg.WatchWait)
	}
}

func (x *Exchange) call(effect ExchangeEffect, wait time.Duration) {
	x.store.calling = true
	x.store.callUntil = x.now.Add(wait + readTimeout)
	if _, ok := effect.(ReadStore); ok {
		x.store.nextRead = x.now.Add(x.jitter(rereadEvery))
	}
	x.emit(effect)
}

func (x *Exchange) storeAnswered() {
	s := &x.store
	s.calling = false
	s.reachable = true
	s.failingSince = time.Time{}
	s.backoff = 0
	s.nextCall = x.now
	x.clear(AlarmStoreUnreachable)
}

func (x *Exchange) storeFailed(retryAfter time.Duration) {
	s := &x.store
	s.calling = false
	s.reachable = false
	if s.failingSince.IsZero() {
		s.failingSince = x.now
	}
	limit := maxBackoff
	if s.watching {
		limit = watcherBackoff
	}
	s.backoff = min(max(2*s.backoff, minBackoff), limit)
	s.nextCall = x.now.Add(max(x.jitter(s.backoff), retryAfter))
	if x.now.Sub(s.failingSince) >= unreachableAfter {
		x.raise(AlarmStoreUnreachable, "calls to the store have failed since "+s.failingSince.UTC().Format(time.RFC3339))
	}
}

func (x *Exchange) storeEmpty() {
	x.storeAnswered()
	x.store.version = 0
	// Nothing is there to watch yet; read again at the pace of failed calls.
	x.store.nextCall = x.now.Add(x.jitter(maxBackoff))
	if x.store.watching {
		x.store.nextCall = x.now.Add(x.jitter(minBackoff))
	}
	if x.config.held != nil {
		x.doubt("none")
	}
}

func (x *Exchange) storeRead(o platform.Object) {
	x.storeAnswered()
	x.store.version = o.Version
	revision := manifest.RevisionOf(o)
	if x.config.held == nil {
		if snapshot := x.compile(revision, o.Value); snapshot != nil {
			x.config.pending = snapshot
			x.releasePending()
		}
		return
	}
	if manifest.Newer(x.Revision(), revision) {
		x.doubt(fmt.Sprintf("%d.%d", revision.Generation, revision.Version))
		return
	}
	x.store.doubted = false
	x.clear(AlarmStoreRestored)
	x.consider(revision, o.Value)
}

// doubt handles a read of less than what is in force. It changes nothing but the
// alarm.
func (x *Exchange) doubt(found string) {
	if !x.store.doubted {
		x.store.doubted = true
		x.call(ReadStore{}, 0)
		return
	}
	held := x.Revision()
	x.raise(AlarmStoreRestored, fmt.Sprintf("store holds revision %s, in force is %d.%d", found, held.Generation, held.Version))
}

// elect decides whether this process watches the store. The first two of each
// failure domain in rendezvous order do, entries before sidecars because status
// is read there. Others do while no watcher is heard of.
func (x *Exchange) elect() {
	s := &x.store
	if version := x.table.Version(); version != s.rankedAt {
		s.rank, s.rankedAt = x.rankInDomain(), version
	}
	s.elected = x.listSeen && s.rank < watchersPerDomain && !x.ending()
	silence := x.cfg.WatchSilence + min(time.Duration(s.rank)*rankDelay, maxRankDelay)
	switch {
	case x.ending():
		s.watching = false
	case s.elected || x.now.Sub(x.lastWatcher()) > silence:
		s.watching = true
	case s.watching && x.betterWatchers() >= enoughWatchers:
		s.watching = false
	}
	if !s.watching {
		// Only a watcher's calls tell when the store is back.
		x.clear(AlarmStoreUnreachable)
	}
}

func (x *Exchange) ending() bool {
	return x.self.State == api.MemberStateLeaving || x.self.State == api.MemberStateDead
}

// rankInDomain counts the members of this failure domain that come before this
// process: entries first, then in the order of the hash.
func (x *Exchange) rankInDomain() int {
	at := x.now.UnixNano()
	own := orderOf(x.self.Instance)
	rank := 0
	for _, r := range x.table.order {
		_, domain, role := r.place()
		if domain != x.self.FailureDomain || ended(x.table.state(at, r)) {
			continue
		}
		entry := role == string(api.RoleEntry)
		if entry == x.isEntry() && orderOf(r.name) < own || entry && !x.isEntry() {
			rank++
		}
	}
	return rank
}

func orderOf(instance string) uint64 { return xxhash.Sum64String("store watcher " + instance) }

// lastWatcher returns when another watcher last called the store, or the start
// of this process.
func (x *Exchange) lastWatcher() time.Time {
	last := x.started
	for _, at := range x.store.watchers {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (x *Exchange) betterWatchers() int {
	count := 0
	for name, at := range x.store.watchers {
		if x.now.Sub(at) <= x.cfg.WatchSilence && orderOf(name) < orderOf(x.self.Instance) {
			count++
		}
	}
	return count
}

// heardOfWatchers takes the watchers that a digest names.
func (x *Exchange) heardOfWatchers(ages []api.WatcherAge) {
	for _, w := range ages {
		at := x.now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
		if w.Instance == x.self.Instance || w.AgeMs < 0 || x.now.Sub(at) > x.cfg.WatchSilence {
			continue
		}
		if at.After(x.store.watchers[w.Instance]) {
			x.store.watchers[w.Instance] = at
		}
	}
	for len(x.store.watchers) > maxWatchersKnown {
		names := x.watchersByAge()
		delete(x.store.watchers, names[len(names)-1])
	}
}

// watchersByAge returns the known watchers, the most recent first.
func (x *Exchange) watchersByAge() []string {
	names := make([]string, 0, len(x.store.watchers))
	for name := range x.store.watchers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := x.store.watchers[b].Compare(x.store.watchers[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return names
}
