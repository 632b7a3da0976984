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

type orderRequest struct {
	Fence   int64  `json:"fence"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body orderRequest
	if !base.ReadJSON(w, r, &body) {
		return
	}
	if body.Version == "" || (body.Kind != "load" && body.Kind != "unload") {
		base.WriteError(w, http.StatusBadRequest, "kind must be load or unload, and version is required")
		return
	}
	number, ok := e.acceptOrder(body)
	if !ok {
		e.refuseOrder(w, body)
		return
	}
	if body.Kind == "load" {
		if err := e.loadWeights(r.Context(), body.Version); err != nil {
			e.recordOrder(body, false)
			base.WriteError(w, http.StatusBadGateway, err.Error())
			return
		}
	}
	if !e.apply(body, number) {
		e.refuseOrder(w, body)
		return
	}
	e.recordOrder(body, true)
	base.WriteJSON(w, http.StatusOK, map[string]bool{"done": true})
}

// acceptOrder checks the fencing token and returns the number of the order, which increases
// with each order. It returns false for an outdated token.
func (e *Engine) acceptOrder(body orderRequest) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.CheckFence && body.Fence < e.highestFence {
		return 0, false
	}
	e.highestFence = max(e.highestFence, body.Fence)
	e.orderCount++
	e.latestOrder[body.Version] = e.orderCount
	return e.orderCount, true
}

// apply loads or unloads the version of an order. With CheckFence it returns false when a
// newer order for the same version has been accepted; without CheckFence it still applies
// the older order.
func (e *Engine) apply(body orderRequest, number int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.CheckFence && e.latestOrder[body.Version] != number {
		return false
	}
	if body.Kind == "load" {
		e.versions[body.Version] = true
		return true
	}
	delete(e.versions, body.Version)
	e.cache.evictVersion(body.Version)
	return true
}

func (e *Engine) refuseOrder(w http.ResponseWriter, body orderRequest) {
	e.recordOrder(body, false)
	e.mu.Lock()
	fence := e.highestFence
	e.mu.Unlock()
	base.WriteJSON(w, http.StatusConflict, map[string]int64{"fence": fence})
}

func (e *Engine) recordOrder(body orderRequest, applied bool) {
	e.ledger.RecordOrder(base.Order{Fence: body.Fence, Kind: body.Kind, Version: body.Version, Applied: applied})
}

// loadWeights fetches the weights of a version, retrying after the delays that the weight
// store's rate limit asks for, and then waits for LoadTime.
func (e *Engine) loadWeights(ctx context.Context, version string) error {
	for e.config.WeightStore != "" {
		retryAfter, err := e.requestWeights(ctx, version)
		if err != nil {
			return err
		}
		if retryAfter == 0 {
			break
		}
		if err := e.wait(ctx, retryAfter); err != nil {
			return err
		}
	}
	return e.wait(ctx, e.config.LoadTime)
}

func (e *Engine) wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "loading of the version was canceled")
	case <-e.quit:
		return eris.New("engine was closed during the loading of a version")
	}
}

// requestWeights makes one request for the weights. A positive result is the delay before the
// next try, after a rate limit.
func (e *Engine) requestWeights(ctx context.Context, version string) (time.Duration, error) {
	target := e.config.WeightStore + "/v1/weights/" + url.PathEscape(version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return 0, eris.Wrap(err, "weight request cannot be created")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "weight store cannot be reached")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, eris.Wrap(err, "weights cannot be read to their end")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		return retryAfter(response), nil
	default:
		return 0, eris.Errorf("weight store returned status %d for version %q", response.StatusCode, version)
	}
}

// retryAfter returns the delay of the Retry-After header, or 50 ms without a positive one.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		return 50 * time.Millisecond
	}
	return time.Duration(seconds) * time.Second
}
