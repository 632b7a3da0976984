package membership

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	// emptyDigestBytes is the JSON size of a digest that holds only a revision.
	emptyDigestBytes = 48
	// maxWatchersPerDigest bounds the number of watchers listed in one digest.
	maxWatchersPerDigest = 2
	// minPeerRebuildInterval is the minimum interval between rebuilds of the peer
	// lists.
	minPeerRebuildInterval = 2 * time.Second
	// sendBytesPerSecond and sendBurstBytes limit what a process sends, apart from
	// regular digests without updates. Its peers send it about as much, so sent and
	// received bytes together stay below 5,000 a second.
	sendBytesPerSecond = 2000
	sendBurstBytes     = 2500
	// envelopeBytes is the size of the JSON-RPC fields around a digest.
	envelopeBytes = 70
	// demandTTL is how long a demand measurement is kept after it was received.
	demandTTL = 30 * time.Second
	// maxDemands and maxCutBacks bound the number of stored items that peers can
	// cause.
	maxDemands  = 4096
	maxCutBacks = 256
	// cutBackBudgetBytes bounds the size of all cut-backs in one digest.
	cutBackBudgetBytes = 1000
	// maxReasonBytes bounds the length of a cut-back's reason.
	maxReasonBytes = 160
)

type demandKey struct{ origin, customer string }

type storedDemand struct {
	demand     api.Demand
	receivedAt time.Time
}

// gossipState is the digest and relay state of an Exchange.
type gossipState struct {
	nextDigest  time.Time
	nextPush    time.Time
	pushesLeft  int
	digestsSent int
	// budgetBytes is the remaining send budget, a token bucket in bytes. A digest
	// may overdraw it.
	budgetBytes      float64
	budgetRefilledAt time.Time

	// localPeers are in this process's failure domain and remotePeers in the other
	// ones. entryPeers are the entries of both lists.
	localPeers, remotePeers, entryPeers []Peer
	peersBuiltAt                        time.Time
	// peersTableVersion is the table version from which the peer lists were built.
	peersTableVersion uint64

	// priorityMemberQueue holds members that are leaving, wedged or dead. They are
	// sent before other records, because a large restart leaves a backlog of those
	// for minutes.
	priorityMemberQueue relayQueue[string]
	memberQueue         relayQueue[string]
	cutBackQueue        relayQueue[string]
	demandQueue         relayQueue[demandKey]
	cutBacks            map[string]api.CutBack
	demands             map[demandKey]storedDemand
}

func newGossipState() gossipState {
	return gossipState{
		priorityMemberQueue: newRelayQueue[string](maxPriorityMemberSends),
		memberQueue:         newRelayQueue[string](maxMemberSends),
		cutBackQueue:        newRelayQueue[string](maxCutBackSends),
		demandQueue:         newRelayQueue[demandKey](maxDemandSends),
		cutBacks:            map[string]api.CutBack{},
		demands:             map[demandKey]storedDemand{},
	}
}

func (x *Exchange) tickGossip() {
	g := &x.gossip
	x.rebuildPeers()
	x.refillBudget()
	if g.pushesLeft > 0 && !x.now.Before(g.nextPush) && x.peerCount() > 0 {
		g.nextPush = x.now.Add(updatePushInterval)
		x.pushUpdate()
	}
	if x.now.Before(g.nextDigest) {
		return
	}
	interval := x.cfg.DigestInterval
	if x.config.current == nil {
		interval /= bootDigestFactor
	}
	g.nextDigest = x.now.Add(interval)
	g.digestsSent++
	if to, ok := x.digestPeer(); ok {
		x.emit(SendDigest{To: to, Digest: x.fullDigest(to)})
	}
}

// schedulePushes schedules at least the given number of pushes to a few peers each.
func (x *Exchange) schedulePushes(rounds int) { x.gossip.pushesLeft = max(x.gossip.pushesLeft, rounds) }

// refillBudget adds the bytes accrued since the last tick to the send budget.
func (x *Exchange) refillBudget() {
	g := &x.gossip
	if g.budgetRefilledAt.IsZero() {
		g.budgetBytes = sendBurstBytes
	} else {
		g.budgetBytes = min(sendBurstBytes, g.budgetBytes+sendBytesPerSecond*x.now.Sub(g.budgetRefilledAt).Seconds())
	}
	g.budgetRefilledAt = x.now
}

// pushUpdate sends digests without member records to updatePushPeers distinct
// peers. It does nothing while the send budget is too low; regular digests carry
// the update too.
func (x *Exchange) pushUpdate() {
	if x.gossip.budgetBytes < updatePushPeers*(emptyDigestBytes+envelopeBytes) {
		return
	}
	x.gossip.pushesLeft--
	sent := map[Peer]bool{}
	for range 2 * updatePushPeers {
		to, ok := x.randomPeer()
		if !ok || len(sent) == updatePushPeers {
			return
		}
		if !sent[to] {
			sent[to] = true
			x.emit(SendDigest{To: to, Digest: x.compactDigest()})
		}
	}
}

// rebuildPeers rebuilds the peer lists from the table if the table changed, at most
// once per minPeerRebuildInterval unless the lists are empty.
func (x *Exchange) rebuildPeers() {
	g := &x.gossip
	if g.peersTableVersion == x.table.Version() && !g.peersBuiltAt.IsZero() {
		return
	}
	if x.now.Sub(g.peersBuiltAt) < minPeerRebuildInterval && len(g.localPeers)+len(g.remotePeers) > 0 {
		return
	}
	g.peersBuiltAt, g.peersTableVersion = x.now, x.table.Version()
	g.localPeers, g.remotePeers, g.entryPeers = g.localPeers[:0], g.remotePeers[:0], g.entryPeers[:0]
	at := x.now.UnixNano()
	for _, r := range x.table.ordered {
		address, domain, role := r.peerAttributes()
		if address == "" || x.table.effectiveState(at, r) == api.MemberStateDead {
			continue
		}
		peer := Peer{Instance: r.name, Address: address}
		if domain == x.self.FailureDomain {
			g.localPeers = append(g.localPeers, peer)
		} else {
			g.remotePeers = append(g.remotePeers, peer)
		}
		if role == string(api.RoleEntry) {
			g.entryPeers = append(g.entryPeers, peer)
		}
	}
}

func (x *Exchange) peerCount() int {
	return len(x.gossip.localPeers) + len(x.gossip.remotePeers) + len(x.cfg.Seeds)
}

// digestPeer returns the target of a regular digest. An entry sends every second
// digest to another entry, because only entries use demand measurements.
func (x *Exchange) digestPeer() (Peer, bool) {
	entries := x.gossip.entryPeers
	if x.isEntry() && x.gossip.digestsSent%2 == 0 && len(entries) > 0 {
		return entries[x.rng.IntN(len(entries))], true
	}
	return x.randomPeer()
}

// randomPeer returns a random peer, from the same failure domain with probability
// sameDomainShare. It falls back to the other list and then to the seeds.
func (x *Exchange) randomPeer() (Peer, bool) {
	g := &x.gossip
	preferred, fallback := g.localPeers, g.remotePeers
	if x.rng.Float64() >= sameDomainShare {
		preferred, fallback = fallback, preferred
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	if len(preferred) > 0 {
		return preferred[x.rng.IntN(len(preferred))], true
	}
	if len(x.cfg.Seeds) > 0 {
		return Peer{Address: x.cfg.Seeds[x.rng.IntN(len(x.cfg.Seeds))]}, true
	}
	return Peer{}, false
}

func (x *Exchange) isEntry() bool { return x.self.Role == string(api.RoleEntry) }

// applyDigest merges the contents of a peer's digest.
func (x *Exchange) applyDigest(from Peer, d api.Digest) {
	x.recordWatchers(d.Watchers)
	for _, m := range d.Members {
		source := FromPeer
		if m.Instance == from.Instance {
			source = FromMember
		}
		x.mergeMember(m, source)
	}
	for _, c := range d.CutBacks {
		x.addPeerCutBack(c)
	}
	for _, demand := range d.Demands {
		x.recordDemand(demand, true)
	}
	if d.Revision == (api.Revision{}) {
		// The peer is starting and has not received the cut-backs in force.
		for version := range x.gossip.cutBacks {
			x.gossip.cutBackQueue.add(version)
		}
	}
	x.handleAnnouncedRevision(from, d.Revision)
	x.applyPendingIfReady()
}

// answerDigest returns the response to a digest. A digest without watchers and
// member records is answered without them.
func (x *Exchange) answerDigest(to Peer, d api.Digest) api.Digest {
	if len(d.Watchers) == 0 && len(d.Members) == 0 {
		return x.compactDigest()
	}
	return x.fullDigest(to)
}

// compactDigest returns a digest that holds only the revision and the cut-backs that
// are being relayed.
func (x *Exchange) compactDigest() api.Digest {
	d := api.Digest{Revision: x.Revision()}
	// Cut-backs have a separate budget because they are few and urgent.
	cutBackBytesLeft := cutBackBudgetBytes
	for _, version := range x.gossip.cutBackQueue.dequeue(&cutBackBytesLeft, true, x.cutBackSizeByVersion) {
		d.CutBacks = append(d.CutBacks, x.gossip.cutBacks[version])
	}
	x.gossip.budgetBytes -= float64(emptyDigestBytes + envelopeBytes + cutBackBudgetBytes - cutBackBytesLeft)
	return d
}

// fullDigest returns a regular digest. Watchers are always included; member records
// and demand measurements are added up to the digest size limit and the send
// budget.
func (x *Exchange) fullDigest(to Peer) api.Digest {
	d := x.compactDigest()
	d.Watchers = x.watcherAges()
	x.gossip.budgetBytes -= float64(watcherBytes(d.Watchers))
	free := min(x.cfg.MaxDigestBytes-emptyDigestBytes-watcherBytes(d.Watchers), int(x.gossip.budgetBytes))
	budget := free
	if budget <= 0 {
		return d
	}
	x.appendMembers(&d, &x.gossip.priorityMemberQueue, &budget, false)
	if x.isEntry() && x.isEntryPeer(to) {
		for _, key := range x.gossip.demandQueue.dequeue(&budget, false, x.demandSizeByKey) {
			d.Demands = append(d.Demands, x.gossip.demands[key].demand)
		}
	}
	// A record larger than a whole digest is sent only while at least half of the
	// send burst is available.
	allowOversized := x.gossip.budgetBytes >= sendBurstBytes/2
	x.appendMembers(&d, &x.gossip.memberQueue, &budget, allowOversized)
	x.gossip.budgetBytes -= float64(free - budget)
	return d
}

// appendMembers moves member records from a queue into the digest while the budget
// lasts.
func (x *Exchange) appendMembers(d *api.Digest, queue *relayQueue[string], budget *int, allowOversized bool) {
	for _, name := range queue.dequeue(budget, allowOversized, x.memberSizeByName) {
		if m, ok := x.memberRecord(name); ok {
			d.Members = append(d.Members, m)
		}
	}
}

// relayMember queues a member's record for relaying.
func (x *Exchange) relayMember(m *api.Member) {
	if m.State == api.MemberStateReady || m.State == api.MemberStateBooting {
		x.gossip.memberQueue.add(m.Instance)
		return
	}
	x.gossip.priorityMemberQueue.add(m.Instance)
}

func (x *Exchange) isEntryPeer(to Peer) bool {
	r, ok := x.table.Get(x.now, to.Instance)
	return ok && r.Member.Role == string(api.RoleEntry)
}

// memberRecord returns the record that a member issued itself. It returns false for
// a member known only from the instance list, because peers read that list too.
func (x *Exchange) memberRecord(name string) (api.Member, bool) {
	if name == x.self.Instance {
		return x.self, x.self.Incarnation != 0
	}
	r, ok := x.table.Get(x.now, name)
	return r.Member, ok && r.Member.Incarnation != 0
}

// watcherAges returns the most recent watchers, this process first if it is one,
// with the time since their last store call.
func (x *Exchange) watcherAges() []api.WatcherAge {
	var ages []api.WatcherAge
	if x.store.watching {
		ages = append(ages, api.WatcherAge{Instance: x.self.Instance})
	}
	for _, name := range x.watchersByAge() {
		age := x.now.Sub(x.store.watcherLastCalls[name])
		if len(ages) >= maxWatchersPerDigest || age > x.cfg.WatcherTimeout {
			break
		}
		ages = append(ages, api.WatcherAge{Instance: name, AgeMs: int(age.Milliseconds())})
	}
	return ages
}

// addLocalCutBack stores and relays a cut-back of this process, with its reason
// truncated to maxReasonBytes.
func (x *Exchange) addLocalCutBack(c api.CutBack) {
	if len(c.Reason) > maxReasonBytes {
		c.Reason = c.Reason[:maxReasonBytes]
	}
	if x.mergeCutBack(c) {
		x.schedulePushes(updatePushes)
	}
}

func (x *Exchange) addPeerCutBack(c api.CutBack) {
	if len(c.Reason) <= maxReasonBytes && x.mergeCutBack(c) {
		x.emit(CutBackReceived{CutBack: c})
		x.schedulePushes(updatePushes)
	}
}

// mergeCutBack stores a cut-back if it has a higher revision than the stored one of
// its version, or the same revision and a lower share. It reports whether the
// cut-back was stored.
func (x *Exchange) mergeCutBack(c api.CutBack) bool {
	stored, ok := x.gossip.cutBacks[c.Version]
	if ok && !manifest.IsNewer(c.Revision, stored.Revision) && (c.Revision != stored.Revision || c.Share >= stored.Share) {
		return false
	}
	if !ok && len(x.gossip.cutBacks) >= maxCutBacks {
		return false
	}
	x.gossip.cutBacks[c.Version] = c
	x.gossip.cutBackQueue.add(c.Version)
	return true
}

// dropObsoleteCutBacks deletes cut-backs of versions that a newer manifest no
// longer contains.
func (x *Exchange) dropObsoleteCutBacks(s *manifest.Snapshot) {
	for version, c := range x.gossip.cutBacks {
		if _, ok := s.Version(version); !ok && manifest.IsNewer(s.Revision, c.Revision) {
			delete(x.gossip.cutBacks, version)
		}
	}
}

// recordDemand stores and relays a demand measurement of this entry or of another
// one. Sidecars store none.
func (x *Exchange) recordDemand(d api.Demand, fromPeer bool) {
	if !x.isEntry() || fromPeer && d.Origin == x.self.Instance {
		return
	}
	key := demandKey{origin: d.Origin, customer: d.Customer}
	stored, ok := x.gossip.demands[key]
	if ok && d.Sequence <= stored.demand.Sequence || !ok && len(x.gossip.demands) >= maxDemands {
		return
	}
	x.gossip.demands[key] = storedDemand{demand: d, receivedAt: x.now}
	x.gossip.demandQueue.add(key)
	if fromPeer {
		x.emit(DemandReceived{Demand: d})
	}
}

func (x *Exchange) dropExpiredDemands() {
	for key, stored := range x.gossip.demands {
		if x.now.Sub(stored.receivedAt) > demandTTL {
			delete(x.gossip.demands, key)
		}
	}
}
