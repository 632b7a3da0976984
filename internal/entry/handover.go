package entry

import (
	"encoding/base64"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/claims"
	"github.com/borageflow/borageflow/internal/errkind"
)

const (
	// handTimeout bounds the wait for the usual writer. It is longer than the time
	// after which a Book refuses a claim, 1 s, so that a refusal still arrives.
	handTimeout = 1200 * time.Millisecond
	// writerPause is how long a writer that failed to answer gets no claims; the
	// entry then claims for itself.
	writerPause = 2 * time.Second
	// releaseRepeat is when the release of an unanswered claim is stated again, in
	// case the writer stored the claim after the first release.
	releaseRepeat = 5 * time.Second
	// withdrawnFor is how long a writer remembers released requests, whose claim
	// may arrive later over another link.
	withdrawnFor = time.Minute
)

// handover is the state of handed claims, on both sides.
type handover struct {
	// addresses are those of the other ready entries, by instance.
	addresses map[string]string
	// avoid holds the time until which a writer gets no claims, by address.
	avoid map[string]time.Time
	// asked are the claims that a writer has not answered, by request.
	asked map[string]claims.Key
	// ends are the ends that a writer has not confirmed, by request.
	ends map[string]claims.Event
	// repeats are releases to be stated again.
	repeats []repeat
	// offers and endOffers are the calls of other entries that wait for this
	// entry's Book, by request.
	offers    map[string]uint64
	endOffers map[string]uint64
	withdrawn map[string]time.Time
}

type repeat struct {
	at    time.Time
	event claims.Event
}

func newHandover() handover {
	return handover{
		addresses: map[string]string{}, avoid: map[string]time.Time{}, asked: map[string]claims.Key{},
		ends: map[string]claims.Event{}, offers: map[string]uint64{}, endOffers: map[string]uint64{},
		withdrawn: map[string]time.Time{},
	}
}

func (h *handover) setMembers(members []api.Member, self string) {
	clear(h.addresses)
	for _, m := range members {
		if m.Role == string(api.RoleEntry) && m.Instance != self && m.State == api.MemberStateReady {
			h.addresses[m.Instance] = m.Address
		}
	}
}

// open reports whether a graceful stop has to wait.
func (h *handover) open() bool {
	return len(h.asked)+len(h.ends)+len(h.repeats)+len(h.offers)+len(h.endOffers) > 0
}

// handClaim asks the usual writer for a claim. It reports false when this entry
// has to claim for itself.
func (c *Core) handClaim(now time.Time, claim claims.Claim) bool {
	address := c.handover.addresses[c.book.Writer(claim.Key)]
	if address == "" || now.Before(c.handover.avoid[address]) {
		return false
	}
	c.handover.asked[claim.Request] = claim.Key
	c.emit(HandClaim{Address: address, Timeout: handTimeout, Params: claimParams(claim)})
	return true
}

// claimHanded takes the answer of the writer. A claim that never left is made
// here. One that may have arrived is not: the same request would then be claimed
// in two Books, and a late release of the one would free the other.
func (c *Core) claimHanded(now time.Time, e ClaimHanded) {
	key, ok := c.handover.asked[e.Request]
	if !ok {
		return
	}
	delete(c.handover.asked, e.Request)
	if e.Err == nil {
		c.claimResolved(now, resolvedOf(key, e.Request, e.Result), e.Address)
		return
	}
	c.handover.avoid[e.Address] = now.Add(writerPause)
	r := c.requests[e.Request]
	// A writer that leaves refuses before its Book sees the claim.
	if e.NotSent || errkind.Is(e.Err, errkind.Draining) {
		if r != nil && !r.answered {
			c.claimService(now, r)
		} else if r != nil {
			c.finish(now, r)
		}
		return
	}
	c.endClaim(now, e.Address, e.Request, claims.Released{Key: key, Request: e.Request})
	if r != nil {
		c.fail(now, r, errkind.New(errkind.StoreUnavailable, "claim was not decided by its usual writer").WithRetryAfter(claimRetry))
	}
}

// endClaim states the end of a claim to the Book that decided it.
func (c *Core) endClaim(now time.Time, via, request string, end claims.Event) {
	if via == "" {
		c.claimEffects(now, c.book.Handle(now, end))
		return
	}
	c.handover.ends[request] = end
	c.emit(HandClaimEnd{Address: via, Timeout: handTimeout, Params: endParams(end)})
}

// claimEndHanded stores an end here that the writer has not confirmed. Stating it
// twice has no effect.
func (c *Core) claimEndHanded(now time.Time, e ClaimEndHanded) {
	end, ok := c.handover.ends[e.Request]
	if !ok {
		return
	}
	delete(c.handover.ends, e.Request)
	if e.Err == nil {
		return
	}
	if _, released := end.(claims.Released); released {
		c.handover.repeats = append(c.handover.repeats, repeat{now.Add(releaseRepeat), end})
	}
	c.claimEffects(now, c.book.Handle(now, end))
}

// claimOffered claims for another entry. A claim whose time has passed, or whose
// release came first, has been given up by its entry.
func (c *Core) claimOffered(now time.Time, e ClaimOffered) {
	p := e.Params
	_, running := c.handover.offers[p.Request]
	_, withdrawn := c.handover.withdrawn[p.Request]
	late := p.Until > 0 && now.UnixMilli() >= int64(p.Until)
	if running || withdrawn || late {
		c.emit(AnswerClaim{ID: e.ID, Result: api.ClaimResult{
			Result: api.ClaimResultResultUnavailable, RetryAfterMs: int(claimRetry.Milliseconds()),
		}})
		return
	}
	c.handover.offers[p.Request] = e.ID
	claim := claims.Claim{
		Key: keyOf(p.Customer, p.Service, p.Operation, p.IdempotencyKey), Request: p.Request, BodyDigest: p.BodyDigest,
		Sidecar: p.Sidecar, SidecarIncarnation: int64(p.SidecarIncarnation),
	}
	if p.Until > 0 {
		claim.Until = time.UnixMilli(int64(p.Until))
	}
	c.claimEffects(now, c.book.Handle(now, claim))
}

// answerOffer answers another entry's claim and reports whether it was one.
func (c *Core) answerOffer(e claims.Resolved) bool {
	id, ok := c.handover.offers[e.Request]
	if ok {
		delete(c.handover.offers, e.Request)
		c.emit(AnswerClaim{ID: id, Result: resultOf(e)})
	}
	return ok
}

// claimEndOffered records the end of another entry's claim. It is answered once
// the end is stored.
func (c *Core) claimEndOffered(now time.Time, e ClaimEndOffered) {
	end, ok := endOf(e.Params)
	if !ok {
		c.emit(AnswerClaimEnd{ID: e.ID})
		return
	}
	if _, released := end.(claims.Released); released {
		c.handover.withdrawn[e.Params.Request] = now.Add(withdrawnFor)
	}
	c.handover.endOffers[e.Params.Request] = e.ID
	c.claimEffects(now, c.book.Handle(now, end))
}

func (c *Core) endNoted(e claims.Noted) {
	if id, ok := c.handover.endOffers[e.Request]; ok {
		delete(c.handover.endOffers, e.Request)
		c.emit(AnswerClaimEnd{ID: id})
	}
}

func (c *Core) tickHandover(now time.Time) {
	for len(c.handover.repeats) > 0 && !now.Before(c.handover.repeats[0].at) {
		event := c.handover.repeats[0].event
		c.handover.repeats = c.handover.repeats[1:]
		c.claimEffects(now, c.book.Handle(now, event))
	}
	for request, until := range c.handover.withdrawn {
		if now.After(until) {
			delete(c.handover.withdrawn, request)
		}
	}
}

func keyOf(customer, service, operation, idempotencyKey string) claims.Key {
	return claims.Key{Customer: customer, Service: service, Operation: operation, IdempotencyKey: idempotencyKey}
}

func claimParams(c claims.Claim) api.ClaimParams {
	return api.ClaimParams{
		Customer: c.Key.Customer, Service: c.Key.Service, Operation: c.Key.Operation, IdempotencyKey: c.Key.IdempotencyKey,
		Request: c.Request, BodyDigest: c.BodyDigest, Sidecar: c.Sidecar, SidecarIncarnation: int(c.SidecarIncarnation),
		Until: int(c.Until.UnixMilli()),
	}
}

var claimResults = map[claims.Result]api.ClaimResultResult{
	claims.Granted: api.ClaimResultResultGranted, claims.AlreadyCompleted: api.ClaimResultResultCompleted,
	claims.InProgress: api.ClaimResultResultInProgress, claims.OutcomeUnknown: api.ClaimResultResultUnknown,
	claims.KeyReused: api.ClaimResultResultKeyReused, claims.StoreUnavailable: api.ClaimResultResultUnavailable,
}

func resultOf(e claims.Resolved) api.ClaimResult {
	return api.ClaimResult{
		Result: claimResults[e.Result], Status: e.Answer.Status, Answer: base64.StdEncoding.EncodeToString(e.Answer.Body),
		AnswerDigest: e.Answer.Digest, RetryAfterMs: int(e.RetryAfter.Milliseconds()),
	}
}

func resolvedOf(key claims.Key, request string, r api.ClaimResult) claims.Resolved {
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

func endParams(end claims.Event) api.ClaimEndParams {
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

// endOf reports false for an end that cannot be decoded.
func endOf(p api.ClaimEndParams) (claims.Event, bool) {
	key := keyOf(p.Customer, p.Service, p.Operation, p.IdempotencyKey)
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
