package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/standin/base"
)

type orderBody struct {
	Fence   int64  `json:"fence"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if !base.ReadJSON(w, r, &body) {
		return
	}
	if body.Version == "" || (body.Kind != "load" && body.Kind != "unload") {
		base.WriteError(w, http.StatusBadRequest, "kind is load or unload, version is required")
		return
	}
	number, ok := e.acceptOrder(body)
	if !ok {
		e.refuseOrder(w, body)
		return
	}
	if body.Kind == "load" {
		if err := e.fetch(r.Context(), body.Version); err != nil {
			e.record(body, false)
			base.WriteError(w, http.StatusBadGateway, err.Error())
			return
		}
	}
	if !e.apply(body, number) {
		e.refuseOrder(w, body)
		return
	}
	e.record(body, true)
	base.WriteJSON(w, http.StatusOK, map[string]bool{"done": true})
}

// acceptOrder checks the fencing token and returns the number of the order.
func (e *Engine) acceptOrder(body orderBody) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.CheckFence && body.Fence < e.fence {
		return 0, false
	}
	e.fence = max(e.fence, body.Fence)
	e.orders++
	e.ordered[body.Version] = e.orders
	return e.orders, true
}

// apply changes the loaded versions. An engine that checks fencing tokens does
// not apply an order that was overtaken by a newer one for the same version; one
// that does not check applies it late.
func (e *Engine) apply(body orderBody, number int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.CheckFence && e.ordered[body.Version] != number {
		return false
	}
	if body.Kind == "load" {
		e.versions[body.Version] = true
		return true
	}
	delete(e.versions, body.Version)
	e.cache.forget(body.Version)
	return true
}

func (e *Engine) refuseOrder(w http.ResponseWriter, body orderBody) {
	e.record(body, false)
	e.mu.Lock()
	fence := e.fence
	e.mu.Unlock()
	base.WriteJSON(w, http.StatusConflict, map[string]int64{"fence": fence})
}

func (e *Engine) record(body orderBody, done bool) {
	e.ledger.Order(base.Order{Fence: body.Fence, Kind: body.Kind, Version: body.Version, Done: done})
}

// fetch reads the weights of a version, waiting as long as the weight store asks
// to, and then takes LoadTime.
func (e *Engine) fetch(ctx context.Context, version string) error {
	for e.config.WeightStore != "" {
		again, err := e.fetchOnce(ctx, version)
		if err != nil {
			return err
		}
		if again == 0 {
			break
		}
		if err := e.pause(ctx, again); err != nil {
			return err
		}
	}
	return e.pause(ctx, e.config.LoadTime)
}

func (e *Engine) pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "loading was cancelled")
	case <-e.quit:
		return eris.New("engine stopped while loading")
	}
}

// fetchOnce reads the weights once; a positive result is when to try again.
func (e *Engine) fetchOnce(ctx context.Context, version string) (time.Duration, error) {
	target := e.config.WeightStore + "/v1/weights/" + url.PathEscape(version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return 0, eris.Wrap(err, "weight request cannot be made")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "weight store cannot be reached")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, eris.Wrap(err, "weights were cut off")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		return retryAfter(response), nil
	default:
		return 0, eris.Errorf("weight store answered %d for version %q", response.StatusCode, version)
	}
}

// retryAfter returns the advised delay, at least 50 ms.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		return 50 * time.Millisecond
	}
	return time.Duration(seconds) * time.Second
}
