package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/gateway"
)

// explainFlags holds the flags of the subcommand explain.
type explainFlags struct {
	address, output                                                     string
	route, customer, service, model, prompt, session, request, deadline string
}

func newExplain() command {
	f := &explainFlags{address: "127.0.0.1:7340", output: "table"}
	c := newCommand("explain", "Explains where a request would go now, and why, without sending it.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: no worker may get the request, the gateway is not ready or does not answer."
	c.sub.String(&f.address, "a", "at", "host:port of the gateway's metrics listener.")
	c.sub.String(&f.output, "o", "output", "table or json.")
	c.sub.String(&f.route, "r", "route", "Name of the route.")
	c.sub.String(&f.customer, "c", "customer", "Name of the customer; none for an anonymous request.")
	c.sub.String(&f.service, "s", "service", "Service of the route; the first one without it.")
	c.sub.String(&f.model, "m", "model", "Model that the caller names; without it the router chooses.")
	c.sub.String(&f.prompt, "p", "prompt", "Parts of the prompt as ID:TOKENS, separated by commas; IDs in hexadecimal.")
	c.sub.String(&f.session, "e", "session", "Session of the request.")
	c.sub.String(&f.request, "i", "request", "ID of the request, by which a rollout chooses the version without a session.")
	c.sub.String(&f.deadline, "d", "deadline", "Time that the caller waits, such as 5s.")
	return c
}

func (f *explainFlags) run(ctx context.Context, s streams) error {
	if f.route == "" {
		return usageError{"--route must be set"}
	}
	if f.output != "table" && f.output != "json" {
		return usageError{fmt.Sprintf("--output is %q, must be table or json", f.output)}
	}
	query := url.Values{"route": {f.route}}
	for name, value := range map[string]string{"customer": f.customer, "service": f.service, "model": f.model, "prompt": f.prompt, "session": f.session, "request": f.request, "deadline": f.deadline} {
		if value != "" {
			query.Set(name, value)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	body, err := callGateway(ctx, f.address, http.MethodGet, "/explain?"+query.Encode())
	if err != nil {
		return err
	}
	var e gateway.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return eris.Wrapf(err, "answer of the gateway at %s cannot be decoded", f.address)
	}
	if f.output == "json" {
		err = printJSON(s, e)
	} else {
		err = printExplanation(s, &e)
	}
	if err == nil && e.Worker == "" {
		return errOutcomeNotMet
	}
	return err
}

func printExplanation(s streams, e *gateway.Explanation) error {
	t := newTable(s.out, "gateway", e.Instance+", "+e.FailureDomain)
	t.row("route", fmt.Sprintf("%s, service %s, priority %d, configuration %d", e.Route, e.Service, e.Priority, e.ConfigVersion))
	if a := e.Admission; a != nil {
		t.row("admission", fmt.Sprintf("%s, %d waiting, room after %d ms, known %d ms ago", a.Outcome, a.Queued, a.RoomWaitMs, a.RoomAgeMs))
	}
	goesTo := e.Worker
	if goesTo == "" {
		goesTo = "nowhere: " + e.Reason
	} else if e.LeftFor != "" {
		goesTo += ", leaves the failure domain for " + e.LeftFor
	}
	t.row("goes to", goesTo)
	t.row("after a failure", fmt.Sprintf("%d workers at most, retry left: %t", e.MaxAttempts, e.RetryLeft))
	if e.NextModel != "" {
		t.row("low confidence", "asks "+e.NextModel)
	}
	if err := t.w.Flush(); err != nil {
		return err
	}
	if len(e.Candidates) > 0 {
		fmt.Fprintln(s.out)
		t = newTable(s.out, "WORKER", "DOMAIN", "VERSION", "SCORE", "LOAD", "AGE MS", "FAILURES", "POOL", "WORK", "SLOWNESS", "CAPACITY", "LEAVING", "SHARE", "CACHED")
		for _, c := range e.Candidates {
			t.row(c.Worker, c.FailureDomain, c.Version, number(c.Score), number(c.Load), c.LoadAgeMs, number(c.Failures), number(c.OtherPool), number(c.Work), number(c.Slowness), number(c.Capacity), number(c.Leaving), number(c.Share), c.CachedTokens)
		}
		if err := t.w.Flush(); err != nil {
			return err
		}
	}
	for _, worker := range slices.Sorted(maps.Keys(e.Excluded)) {
		fmt.Fprintf(s.out, "%s is left out: %s\n", worker, e.Excluded[worker])
	}
	return nil
}

func number(value float64) string { return fmt.Sprintf("%.2f", value) }
