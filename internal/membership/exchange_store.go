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
	// watchersPerDomain is the number of elected watchers in each failure domain.
	watchersPerDomain = 2
	// minPreferredWatchers is the number of active watchers with a lower rendezvous
	// hash at which an unelected watcher stops watching.
	minPreferredWatchers = 2
	// electionInterval is the interval between elections.
	electionInterval = time.Second
	// rankDelay and maxRankDelay stagger unelected processes by rank when no
	// watcher is active, so that the first ones become known before the others
	// start to watch too.
	rankDelay    = 250 * time.Millisecond
	maxRankDelay = 10 * time.Second
	// maxKnownWatchers bounds the number of remembered watchers.
	maxKnownWatchers = 16
	// minBackoff and maxBackoff bound the backoff after a failed store call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxWatcherBackoff replaces maxBackoff for watchers. It is below the 3 s
	// within which a change must be in force, so that the first change after an
	// outage meets that bound too. The few watchers then make about 8 calls a
	// second to a store that is down.
	maxWatcherBackoff = time.Second
	// callTimeout is added to the wait of a store call to get its deadline.
	callTimeout = 10 * time.Second
	// rereadInterval is the mean interval between plain reads by a watcher. A read
	// also detects that the object was deleted, which a watch does not.
	rereadInterval = time.Minute
	// unreachableAlarmDelay is how long a watcher's calls must fail before the
	// alarm is raised.
	unreachableAlarmDelay = 10 * time.Second
)

// storeState is the store access state of an Exchange.
type storeState struct {
	watching         bool
	elected          bool
	rank             int
	rankTableVersion uint64 // table version at which rank was computed
	nextElection     time.Time
	// watcherLastCalls holds, by instance name, when other watchers last called the
	// store.
	watcherLastCalls map[string]time.Time

	callInFlight bool
	callDeadline time.Time
	nextCall     time.Time
	nextRead     time.Time
	backoff      time.Duration

	// objectVersion is the version of the last object read; 0 if there is none.
	objectVersion int64
	reachable     bool
	failingSince  time.Time
	// staleReadSeen is set when a read returned a revision below the one in force.
	// A second read has to confirm it, because the first may have been answered
	// before the newer write.
	staleReadSeen bool
}

func (x *Exchange) tickStore() {
	s := &x.store
	if !x.now.Before(s.nextElection) {
		s.nextElection = x.now.Add(electionInterval)
		x.updateWatching()
	}
	if s.callInFlight && x.now.After(s.callDeadline) {
		x.handleStoreFailed(0)
	}
	if s.callInFlight || x.now.Before(s.nextCall) {
		return
	}
	switch {
	case x.config.current == nil && x.config.pending == nil:
		x.startCall(ReadStore{}, 0)
	case s.watching && (s.objectVersion == 0 || !x.now.Before(s.nextRead)):
		x.startCall(ReadStore{}, 0)
	case s.watching:
		x.startCall(WatchStore{After: s.objectVersion, Wait: x.cfg.MaxWatchWait}, x.cfg.MaxWatchWait)
	}
}

// startCall emits a store call and sets its deadline.
func (x *Exchange) startCall(effect ExchangeEffect, maxWait time.Duration) {
	x.store.callInFlight = true
	x.store.callDeadline = x.now.Add(maxWait + callTimeout)
	if _, ok := effect.(ReadStore); ok {
		x.store.nextRead = x.now.Add(x.jitter(rereadInterval))
	}
	x.emit(effect)
}

// recordStoreAnswer ends the call in flight and resets the backoff and the alarm.
func (x *Exchange) recordStoreAnswer() {
	s := &x.store
	s.callInFlight = false
	s.reachable = true
	s.failingSince = time.Time{}
	s.backoff = 0
	s.nextCall = x.now
	x.clearAlarm(AlarmStoreUnreachable)
}

// handleStoreFailed ends the call in flight and schedules the next one after a
// jittered exponential backoff, or after retryAfter if that is longer.
func (x *Exchange) handleStoreFailed(retryAfter time.Duration) {
	s := &x.store
	s.callInFlight = false
	s.reachable = false
	if s.failingSince.IsZero() {
		s.failingSince = x.now
	}
	limit := maxBackoff
	if s.watching {
		limit = maxWatcherBackoff
	}
	s.backoff = min(max(2*s.backoff, minBackoff), limit)
	s.nextCall = x.now.Add(max(x.jitter(s.backoff), retryAfter))
	if x.now.Sub(s.failingSince) >= unreachableAlarmDelay {
		x.raiseAlarm(AlarmStoreUnreachable, "calls to the store have failed since "+s.failingSince.UTC().Format(time.RFC3339))
	}
}

func (x *Exchange) handleStoreEmpty() {
	x.recordStoreAnswer()
	x.store.objectVersion = 0
	// There is no object to watch yet. Read again at the interval of failed calls.
	x.store.nextCall = x.now.Add(x.jitter(maxBackoff))
	if x.store.watching {
		x.store.nextCall = x.now.Add(x.jitter(minBackoff))
	}
	if x.config.current != nil {
		x.handleStaleRead("none")
	}
}

func (x *Exchange) handleStoreRead(o platform.Object) {
	x.recordStoreAnswer()
	x.store.objectVersion = o.Version
	revision := manifest.RevisionOf(o)
	if x.config.current == nil {
		if snapshot := x.compileIfNewer(revision, o.Value); snapshot != nil {
			x.config.pending = snapshot
			x.applyPendingIfReady()
		}
		return
	}
	if manifest.IsNewer(x.Revision(), revision) {
		x.handleStaleRead(fmt.Sprintf("%d.%d", revision.Generation, revision.Version))
		return
	}
	x.store.staleReadSeen = false
	x.clearAlarm(AlarmStoreRestored)
	x.applyIfNewer(revision, o.Value)
}

// handleStaleRead handles a read that returned an older revision than the one in
// force, or no object. The first such read is repeated; the second raises an alarm.
// The manifest in force stays.
func (x *Exchange) handleStaleRead(storedRevision string) {
	if !x.store.staleReadSeen {
		x.store.staleReadSeen = true
		x.startCall(ReadStore{}, 0)
		return
	}
	current := x.Revision()
	x.raiseAlarm(AlarmStoreRestored, fmt.Sprintf("revision in the store: %s; keeping the newer revision in force, %d.%d", storedRevision, current.Generation, current.Version))
}

// updateWatching decides whether this process watches the store. In each failure
// domain, the first two members by rank are elected. Other processes start watching
// when no watcher has called the store for some time, and stop when enough others
// watch.
func (x *Exchange) updateWatching() {
	s := &x.store
	if version := x.table.Version(); version != s.rankTableVersion {
		s.rank, s.rankTableVersion = x.rankInDomain(), version
	}
	s.elected = x.instanceListReceived && s.rank < watchersPerDomain && !x.isStopping()
	timeout := x.cfg.WatcherTimeout + min(time.Duration(s.rank)*rankDelay, maxRankDelay)
	switch {
	case x.isStopping():
		s.watching = false
	case s.elected || x.now.Sub(x.lastWatcherCall()) > timeout:
		s.watching = true
	case s.watching && x.countPreferredWatchers() >= minPreferredWatchers:
		s.watching = false
	}
	if !s.watching {
		// A process that does not call the store cannot detect its recovery.
		x.clearAlarm(AlarmStoreUnreachable)
	}
}

func (x *Exchange) isStopping() bool {
	return x.self.State == api.MemberStateLeaving || x.self.State == api.MemberStateDead
}

// rankInDomain returns the number of running members in this failure domain that
// precede this process. Entries precede sidecars, because entries serve the status
// endpoint; members of the same role are ordered by rendezvous hash.
func (x *Exchange) rankInDomain() int {
	at := x.now.UnixNano()
	selfHash := rendezvousHash(x.self.Instance)
	rank := 0
	for _, r := range x.table.ordered {
		_, domain, role := r.peerAttributes()
		if domain != x.self.FailureDomain || isTerminal(x.table.effectiveState(at, r)) {
			continue
		}
		isEntry := role == string(api.RoleEntry)
		if isEntry == x.isEntry() && rendezvousHash(r.name) < selfHash || isEntry && !x.isEntry() {
			rank++
		}
	}
	return rank
}

func rendezvousHash(instance string) uint64 { return xxhash.Sum64String("store watcher " + instance) }

// lastWatcherCall returns the time of the most recent store call by another
// watcher, or the start time of this process if that is later.
func (x *Exchange) lastWatcherCall() time.Time {
	last := x.startedAt
	for _, at := range x.store.watcherLastCalls {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// countPreferredWatchers returns the number of other active watchers with a lower
// rendezvous hash than this process.
func (x *Exchange) countPreferredWatchers() int {
	count := 0
	for name, at := range x.store.watcherLastCalls {
		if x.now.Sub(at) <= x.cfg.WatcherTimeout && rendezvousHash(name) < rendezvousHash(x.self.Instance) {
			count++
		}
	}
	return count
}

// recordWatchers records the watchers listed in a digest.
func (x *Exchange) recordWatchers(ages []api.WatcherAge) {
	for _, w := range ages {
		at := x.now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
		if w.Instance == x.self.Instance || w.AgeMs < 0 || x.now.Sub(at) > x.cfg.WatcherTimeout {
			continue
		}
		if at.After(x.store.watcherLastCalls[w.Instance]) {
			x.store.watcherLastCalls[w.Instance] = at
		}
	}
	for len(x.store.watcherLastCalls) > maxKnownWatchers {
		names := x.watchersByAge()
		delete(x.store.watcherLastCalls, names[len(names)-1])
	}
}

// watchersByAge returns the names of the known watchers, most recent call first.
func (x *Exchange) watchersByAge() []string {
	names := make([]string, 0, len(x.store.watcherLastCalls))
	for name := range x.store.watcherLastCalls {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := x.store.watcherLastCalls[b].Compare(x.store.watcherLastCalls[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return names
}
