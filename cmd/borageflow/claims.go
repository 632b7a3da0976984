package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/borageflow/borageflow/internal/admin"
)

// claimsFlags are the flags of the subcommand claims.
type claimsFlags struct {
	adminFlags
	key                      admin.ClaimKey
	request, outcome, answer string
	show, resolve            *flaggy.Subcommand
}

func newClaims() command {
	f := &claimsFlags{}
	c := newCommand("claims", "Shows or resolves the claim of a non-idempotent call.", f.run)
	f.show = f.action(c.sub, "show", "Shows what the store holds for a key.")
	f.resolve = f.action(c.sub, "resolve", "States the outcome of a call that is blocked as unknown.")
	f.resolve.String(&f.request, "r", "request", "Request that was checked with the service, as show prints it.")
	f.resolve.String(&f.outcome, "o", "outcome", "not_run or completed. A wrong not_run can cause a second run.")
	f.resolve.String(&f.answer, "", "answer", "JSON file of the service's answer, for completed; - is the standard input.")
	return c
}

func (f *claimsFlags) action(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	f.add(sub)
	sub.String(&f.key.Customer, "c", "customer", "Customer of the call.")
	sub.String(&f.key.Service, "s", "service", "Service of the call.")
	sub.String(&f.key.Operation, "p", "operation", "Operation of the call.")
	sub.String(&f.key.IdempotencyKey, "i", "idempotency-key", "Idempotency-Key of the call.")
	parent.AttachSubcommand(sub, 1)
	return sub
}

func (f *claimsFlags) run(ctx context.Context, s streams) error {
	if !f.show.Used && !f.resolve.Used {
		return usageError{"claims needs one of show, resolve"}
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	if f.show.Used {
		return printClaim(s, func() (admin.ClaimView, error) { return client.Claim(ctx, f.key) })
	}
	resolution := admin.ClaimResolution{ClaimKey: f.key, Request: f.request, Outcome: f.outcome}
	if f.answer != "" {
		if resolution.Answer, err = readFile(s, "answer", f.answer); err != nil {
			return err
		}
	}
	return printClaim(s, func() (admin.ClaimView, error) { return client.ResolveClaim(ctx, resolution) })
}

func printClaim(s streams, call func() (admin.ClaimView, error)) error {
	view, err := call()
	if err != nil {
		return err
	}
	if view.Request == "" {
		_, err = fmt.Fprintln(s.out, view.State)
		return err
	}
	t := newTable(s.out, "STATE", "REQUEST", "GRANTED BY", "SIDECAR", "UNTIL")
	t.row(view.State, view.Request, view.Entry, view.Sidecar, view.Until.UTC().Format("2006-01-02T15:04:05Z"))
	return t.w.Flush()
}
