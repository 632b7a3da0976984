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

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
)

// Order tells the engine to load or unload a version.
type Order struct {
	Fence   int    `json:"fence"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
}

// OrderOutcome is how an order ended on the engine.
type OrderOutcome struct {
	// Known is false when the answer is missing, so that the engine may still carry
	// the order out.
	Known bool
	Done  bool
	// Highest is the fencing token that the engine named when it refused an old one.
	Highest int
	// Err states why the order is not done.
	Err error
}

// Order sends an order and waits until the engine has ended it.
func (c *Client) Order(ctx context.Context, order Order) OrderOutcome {
	resp, err := c.post(ctx, "/v1/orders", order, nil)
	if err != nil {
		notSent := errkind.From(err).RunState == api.RunStateNotRun
		return OrderOutcome{Known: notSent, Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	var answer struct {
		Done  bool `json:"done"`
		Fence int  `json:"fence"`
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
			return OrderOutcome{Err: errkind.Wrap(err, errkind.UpstreamFailed, "answer to an order was cut")}
		}
	default:
		return OrderOutcome{Known: true, Err: statusError(resp)}
	}
	if resp.StatusCode == http.StatusConflict {
		return OrderOutcome{Known: true, Highest: answer.Fence, Err: errors.New("engine knows a higher fencing token")}
	}
	return OrderOutcome{Known: true, Done: answer.Done}
}
