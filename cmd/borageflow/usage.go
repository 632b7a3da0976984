package main

import (
	"context"
	"fmt"
)

// usageFlags holds the flags of the subcommand usage.
type usageFlags struct {
	adminFlags
	json bool
}

func newUsage() command {
	f := &usageFlags{}
	c := newCommand("usage", "Shows the billed usage of the deployment.", f.run)
	f.addTo(c.sub)
	c.sub.Bool(&f.json, "j", "json", "Prints JSON.")
	return c
}

func (f *usageFlags) run(ctx context.Context, s streams) error {
	client, err := f.newClient()
	if err != nil {
		return err
	}
	totals, err := client.Usage(ctx)
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(s, totals)
	}
	t := newTable(s.out, "CUSTOMER", "VERSION", "OPERATION", "STAGES", "INPUT TOKENS", "OUTPUT TOKENS", "COST")
	for _, l := range totals.Lines {
		operation := l.Operation
		if l.Service != "" {
			operation = l.Service + "/" + l.Operation
		}
		t.row(l.Customer, l.Version, operation, l.Stages, l.InputTokens, l.OutputTokens, fmt.Sprintf("%.2f", l.Cost))
	}
	if err := t.w.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%d duplicate records dropped, %d stages of unknown run state not billed\n", totals.Duplicates, totals.Unproven)
	return err
}
