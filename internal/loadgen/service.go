package loadgen

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/borageflow/borageflow/internal/standin/service"
)

// sendServiceCall sends a plain-service call, or two concurrent calls with the same idempotency
// key if the arrival asks for it. The pair is complete when either answer is.
func (g *generator) sendServiceCall(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	if !a.sendTwice {
		g.sendServiceAttempt(ctx, a, scheduled, s)
		return
	}
	second := *s
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.sendServiceAttempt(ctx, a, scheduled, &second)
	}()
	g.sendServiceAttempt(ctx, a, scheduled, s)
	<-done
	mergeRepeat(s, &second)
}

// mergeRepeat sets s to the combined outcome of two calls with the same key. The pair counts
// as not run only if both errors state so.
func mergeRepeat(s, second *sample) {
	wrong := s.wrong || second.wrong
	if second.complete && !s.complete {
		*s = *second
	}
	if !s.complete && s.claimsNotRun() {
		s.runState = second.runState
	}
	s.wrong = wrong
}

func (g *generator) sendServiceAttempt(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	class := g.plan.Classes[a.class]
	body := serviceBody(g.runID, a)
	s.requestDigest = service.Digest(class.Operation, []byte(body))
	path := "/v1/services/" + class.Service + "/" + class.Operation
	response, err := g.post(ctx, path, class, a, []byte(body), "")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		s.recordErrorResponse(response)
		return
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return
	}
	s.firstToken = time.Since(scheduled)
	s.complete = true
	s.wrong = string(raw) != string(service.Answer(class.Operation, []byte(body)))
	price, known := g.plan.OperationPrices[class.Service+"/"+class.Operation]
	s.cost, s.costKnown = price, known
}
