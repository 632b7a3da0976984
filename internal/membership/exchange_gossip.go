package membership

import (
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	// digestBase is the JSON size of a digest that names only a revision, in bytes.
	digestBase = 48
	// watchersPerDigest bounds the watchers that one digest names.
	watchersPerDigest = 2
	// peersEvery is the least time between two rebuilds of the peer lists.
	peersEvery = 2 * time.Second
	// sendRate and sendBurst bound what one process sends beyond regular digests
	// without news, in bytes. Peers send it as much, so that both directions stay
	// below 5,000 bytes a second.
	sendRate  = 2000
	sendBurst = 2500
	// envelopeBytes is the size of the JSON-RPC fields around a digest.
	envelopeBytes = 70
	// demandLife is how long a figure of an entry counts.
	demandLife = 30 * time.Second
	// maxDemands and maxCutBacks bound what peers can make this process remember.
	maxDemands  = 4096
	maxCutBacks = 256
	// cutBackBudget bounds the cut-backs of one digest, in bytes.
	cutBackBudget = 1000
	// maxReason bounds the reason of a cut-back, in bytes.
	maxReason = 160
)

type demandKey struct{ origin, customer string }

type heldDemand struct {
	demand api.Demand
	at     time.Time
}

// gossipState is the part of Exchange that concerns digests.
type gossipState struct {
	next      time.Time
	hotNext   time.Time
	hotRounds int
	sent      int
	// tokens is the unused part of the send budget, in bytes.
	tokens     float64
	refilledAt time.Time

	local, remote, entries []Peer
	builtAt                time.Time
	builtFrom              uint64

	// ends are members that leave, hang or died; they go before other records,
	// because a large restart leaves a backlog of those for minutes.
	ends      rumors[string]
	members   rumors[string]
	cuts      rumors[string]
	figures   rumors[demandKey]
	cutBacks  map[string]api.CutBack
	demandsOf map[demandKey]heldDemand
}

func newGossipState() gossipState {
	return gossipState{
		ends:      newRumors[string](endSends),
		members:   newRumors[string](memberSends),
		cuts:      newRumors[string](cutBackSends),
		figures:   newRumors[demandKey](demandSends),
		cutBacks:  map[string]api.CutBack{},
		demandsOf: map[demandKey]heldDemand{},
	}
}

func (x *Exchange) tickGossip() {
	g := &x.gossip
	x.buildPeers()
	x.refill()
	if g.hotRounds > 0 && !x.now.Before(g.hotNext) && x.peerCount() > 0 {
		g.hotNext = x.now.Add(hotEvery)
		x.sendHot()
	}
	if x.now.Before(g.next) {
		return
	}
	every := x.cfg.DigestEvery
	if x.config.held == nil {
		every /= bootDigestFactor
	}
	g.next = x.now.Add(every)
	g.sent++
	if to, ok := x.digestPeer(); ok {
		x.emit(SendDigest{To: to, Digest: x.digest(to)})
	}
}

// push sends the news to a few peers at once and repeats that.
func (x *Exchange) push(rounds int) { x.gossip.hotRounds = max(x.gossip.hotRounds, rounds) }

// refill adds to the send budget what has accrued since the last tick.
func (x *Exchange) refill() {
	g := &x.gossip
	if g.refilledAt.IsZero() {
		g.tokens = sendBurst
	} else {
		g.tokens = min(sendBurst, g.tokens+sendRate*x.now.Sub(g.refilledAt).Seconds())
	}
	g.refilledAt = x.now
}

// sendHot sends digests without records to different peers, unless the budget is
// used up; the regular digests spread the news too.
func (x *Exchange) sendHot() {
	if x.gossip.tokens < hotPeers*(digestBase+envelopeBytes) {
		return
	}
	x.gossip.hotRounds--
	sent := map[Peer]bool{}
	for range 2 * hotPeers {
		to, ok := x.randomPeer()
		if !ok || len(sent) == hotPeers {
			return
		}
		if !sent[to] {
			sent[to] = true
			x.emit(SendDigest{To: to, Digest: x.newsDigest()})
		}
	}
}

func (x *Exchange) buildPeers() {
	g := &x.gossip
	if g.builtFrom == x.table.Version() && !g.builtAt.IsZero() {
		return
	}
	if x.now.Sub(g.builtAt) < peersEvery && len(g.local)+len(g.remote) > 0 {
		return
	}
	g.builtAt, g.builtFrom = x.now, x.table.Version()
	g.local, g.remote, g.entries = g.local[:0], g.remote[:0], g.entries[:0]
	at := x.now.UnixNano()
	for _, r := range x.table.order {
		address, domain, role := r.place()
		if address == "" || x.table.state(at, r) == api.MemberStateDead {
			continue
		}
		peer := Peer{Instance: r.name, Address: address}
		if domain == x.self.FailureDomain {
			g.local = append(g.local, peer)
		} else {
			g.remote = append(g.remote, peer)
		}
		if role == string(api.RoleEntry) {
			g.entries = append(g.entries, peer)
		}
	}
}

func (x *Exchange) peerCount() int {
	return len(x.gossip.local) + len(x.gossip.remote) + len(x.cfg.Seeds)
}

// digestPeer chooses the peer of a regular digest. An entry sends every second
// one to another entry, because only entries use the figures of demand.
func (x *Exchange) digestPeer() (Peer, bool) {
	entries := x.gossip.entries
	if x.isEntry() && x.gossip.sent%2 == 0 && len(entries) > 0 {
		return entries[x.rng.IntN(len(entries))], true
	}
	return x.randomPeer()
}

func (x *Exchange) randomPeer() (Peer, bool) {
	g := &x.gossip
	first, second := g.local, g.remote
	if x.rng.Float64() >= localShare {
		first, second = second, first
	}
	if len(first) == 0 {
		first = second
	}
	if len(first) > 0 {
		return first[x.rng.IntN(len(first))], true
	}
	if len(x.cfg.Seeds) > 0 {
		return Peer{Address: x.cfg.Seeds[x.rng.IntN(len(x.cfg.Seeds))]}, true
	}
	return Peer{}, false
}

func (x *Exchange) isEntry() bool { return x.self.Role == string(api.RoleEntry) }

// absorb takes what a peer's digest says.
func (x *Exchange) absorb(from Peer, d api.Digest) {
	x.heardOfWatchers(d.Watchers)
	for _, m := range d.Members {
		source := FromPeer
		if m.Instance == from.Instance {
			source = FromMember
		}
		x.learn(m, source)
	}
	for _, c := range d.CutBacks {
		x.cutBackLearned(c)
	}
	for _, figure := range d.Demands {
		x.demand(figure, true)
	}
	if d.Revision == (api.Revision{}) {
		// The peer is starting and missed the cut-backs in force.
		for version := range x.gossip.cutBacks {
			x.gossip.cuts.add(version)
		}
	}
	x.announced(from, d.Revision)
	x.releasePending()
}

// answerDigest answers in kind: a digest without records gets none.
func (x *Exchange) answerDigest(to Peer, d api.Digest) api.Digest {
	if len(d.Watchers) == 0 && len(d.Members) == 0 {
		return x.newsDigest()
	}
	return x.digest(to)
}

// newsDigest names only the revision and the cut-backs that are being spread.
func (x *Exchange) newsDigest() api.Digest {
	d := api.Digest{Revision: x.Revision()}
	// Cut-backs have a budget of their own: they are few and urgent.
	urgent := cutBackBudget
	for _, version := range x.gossip.cuts.take(&urgent, true, x.cutBackSize) {
		d.CutBacks = append(d.CutBacks, x.gossip.cutBacks[version])
	}
	x.gossip.tokens -= float64(digestBase + envelopeBytes + cutBackBudget - urgent)
	return d
}

// digest builds a regular digest. Member records and figures of demand fill what
// the bound of a digest and the send budget leave.
func (x *Exchange) digest(to Peer) api.Digest {
	d := x.newsDigest()
	d.Watchers = x.watcherAges()
	x.gossip.tokens -= float64(watcherBytes(d.Watchers))
	free := min(x.cfg.DigestBytes-digestBase-watcherBytes(d.Watchers), int(x.gossip.tokens))
	budget := free
	if budget <= 0 {
		return d
	}
	x.takeMembers(&d, &x.gossip.ends, &budget, false)
	if x.isEntry() && x.toEntry(to) {
		for _, key := range x.gossip.figures.take(&budget, false, x.demandSize) {
			d.Demands = append(d.Demands, x.gossip.demandsOf[key].demand)
		}
	}
	// A record larger than a whole digest goes when the send budget is full.
	alone := x.gossip.tokens >= sendBurst/2
	x.takeMembers(&d, &x.gossip.members, &budget, alone)
	x.gossip.tokens -= float64(free - budget)
	return d
}

func (x *Exchange) takeMembers(d *api.Digest, from *rumors[string], budget *int, alone bool) {
	for _, name := range from.take(budget, alone, x.memberSize) {
		if m, ok := x.memberRecord(name); ok {
			d.Members = append(d.Members, m)
		}
	}
}

// spread starts relaying a member's record.
func (x *Exchange) spread(m *api.Member) {
	if m.State == api.MemberStateReady || m.State == api.MemberStateBooting {
		x.gossip.members.add(m.Instance)
		return
	}
	x.gossip.ends.add(m.Instance)
}

func (x *Exchange) toEntry(to Peer) bool {
	r, ok := x.table.Get(x.now, to.Instance)
	return ok && r.Member.Role == string(api.RoleEntry)
}

// memberRecord returns a member's own word; what only the list says is not news.
func (x *Exchange) memberRecord(name string) (api.Member, bool) {
	if name == x.self.Instance {
		return x.self, x.self.Incarnation != 0
	}
	r, ok := x.table.Get(x.now, name)
	return r.Member, ok && r.Member.Incarnation != 0
}

func (x *Exchange) watcherAges() []api.WatcherAge {
	var ages []api.WatcherAge
	if x.store.watching {
		ages = append(ages, api.WatcherAge{Instance: x.self.Instance})
	}
	for _, name := range x.watchersByAge() {
		age := x.now.Sub(x.store.watchers[name])
		if len(ages) >= watchersPerDigest || age > x.cfg.WatchSilence {
			break
		}
		ages = append(ages, api.WatcherAge{Instance: name, AgeMs: int(age.Milliseconds())})
	}
	return ages
}

func (x *Exchange) cutBackDecided(c api.CutBack) {
	if len(c.Reason) > maxReason {
		c.Reason = c.Reason[:maxReason]
	}
	if x.mergeCutBack(c) {
		x.push(hotRounds)
	}
}

func (x *Exchange) cutBackLearned(c api.CutBack) {
	if len(c.Reason) <= maxReason && x.mergeCutBack(c) {
		x.emit(CutBackLearned{CutBack: c})
		x.push(hotRounds)
	}
}

// mergeCutBack keeps the cut-back of the higher revision, or of the lower share
// under the same one, and reports whether c was kept.
func (x *Exchange) mergeCutBack(c api.CutBack) bool {
	held, ok := x.gossip.cutBacks[c.Version]
	if ok && !manifest.Newer(c.Revision, held.Revision) && (c.Revision != held.Revision || c.Share >= held.Share) {
		return false
	}
	if !ok && len(x.gossip.cutBacks) >= maxCutBacks {
		return false
	}
	x.gossip.cutBacks[c.Version] = c
	x.gossip.cuts.add(c.Version)
	return true
}

// dropCutBacks forgets the versions that a new manifest does not hold.
func (x *Exchange) dropCutBacks(s *manifest.Snapshot) {
	for version, c := range x.gossip.cutBacks {
		if _, ok := s.Version(version); !ok && manifest.Newer(s.Revision, c.Revision) {
			delete(x.gossip.cutBacks, version)
		}
	}
}

// demand takes a figure of this entry or of another; sidecars keep none.
func (x *Exchange) demand(d api.Demand, learned bool) {
	if !x.isEntry() || learned && d.Origin == x.self.Instance {
		return
	}
	key := demandKey{origin: d.Origin, customer: d.Customer}
	held, ok := x.gossip.demandsOf[key]
	if ok && d.Sequence <= held.demand.Sequence || !ok && len(x.gossip.demandsOf) >= maxDemands {
		return
	}
	x.gossip.demandsOf[key] = heldDemand{demand: d, at: x.now}
	x.gossip.figures.add(key)
	if learned {
		x.emit(DemandLearned{Demand: d})
	}
}

func (x *Exchange) expireDemands() {
	for key, held := range x.gossip.demandsOf {
		if x.now.Sub(held.at) > demandLife {
			delete(x.gossip.demandsOf, key)
		}
	}
}
