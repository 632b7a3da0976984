package entry

import (
	"encoding/base64"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/errkind"
)

const (
	// forwardTimeout bounds the wait for the preferred writer of a claim's shard.
	// It exceeds the 1 s after which the preferred writer refuses an undecided
	// claim, so that a refusal still arrives.
	forwardTimeout = 1200 * time.Millisecond
	// writerBackoff is how long no claims are forwarded to a preferred writer that
	// failed to answer. Until then this entry decides the claims itself.
	writerBackoff = 2 * time.Second
	// releaseRepeatDelay is the delay after which the release of an unanswered
	// claim is recorded again, in case the other entry stored the claim after
	// the first release.
	releaseRepeatDelay = 5 * time.Second
	// releasedRequestTTL is how long released requests are remembered, because
	// their claims may arrive later over another connection.
	releasedRequestTTL = time.Minute
)

// claimForwarding holds the claims that this entry forwarded to other entries,
// and those that it decides for them. Claims are forwarded to the preferred writer
// of their shard, as package claims selects it, so that they share store writes;
// safety does not depend on the preferred writer.
type claimForwarding struct {
	// entryAddresses are the addresses of the other ready entries, by instance.
	entryAddresses map[string]string
	// backoffUntil holds the time until which no claims are forwarded to an
	// entry, by address.
	backoffUntil map[string]time.Time
	// pendingClaims are the forwarded claims without an answer, by request.
	pendingClaims map[string]claims.Key
	// pendingEnds are the forwarded ends of claims that are not yet confirmed,
	// by request.
	pendingEnds map[string]claims.Event
	// releaseRepeats are the releases to record again, by ascending time.
	releaseRepeats []repeatedRelease
	// peerClaims and peerClaimEnds hold the identifiers of the calls of other
	// entries that this entry has not answered, by request.
	peerClaims    map[string]uint64
	peerClaimEnds map[string]uint64
	// releasedRequests holds the time until which a request of another entry is
	// remembered as released.
	releasedRequests map[string]time.Time
}

// repeatedRelease is the release of a claim that is recorded again at a later
// time.
type repeatedRelease struct {
	at    time.Time
	event claims.Event
}

func newClaimForwarding() claimForwarding {
	return claimForwarding{
		entryAddresses: map[string]string{}, backoffUntil: map[string]time.Time{}, pendingClaims: map[string]claims.Key{},
		pendingEnds: map[string]claims.Event{}, peerClaims: map[string]uint64{}, peerClaimEnds: map[string]uint64{},
		releasedRequests: map[string]time.Time{},
	}
}

// setMembers sets the entries to which claims can be forwarded.
func (h *claimForwarding) setMembers(members []api.Member, self string) {
	clear(h.entryAddresses)
	for _, m := range members {
		if m.Role == string(api.RoleEntry) && m.Instance != self && m.State == api.MemberStateReady {
			h.entryAddresses[m.Instance] = m.Address
		}
	}
}

// hasPending reports whether a graceful stop has to wait for claims or their
// ends.
func (h *claimForwarding) hasPending() bool {
	return len(h.pendingClaims)+len(h.pendingEnds)+len(h.releaseRepeats)+len(h.peerClaims)+len(h.peerClaimEnds) > 0
}

// forwardClaim sends a claim to the preferred writer of its shard. It returns
// false if this entry has to decide the claim itself.
func (c *Core) forwardClaim(now time.Time, claim claims.Claim) bool {
	address := c.forwarding.entryAddresses[c.claims.PreferredWriter(claim.Key)]
	if address == "" || now.Before(c.forwarding.backoffUntil[address]) {
		return false
	}
	c.forwarding.pendingClaims[claim.Request] = claim.Key
	c.emit(ForwardClaim{Address: address, Timeout: forwardTimeout, Params: toClaimParams(claim)})
	return true
}

// handleForwardClaimDone handles the answer to a forwarded claim. If the claim
// never reached the other entry, this entry decides it. If it may have arrived,
// the request fails: deciding it here too would create two claims for one
// request, and a late release of one would free the other.
func (c *Core) handleForwardClaimDone(now time.Time, e ForwardClaimDone) {
	key, ok := c.forwarding.pendingClaims[e.Request]
	if !ok {
		return
	}
	delete(c.forwarding.pendingClaims, e.Request)
	if e.Err == nil {
		c.handleClaimResolved(now, fromClaimResult(key, e.Request, e.Result), e.Address)
		return
	}
	c.forwarding.backoffUntil[e.Address] = now.Add(writerBackoff)
	r := c.requests[e.Request]
	// A stopping entry refuses a claim before it records anything.
	if e.NotSent || errkind.Is(e.Err, errkind.Draining) {
		if r != nil && !r.answered {
			c.requestClaim(now, r)
		} else if r != nil {
			c.finishRequest(now, r)
		}
		return
	}
	c.reportClaimEnd(now, e.Address, e.Request, claims.Released{Key: key, Request: e.Request})
	if r != nil {
		c.fail(now, r, errkind.New(errkind.StoreUnavailable, "claim was not decided: the preferred writer of its shard did not answer").WithRetryAfter(claimRetryAfter))
	}
}

// reportClaimEnd reports the end of a claim to the entry at address writer that
// decided it; empty means this entry.
func (c *Core) reportClaimEnd(now time.Time, writer, request string, end claims.Event) {
	if writer == "" {
		c.applyClaimEffects(now, c.claims.Handle(now, end))
		return
	}
	c.forwarding.pendingEnds[request] = end
	c.emit(ForwardClaimEnd{Address: writer, Timeout: forwardTimeout, Params: toClaimEndParams(end)})
}

// handleForwardClaimEndDone records the end of a claim in this entry if the
// other entry did not confirm it. Recording an end twice has no effect.
func (c *Core) handleForwardClaimEndDone(now time.Time, e ForwardClaimEndDone) {
	end, ok := c.forwarding.pendingEnds[e.Request]
	if !ok {
		return
	}
	delete(c.forwarding.pendingEnds, e.Request)
	if e.Err == nil {
		return
	}
	if _, released := end.(claims.Released); released {
		c.forwarding.releaseRepeats = append(c.forwarding.releaseRepeats, repeatedRelease{now.Add(releaseRepeatDelay), end})
	}
	c.applyClaimEffects(now, c.claims.Handle(now, end))
}

// handlePeerClaim decides a claim for another entry. It refuses a claim that is
// past its deadline or already released, because the other entry has given it
// up, and a claim that is already being decided.
func (c *Core) handlePeerClaim(now time.Time, e PeerClaimReceived) {
	p := e.Params
	_, undecided := c.forwarding.peerClaims[p.Request]
	_, released := c.forwarding.releasedRequests[p.Request]
	late := p.Until > 0 && now.UnixMilli() >= int64(p.Until)
	if undecided || released || late {
		c.emit(AnswerPeerClaim{ID: e.ID, Result: api.ClaimResult{
			Result: api.ClaimResultResultUnavailable, RetryAfterMs: int(claimRetryAfter.Milliseconds()),
		}})
		return
	}
	c.forwarding.peerClaims[p.Request] = e.ID
	claim := claims.Claim{
		Key: claimKey(p.Customer, p.Service, p.Operation, p.IdempotencyKey), Request: p.Request, BodyDigest: p.BodyDigest,
		Sidecar: p.Sidecar, SidecarIncarnation: int64(p.SidecarIncarnation),
	}
	if p.Until > 0 {
		claim.RunDeadline = time.UnixMilli(int64(p.Until))
	}
	c.applyClaimEffects(now, c.claims.Handle(now, claim))
}

// answerPeerClaim sends a decision to the entry that forwarded the claim. It
// returns false if the claim was not forwarded.
func (c *Core) answerPeerClaim(e claims.Resolved) bool {
	id, ok := c.forwarding.peerClaims[e.Request]
	if ok {
		delete(c.forwarding.peerClaims, e.Request)
		c.emit(AnswerPeerClaim{ID: id, Result: toClaimResult(e)})
	}
	return ok
}

// handlePeerClaimEnd records the end of a claim for another entry, which is
// answered once the end is stored.
func (c *Core) handlePeerClaimEnd(now time.Time, e PeerClaimEndReceived) {
	end, ok := fromClaimEndParams(e.Params)
	if !ok {
		c.emit(AnswerPeerClaimEnd{ID: e.ID})
		return
	}
	if _, released := end.(claims.Released); released {
		c.forwarding.releasedRequests[e.Params.Request] = now.Add(releasedRequestTTL)
	}
	c.forwarding.peerClaimEnds[e.Params.Request] = e.ID
	c.applyClaimEffects(now, c.claims.Handle(now, end))
}

// handleClaimEndStored confirms the end of a claim to the entry that forwarded
// it.
func (c *Core) handleClaimEndStored(e claims.OutcomeSettled) {
	if id, ok := c.forwarding.peerClaimEnds[e.Request]; ok {
		delete(c.forwarding.peerClaimEnds, e.Request)
		c.emit(AnswerPeerClaimEnd{ID: id})
	}
}

// tickClaimForwarding records due releases again and forgets old released
// requests.
func (c *Core) tickClaimForwarding(now time.Time) {
	for len(c.forwarding.releaseRepeats) > 0 && !now.Before(c.forwarding.releaseRepeats[0].at) {
		event := c.forwarding.releaseRepeats[0].event
		c.forwarding.releaseRepeats = c.forwarding.releaseRepeats[1:]
		c.applyClaimEffects(now, c.claims.Handle(now, event))
	}
	for request, until := range c.forwarding.releasedRequests {
		if now.After(until) {
			delete(c.forwarding.releasedRequests, request)
		}
	}
}

func claimKey(customer, service, operation, idempotencyKey string) claims.Key {
	return claims.Key{Customer: customer, Service: service, Operation: operation, IdempotencyKey: idempotencyKey}
}

func toClaimParams(c claims.Claim) api.ClaimParams {
	return api.ClaimParams{
		Customer: c.Key.Customer, Service: c.Key.Service, Operation: c.Key.Operation, IdempotencyKey: c.Key.IdempotencyKey,
		Request: c.Request, BodyDigest: c.BodyDigest, Sidecar: c.Sidecar, SidecarIncarnation: int(c.SidecarIncarnation),
		Until: int(c.RunDeadline.UnixMilli()),
	}
}

// claimResults maps decisions on claims to their names on the wire.
var claimResults = map[claims.Result]api.ClaimResultResult{
	claims.Granted: api.ClaimResultResultGranted, claims.AlreadyCompleted: api.ClaimResultResultCompleted,
	claims.InProgress: api.ClaimResultResultInProgress, claims.OutcomeUnknown: api.ClaimResultResultUnknown,
	claims.KeyReused: api.ClaimResultResultKeyReused, claims.StoreUnavailable: api.ClaimResultResultUnavailable,
}

func toClaimResult(e claims.Resolved) api.ClaimResult {
	return api.ClaimResult{
		Result: claimResults[e.Result], Status: e.Answer.Status, Answer: base64.StdEncoding.EncodeToString(e.Answer.Body),
		AnswerDigest: e.Answer.Digest, RetryAfterMs: int(e.RetryAfter.Milliseconds()),
	}
}

// fromClaimResult decodes a decision. A result name that is not in claimResults
// is read as "store unavailable".
func fromClaimResult(key claims.Key, request string, r api.ClaimResult) claims.Resolved {
	out := claims.Resolved{
		Key: key, Request: request, Result: claims.StoreUnavailable, RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
	for result, name := range claimResults {
		if name == r.Result {
			out.Result = result
		}
	}
	out.Answer = claims.Answer{Status: r.Status, Digest: r.AnswerDigest}
	if r.AnswerDigest == "" {
		out.Answer.Body, _ = base64.StdEncoding.DecodeString(r.Answer)
	}
	return out
}

func toClaimEndParams(end claims.Event) api.ClaimEndParams {
	var key claims.Key
	var p api.ClaimEndParams
	switch e := end.(type) {
	case claims.Completed:
		key, p.Request, p.State = e.Key, e.Request, api.ClaimEndParamsStateCompleted
		p.Status, p.AnswerDigest = e.Answer.Status, e.Answer.Digest
		p.Answer = base64.StdEncoding.EncodeToString(e.Answer.Body)
	case claims.Released:
		key, p.Request, p.State = e.Key, e.Request, api.ClaimEndParamsStateReleased
	case claims.Unknown:
		key, p.Request, p.State = e.Key, e.Request, api.ClaimEndParamsStateUnknown
	}
	p.Customer, p.Service, p.Operation, p.IdempotencyKey = key.Customer, key.Service, key.Operation, key.IdempotencyKey
	return p
}

// fromClaimEndParams decodes the end of a claim. It returns false if the state
// or the answer cannot be decoded.
func fromClaimEndParams(p api.ClaimEndParams) (claims.Event, bool) {
	key := claimKey(p.Customer, p.Service, p.Operation, p.IdempotencyKey)
	switch p.State {
	case api.ClaimEndParamsStateCompleted:
		body, err := base64.StdEncoding.DecodeString(p.Answer)
		return claims.Completed{Key: key, Request: p.Request, Answer: claims.Answer{Status: p.Status, Digest: p.AnswerDigest, Body: body}}, err == nil
	case api.ClaimEndParamsStateReleased:
		return claims.Released{Key: key, Request: p.Request}, true
	case api.ClaimEndParamsStateUnknown:
		return claims.Unknown{Key: key, Request: p.Request}, true
	}
	return nil, false
}
