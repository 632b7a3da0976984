package loadgen

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/borageflow/borageflow/internal/standin/service"
)

// service sends one plain-service call. A repeated call is sent twice at once
// with the same key; it is complete when either answer is.
func (g *generator) service(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	if !a.repeat {
		g.serviceOnce(ctx, a, scheduled, s)
		return
	}
	second := *s
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.serviceOnce(ctx, a, scheduled, &second)
	}()
	g.serviceOnce(ctx, a, scheduled, s)
	<-done
	merge(s, &second)
}

// merge makes s the outcome of a call and its repeat. The pair did not run only
// if both sides say so.
func merge(s, second *sample) {
	wrong := s.wrong || second.wrong
	if second.complete && !s.complete {
		*s = *second
	}
	if !s.complete && s.refusedUnrun() {
		s.runState = second.runState
	}
	s.wrong = wrong
}

func (g *generator) serviceOnce(ctx context.Context, a arrival, scheduled time.Time, s *sample) {
	class := g.plan.Classes[a.class]
	body := bodyOf(g.run, a)
	s.digest = service.Digest(class.Operation, []byte(body))
	path := "/v1/services/" + class.Service + "/" + class.Operation
	response, err := g.post(ctx, path, class, a, []byte(body), "")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		s.noteResponse(response)
		return
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return
	}
	s.first = time.Since(scheduled)
	s.complete = true
	s.wrong = string(raw) != string(service.Answer(class.Operation, []byte(body)))
	price, known := g.plan.OperationPrices[class.Service+"/"+class.Operation]
	s.cost, s.priced = price, known
}
