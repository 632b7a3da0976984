package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/quarantine"
)

const (
	// maxEndedWorkers is how many workers may end under one request.
	maxEndedWorkers = 2
	// sharedWeight is the accusation of a request whose answer had not begun, and that was not alone on its
	// server: it may have waited there. Two such ends make a suspect of a service of any size.
	sharedWeight = 0.75
	// maxAloneWait bounds the wait of a request with a suspected part, and maxAloneShare the share of
	// its remaining time.
	maxAloneWait  = 1500 * time.Millisecond
	maxAloneShare = 0.25
	// settlePoll is how often a request looks whether its breaks are settled.
	settlePoll = 10 * time.Millisecond
	// alonePoll is how often a waiting request looks for a verdict.
	alonePoll = 20 * time.Millisecond
	// survivalTime is the time after the beginning of an answer from which its request counts as
	// one that does not end its worker.
	survivalTime = time.Second
)

// promptParts returns the parts of the prompt without the last one, which is the request's own.
func (r *request) promptParts() []uint64 {
	prompt := r.inbound.meta.Prompt
	if len(prompt) == 0 {
		return nil
	}
	out := make([]uint64, 0, len(prompt))
	for _, part := range prompt[:len(prompt)-1] {
		out = append(out, part.ID)
	}
	return out
}

// identities returns what the request may have in common with others that end workers: the parts of its prompt,
// and the whole request, which its caller may repeat.
func (r *request) identities() []uint64 {
	return append(r.parts[:len(r.parts):len(r.parts)], r.whole)
}

// fingerprint returns a hash of the method, target, prompt and body of a request of a customer. A repeat has the
// same one.
func (r *inboundRequest) fingerprint(customer string) uint64 {
	h := xxhash.New()
	for _, field := range []string{customer, r.method, r.host, r.target} {
		_, _ = h.WriteString(field) // writing to a hash returns no error
		_, _ = h.Write([]byte{0})
	}
	for _, part := range r.meta.Prompt {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, part.ID))
	}
	_, _ = h.Write(r.body)
	return h.Sum64()
}

// hasPrompt reports whether the request states the parts of a prompt.
func (r *request) hasPrompt() bool { return len(r.inbound.meta.Prompt) > 0 }

// awaitClearance returns why the request must not be sent, or nil. A request with a suspected part
// waits until no other one with it is on its way. A nil result with such a part makes it the one.
func (r *request) awaitClearance(ctx context.Context) *errkind.Error {
	if r.hasEndedTooMany() {
		return errkind.New(errkind.UpstreamFailed, "workers ended while they answered the request")
	}
	d := r.decide()
	if d.Action == quarantine.Send {
		return nil
	}
	hadTurn := r.turn != nil
	refusal := r.awaitTurn(ctx, d)
	if d.Action == quarantine.SendAlone && (refusal != nil || !hadTurn) {
		r.gateway.quarantine.logSuspect(r, d, refusal)
	}
	return refusal
}

// awaitTurn waits until a request may go that is not just to be sent.
func (r *request) awaitTurn(ctx context.Context, d quarantine.Decision) *errkind.Error {
	started := time.Now()
	until := started.Add(min(maxAloneWait, time.Duration(maxAloneShare*float64(r.remaining()))))
	for ; d.Action == quarantine.SendAlone; d = r.decide() {
		now := time.Now()
		switch {
		case r.endedWorkers.Load() > 0:
			return errkind.New(errkind.UpstreamFailed, "a worker ended while it answered the request")
		case r.turn != nil && *r.turn == r.turnOf(d):
			return nil // an earlier attempt took the turn
		case r.gateway.quarantine.takeAlone(now, r.turnOf(d), d.OnProbation):
			turn := r.turnOf(d)
			r.turn = &turn
			r.wasOnTrial.Store(true)
			return nil
		case d.OnProbation || now.After(until):
			return r.notSentAgain(errkind.New(errkind.Overloaded, "requests like this are sent one at a time: workers have ended under them").WithRetryAfter(maxAloneWait))
		}
		timer := time.NewTimer(alonePoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return r.notSentAgain(errkind.New(errkind.DeadlineExceeded, "request ended while it waited for others like it"))
		case <-timer.C:
		}
	}
	if d.Action == quarantine.Refuse {
		return r.notSentAgain(errkind.New(errkind.Quarantined, "part "+formatPart(d.Part.ID)+" of the request is condemned: workers ended while they answered requests with it"))
	}
	return nil
}

// decide returns what the quarantine says of the request now.
func (r *request) decide() quarantine.Decision {
	return r.gateway.quarantine.decide(r.service, r.identities())
}

// notSentAgain returns a refusal, or upstream_failed if the request may have run.
func (r *request) notSentAgain(refusal *errkind.Error) *errkind.Error {
	if r.mayHaveRun {
		return errkind.New(errkind.UpstreamFailed, "request is not sent again: "+refusal.Message)
	}
	return refusal
}

// hasEndedTooMany reports whether the request must not be sent to another worker.
func (r *request) hasEndedTooMany() bool { return r.endedWorkers.Load() >= maxEndedWorkers }

// awaitSettledBreaks waits until it is known whether the workers of broken attempts have ended, if another attempt could
// end one too many. A worker that crashes may refuse connections only some milliseconds after it has closed them.
func (r *request) awaitSettledBreaks(ctx context.Context) {
	for r.unsettledBreaks.Load() > 0 && (r.endedWorkers.Load()+r.unsettledBreaks.Load() >= maxEndedWorkers || r.isSuspected()) {
		timer := time.NewTimer(settlePoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// isSuspected reports whether the request has a suspected or condemned part.
func (r *request) isSuspected() bool {
	return r.decide().Action != quarantine.Send
}

// releaseAlone lets another request with the suspected part go.
func (r *request) releaseAlone() {
	if r.turn != nil {
		r.gateway.quarantine.releaseAlone(*r.turn)
		r.turn = nil
	}
}

// turnOf returns the turn that the request must take. The suspected whole requests of a service have one
// in common: two of them on one server could not be told apart.
func (r *request) turnOf(d quarantine.Decision) quarantine.Part {
	if d.IsWhole && !d.OnProbation {
		return quarantine.Part{Service: d.Part.Service}
	}
	return d.Part
}

// recordSurvival records that a worker writes on long after it began with the request, which speaks for the parts
// of its prompt. Another request with the same suspected part may go then.
func (r *request) recordSurvival(a *attempt) {
	r.releaseAlone()
	if !a.survived {
		a.survived = true
		r.gateway.quarantine.recordSurvival(r, a.workBegan(r.hasPrompt()))
	}
}

// recordFinished records that a worker has answered the request. A worker that failed has not shown that it can run
// the request.
func (r *request) recordFinished(a *attempt) {
	if a.exchange.resp.StatusCode >= http.StatusInternalServerError {
		r.releaseAlone()
		return
	}
	r.recordSurvival(a)
	r.gateway.quarantine.recordWholeFinished(r, a.workBegan(r.hasPrompt()))
}

// workBegan returns when the worker began with the request: of a stream, whose header comes with its
// beginning, that of the header, otherwise that of the attempt.
func (a *attempt) workBegan(hasPrompt bool) time.Time {
	if hasPrompt && !a.begunAt.IsZero() {
		return a.begunAt
	}
	return a.started
}

// recordBreak records that the answer of an attempt broke off. If the worker has ended, the request is
// accused of that by how recently its answer had begun.
func (r *request) recordBreak(a *attempt, err error) {
	isLost := a.exchange.conn.workerEnded.Load() || errors.Is(err, syscall.ETIMEDOUT)
	cause := framing.CauseOf(err)
	isBreak := isLost || (cause == framing.BrokenOff || cause == framing.InsideEvent) && !isReadTimeout(err)
	if !isBreak || errors.Is(err, net.ErrClosed) {
		return
	}
	q := r.gateway.quarantine
	end := endedAttempt{
		request: r, requestID: r.inbound.meta.RequestID, customer: r.customer.Name, parts: r.parts, whole: r.whole, worker: a.worker,
		startedAt: a.started, begunAt: a.begunAt, brokeAt: time.Now(), wasAlone: a.wasAlone, onTrial: r.wasOnTrial.Load(),
	}
	if run := a.exchange.conn.run; isLost && run != nil {
		end.brokeAt = q.endOf(run, a.begunAt.IsZero())
	}
	end.weight, end.wholeWeight = end.accusation()
	sign := q.knownEnd(a.worker).sign
	switch {
	case end.wholeWeight == 0:
		q.logUncounted(end, longAfterHeader)
		return
	case sign == noEnd && !r.gateway.dispatcher.isInUse(a.worker):
		q.logUncounted(end, workerLeaves)
		return
	case sign == noEnd:
		if sign = probeAddress(r.gateway.ctx, a.worker.Address, 0); sign != noEnd {
			q.recordKnownEnd(a.worker, knownEnd{sign, end.brokeAt})
		}
	}
	if sign != noEnd {
		q.recordEnd(end, sign)
		return
	}
	r.gateway.recheckEnd(end)
}

// accusation returns how much the parts and the whole request of a broken attempt are accused if its worker has ended.
func (e endedAttempt) accusation() (parts, whole float64) {
	switch {
	case !e.begunAt.IsZero():
		sinceBegin := e.brokeAt.Sub(e.begunAt)
		return quarantine.Weight(sinceBegin), quarantine.WholeWeight(sinceBegin)
	case e.wasAlone, e.onTrial:
		return 1, 1
	}
	return sharedWeight, sharedWeight
}

// uncountedReason is why a broken answer does not count as the end of its worker. The list is closed.
type uncountedReason string

const (
	longAfterHeader uncountedReason = "long_after_header"
	workerLeaves    uncountedReason = "worker_leaves"
	workerAccepts   uncountedReason = "worker_accepts_connections"
	// afterEnd means that the request was sent when the worker had ended already.
	afterEnd uncountedReason = "after_end"
)

// endedAttempt is an attempt whose answer broke off and whose worker has ended, or may end soon.
type endedAttempt struct {
	// request is nil once the attempt waits for the list of workers, which may outlast the request.
	request             *request
	requestID, customer string
	parts               []uint64
	whole               uint64
	worker              forward.Worker
	// startedAt is when the request was sent, begunAt when the header of its answer arrived.
	startedAt, begunAt, brokeAt time.Time
	// weight and wholeWeight are how much the parts and the whole request are accused.
	weight, wholeWeight float64
	// wasAlone is that of the attempt, and onTrial is set if its request was sent as a suspected one.
	wasAlone, onTrial bool
}
