package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/borageflow/borageflow/internal/admin"
)

// claimsFlags holds the flags and the actions of the subcommand claims.
type claimsFlags struct {
	adminFlags
	key                          admin.ClaimKey
	request, outcome, answerFile string
	show, resolve                *flaggy.Subcommand
}

func newClaims() command {
	f := &claimsFlags{}
	c := newCommand("claims", "Shows or resolves the claim of a non-idempotent call.", f.run)
	f.show = f.addAction(c.sub, "show", "Shows what the store holds for a key.")
	f.resolve = f.addAction(c.sub, "resolve", "Records the outcome of a call that is blocked because its outcome is unknown.")
	f.resolve.String(&f.request, "r", "request", "ID of the request that was checked with the service, as show prints it.")
	f.resolve.String(&f.outcome, "o", "outcome", "not_run or completed. If the call did run, not_run can make it run a second time.")
	f.resolve.String(&f.answerFile, "", "answer", "JSON file of the service's answer, for completed; - reads the standard input.")
	return c
}

// addAction attaches an action, such as show, with the flags that identify a call.
func (f *claimsFlags) addAction(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	f.addTo(sub)
	sub.String(&f.key.Customer, "c", "customer", "Customer of the call.")
	sub.String(&f.key.Service, "s", "service", "Service of the call.")
	sub.String(&f.key.Operation, "p", "operation", "Operation of the call.")
	sub.String(&f.key.IdempotencyKey, "i", "idempotency-key", "Idempotency-Key of the call.")
	parent.AttachSubcommand(sub, 1)
	return sub
}

func (f *claimsFlags) run(ctx context.Context, s streams) error {
	if !f.show.Used && !f.resolve.Used {
		return usageError{"claims needs one of the actions show, resolve"}
	}
	client, err := f.newClient()
	if err != nil {
		return err
	}
	if f.show.Used {
		return printClaim(s, func() (admin.ClaimView, error) { return client.Claim(ctx, f.key) })
	}
	resolution := admin.ClaimResolution{ClaimKey: f.key, Request: f.request, Outcome: f.outcome}
	if f.answerFile != "" {
		if resolution.Answer, err = readFile(s, "answer", f.answerFile); err != nil {
			return err
		}
	}
	return printClaim(s, func() (admin.ClaimView, error) { return client.ResolveClaim(ctx, resolution) })
}

// printClaim calls the administration API and prints the claim that it returns. A key
// without a claim has no request, so only its state is printed.
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
	t.row(view.State, view.Request, view.Entry, view.Sidecar, view.RunDeadline.UTC().Format("2006-01-02T15:04:05Z"))
	return t.w.Flush()
}
