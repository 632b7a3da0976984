package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/gateway"
)

const (
	// gatewayTimeout limits the request to a gateway.
	gatewayTimeout = 3 * time.Second
	// maxStateBytes bounds the state of a gateway, about 300 bytes for each of 910 workers.
	maxStateBytes = 16 << 20
)

// gatewayFlags holds the flags of the subcommand gateway.
type gatewayFlags struct {
	address string
	json    bool
}

func newGateway() command {
	f := &gatewayFlags{address: "127.0.0.1:7340"}
	c := newCommand("gateway", "Shows the state that a gateway routes by and the age of its parts.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: the gateway is not ready or does not answer."
	c.sub.String(&f.address, "a", "address", "host:port of the gateway's health or metrics listener.")
	c.sub.Bool(&f.json, "j", "json", "Prints JSON.")
	return c
}

func (f *gatewayFlags) run(ctx context.Context, s streams) error {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+"/state", nil)
	if err != nil {
		return usageError{fmt.Sprintf("address %q is not host:port", f.address)}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "gateway at %s does not answer", f.address)
	}
	defer func() { _ = resp.Body.Close() }()
	var state gateway.State
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&state); err != nil {
		return eris.Wrapf(err, "answer of the gateway at %s cannot be read", f.address)
	}
	if f.json {
		err = printJSON(s, state)
	} else {
		err = printGatewayState(s, state)
	}
	if err == nil && !state.Ready {
		return errOutcomeNotMet
	}
	return err
}

// updateSource describes where the gateway gets its configuration updates.
func updateSource(state gateway.State) string {
	switch {
	case state.RelayAddress != "":
		return "relay " + state.RelayAddress
	case state.IsRelay:
		return "store, passed on to others"
	}
	return "store"
}

// printGatewayState prints the state as tables. A worker that has not reported its load
// has a negative LoadAgeMs.
func printGatewayState(s streams, state gateway.State) error {
	out := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "instance\t%s\nready\t%t %s\nconfiguration\t%d, known %d ms ago\nactive requests\t%d\nnews from\t%s\n", state.Instance, state.Ready, state.Reason, state.ConfigVersion, state.ConfigAgeMs, state.ActiveRequests, updateSource(state))
	if len(state.Workers) > 0 {
		fmt.Fprintln(out, "\nWORKER\tSERVICE\tVERSION\tSHARE\tLOAD\tSTATED")
	}
	for _, w := range state.Workers {
		lastReport := "never"
		if w.LoadAgeMs >= 0 {
			lastReport = fmt.Sprintf("%d ms ago", w.LoadAgeMs)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%.2f\t%.1f\t%s\n", w.ID, w.Service, w.Version, w.Share, w.Load, lastReport)
	}
	if len(state.Rollouts) > 0 {
		fmt.Fprintln(out, "\nROLLOUT\tTARGET\tRECORDED\tSTEP\tSHARE\tEVIDENCE AGAINST IT")
	}
	for _, r := range state.Rollouts {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%.2f\t%s\n", r.Service, r.Target, r.RecordedState, r.Step, r.Share, r.Regression)
	}
	return out.Flush()
}
