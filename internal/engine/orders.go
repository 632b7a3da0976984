package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// Kinds of orders: load or unload a model version.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
)

// Order is the request body of POST /v1/orders, which makes the engine load or
// unload a model version.
type Order struct {
	// Fence is the fencing token; the engine refuses an order with a lower one than
	// it has seen.
	Fence   int    `json:"fence"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
}

// OrderOutcome is the result of an order.
type OrderOutcome struct {
	// OutcomeKnown is false when no complete response arrived, so that the engine may still
	// execute the order.
	OutcomeKnown bool
	// Done reports that the engine executed the order.
	Done bool
	// HighestToken is the highest fencing token that the engine has seen; set only when it
	// refused a lower one.
	HighestToken int
	// Err is the reason why Done is false.
	Err error
}

// SendOrder sends an order and waits until the engine has executed or refused it.
func (c *Client) SendOrder(ctx context.Context, order Order) OrderOutcome {
	resp, err := post(ctx, c.runs, c.baseURL+"/v1/orders", order, nil)
	if err != nil {
		notSent := errkind.FromError(err).RunState == api.RunStateNotRun
		return OrderOutcome{OutcomeKnown: notSent, Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	var response struct {
		Done  bool `json:"done"`
		Fence int  `json:"fence"`
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response); err != nil {
			return OrderOutcome{Err: errkind.Wrap(err, errkind.UpstreamFailed, "engine response to an order is incomplete or not valid JSON")}
		}
	default:
		return OrderOutcome{OutcomeKnown: true, Err: statusError(resp)}
	}
	if resp.StatusCode == http.StatusConflict {
		return OrderOutcome{OutcomeKnown: true, HighestToken: response.Fence, Err: errors.New("order is outdated: the engine has seen a higher fencing token")}
	}
	return OrderOutcome{OutcomeKnown: true, Done: response.Done}
}
