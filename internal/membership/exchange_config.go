package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

const (
	// maxRejected bounds the number of remembered rejected manifests.
	maxRejected = 8
	// maxHolders bounds the number of remembered peers that announced the wanted
	// revision.
	maxHolders = 8
	// maxFetchAttempts is the number of attempts after which a fetch is given up.
	// The next digest that announces the revision starts it again.
	maxFetchAttempts = 40
	// maxBootTimeouts is the number of boot timeouts after which a starting process
	// applies the store's manifest even though a peer announced a newer revision
	// that no peer delivered.
	maxBootTimeouts = 4
)

// rejection records a manifest that failed validation.
type rejection struct {
	api.RejectedManifest
	// contentHash is the hash of the manifest. After a rollback of the store, a
	// different manifest may get the same revision.
	contentHash uint64
	// confirmedByPeer is set once a peer delivered the same content. Until then, a
	// peer that announces the revision may hold a different manifest under it.
	confirmedByPeer bool
}

// configState is the manifest state of an Exchange.
type configState struct {
	// current is the snapshot in force; nil if there is none.
	current *manifest.Snapshot
	// pending is the manifest that the store returned at startup. It is held back
	// until a peer has announced a revision or a timeout has passed, because a
	// restored store may hold an older manifest than the peers.
	pending *manifest.Snapshot
	// peerHasManifest is set once a peer announced or delivered a revision.
	peerHasManifest bool
	rejected        []rejection

	// wantedRevision is the highest applicable revision that a peer announced, and
	// holders are the peers that announced it.
	wantedRevision api.Revision
	holders        []Peer
	fetchAttempts  int
	fetchDeadline  time.Time
}

// handleAnnouncedRevision records that a peer holds a revision and fetches the
// revision if it is applicable.
func (x *Exchange) handleAnnouncedRevision(from Peer, revision api.Revision) {
	c := &x.config
	if revision == (api.Revision{}) {
		return
	}
	c.peerHasManifest = true
	if !x.isApplicable(revision) || manifest.IsNewer(c.wantedRevision, revision) {
		return
	}
	if manifest.IsNewer(revision, c.wantedRevision) {
		c.wantedRevision = revision
		c.holders = c.holders[:0]
		c.fetchAttempts = 0
	}
	if !slices.Contains(c.holders, from) {
		if len(c.holders) >= maxHolders {
			c.holders = c.holders[1:]
		}
		c.holders = append(c.holders, from)
	}
	x.fetchWanted()
}

// isApplicable reports whether a revision is newer than the one in force and no
// peer has confirmed it to be invalid.
func (x *Exchange) isApplicable(revision api.Revision) bool {
	r := x.findRejection(revision)
	return manifest.IsNewer(revision, x.Revision()) && (r == nil || !r.confirmedByPeer)
}

func (x *Exchange) findRejection(revision api.Revision) *rejection {
	for i := range x.config.rejected {
		if x.config.rejected[i].Revision == revision {
			return &x.config.rejected[i]
		}
	}
	return nil
}

// fetchWanted requests the wanted revision from a random holder unless a fetch is
// in flight. From the second attempt on it asks two holders, because the first one
// did not answer.
func (x *Exchange) fetchWanted() {
	c := &x.config
	if len(c.holders) == 0 || !x.isApplicable(c.wantedRevision) || x.now.Before(c.fetchDeadline) {
		return
	}
	if c.fetchAttempts >= maxFetchAttempts {
		c.wantedRevision, c.holders, c.fetchAttempts = api.Revision{}, c.holders[:0], 0
		return
	}
	first := x.rng.IntN(len(c.holders))
	x.emit(FetchConfig{From: c.holders[first]})
	if c.fetchAttempts > 0 && len(c.holders) > 1 {
		x.emit(FetchConfig{From: c.holders[(first+1)%len(c.holders)]})
	}
	c.fetchAttempts++
	c.fetchDeadline = x.now.Add(x.cfg.FetchTimeout)
}

func (x *Exchange) tickConfig() {
	x.fetchWanted()
	x.applyPendingIfReady()
}

func (x *Exchange) handleConfigReceived(e ConfigReceived) {
	x.config.peerHasManifest = true
	x.config.fetchDeadline = x.now
	x.applyIfNewer(e.Offer.Revision, e.Offer.Manifest)
	if r := x.findRejection(e.Offer.Revision); r != nil && r.contentHash == xxhash.Sum64(e.Offer.Manifest) {
		r.confirmedByPeer = true
	}
	x.fetchWanted()
}

func (x *Exchange) answerConfig(to Peer) {
	if x.config.current != nil {
		x.emit(AnswerConfig{To: to, Offer: newConfigOffer(x.config.current)})
	}
}

// applyIfNewer applies a manifest if it is valid and newer than the one in force.
func (x *Exchange) applyIfNewer(revision api.Revision, raw []byte) {
	if snapshot := x.compileIfNewer(revision, raw); snapshot != nil {
		x.applySnapshot(snapshot)
	}
}

// compileIfNewer compiles a manifest. It returns nil if the manifest is invalid or
// not newer than the one in force. Invalid manifests are remembered and not
// compiled again.
func (x *Exchange) compileIfNewer(revision api.Revision, raw []byte) *manifest.Snapshot {
	if !manifest.IsNewer(revision, x.Revision()) {
		return nil
	}
	content := xxhash.Sum64(raw)
	if r := x.findRejection(revision); r != nil && r.contentHash == content {
		return nil
	}
	snapshot, err := x.cfg.Compile(raw, revision)
	if err == nil {
		return snapshot
	}
	x.recordRejection(rejection{
		RejectedManifest: api.RejectedManifest{Revision: revision, Reasons: rejectionReasons(err)},
		contentHash:      content,
	})
	return nil
}

func (x *Exchange) recordRejection(r rejection) {
	c := &x.config
	c.rejected = slices.DeleteFunc(c.rejected, func(old rejection) bool { return old.Revision == r.Revision })
	if len(c.rejected) >= maxRejected {
		c.rejected = c.rejected[1:]
	}
	c.rejected = append(c.rejected, r)
	x.emit(RejectConfig{Rejected: r.RejectedManifest})
	x.raiseAlarm(AlarmManifestRejected, fmt.Sprintf("manifest %d.%d is invalid: %s", r.Revision.Generation, r.Revision.Version, r.Reasons[0]))
}

// rejectionReasons returns one text per fault of a failed validation.
func rejectionReasons(err error) []string {
	var faults schemacheck.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		return []string{err.Error()}
	}
	out := make([]string, len(faults))
	for i, fault := range faults {
		out[i] = fault.String()
	}
	return out
}

func (x *Exchange) applySnapshot(snapshot *manifest.Snapshot) {
	c := &x.config
	c.current = snapshot
	if c.pending != nil && manifest.IsNewer(snapshot.Revision, c.pending.Revision) {
		// The store may hold an older manifest than the peers. A read finds out.
		x.store.nextRead = x.now
	}
	c.pending = nil
	if !x.hasRejectedAbove(snapshot.Revision) {
		x.clearAlarm(AlarmManifestRejected)
	}
	x.dropObsoleteCutBacks(snapshot)
	x.emit(ApplyConfig{Snapshot: snapshot})
	x.schedulePushes(updatePushes)
}

// hasRejectedAbove reports whether a manifest newer than revision was rejected.
func (x *Exchange) hasRejectedAbove(revision api.Revision) bool {
	return slices.ContainsFunc(x.config.rejected, func(r rejection) bool {
		return manifest.IsNewer(r.Revision, revision)
	})
}

// applyPendingIfReady applies the pending manifest when a peer has announced a
// revision that is not newer, when no peer has answered within the boot timeout,
// when there are no peers, or after maxBootTimeouts boot timeouts in any case.
func (x *Exchange) applyPendingIfReady() {
	c := &x.config
	if c.pending == nil {
		return
	}
	waited := x.now.Sub(x.startedAt)
	noPeers := x.instanceListReceived && x.table.Len() == 0 && len(x.cfg.Seeds) == 0
	peerIsNewer := manifest.IsNewer(c.wantedRevision, c.pending.Revision)
	if noPeers || !peerIsNewer && (c.peerHasManifest || waited >= x.cfg.BootTimeout) || waited >= maxBootTimeouts*x.cfg.BootTimeout {
		x.applySnapshot(c.pending)
	}
}

// Rejected returns the most recent invalid manifests, at most 8, oldest first.
func (x *Exchange) Rejected() []api.RejectedManifest {
	out := make([]api.RejectedManifest, len(x.config.rejected))
	for i, r := range x.config.rejected {
		out[i] = r.RejectedManifest
	}
	return out
}
