package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/loadgen"
	"github.com/borageflow/borageflow/internal/tlsconf"
	"github.com/borageflow/borageflow/internal/trace"
)

// loadFlags are the flags of the subcommand load.
type loadFlags struct {
	plan, trace, json, ca string
	entries, ledgers      []string
	rate, seconds         float64
	count                 int
}

func newLoad() command {
	f := &loadFlags{}
	c := newCommand("load", "Sends an open-loop load to entries and prints what callers saw.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: an answer was lost, wrong, doubled, untruly refused or moved to another version, or an arrival was not sent."
	c.sub.String(&f.plan, "p", "plan", "File of the load plan (schema/loadplan.json); - reads the standard input.")
	c.sub.StringSlice(&f.entries, "e", "entry", "Base URL of an entry; may be repeated.")
	c.sub.StringSlice(&f.ledgers, "l", "ledger", "Base URL of a stand-in whose ledger is compared; may be repeated.")
	c.sub.String(&f.trace, "t", "trace", "File of a recorded trace whose arrivals are sent in place of the plan's.")
	c.sub.String(&f.json, "j", "json", "File for the result as JSON (schema/loadresult.json); - writes it to the standard output.")
	c.sub.String(&f.ca, "", "ca", "File of the certificates that sign the entries' certificates (PEM).")
	c.sub.Float64(&f.rate, "r", "rate", "Arrivals per second, in place of the plan's.")
	c.sub.Float64(&f.seconds, "s", "seconds", "Seconds of arrivals, in place of the plan's.")
	c.sub.Int(&f.count, "n", "count", "Bound on the arrivals, in place of the plan's.")
	return c
}

func (f *loadFlags) run(ctx context.Context, s streams) error {
	options, err := f.options(s)
	if err != nil {
		return err
	}
	result, err := loadgen.Run(ctx, options)
	if err != nil {
		return err
	}
	if f.json != "" {
		if err := writeFile(s, f.json, jsonWriter(result)); err != nil {
			return err
		}
	}
	if f.json != "-" {
		if err := loadgen.WriteText(s.out, result); err != nil {
			return eris.Wrap(err, "summary cannot be written")
		}
	}
	if !loadgen.Met(result) {
		return errNotMet
	}
	return nil
}

func (f *loadFlags) options(s streams) (loadgen.Options, error) {
	if len(f.entries) == 0 {
		return loadgen.Options{}, usageError{"flag --entry is required"}
	}
	raw, err := readFile(s, "plan", f.plan)
	if err != nil {
		return loadgen.Options{}, err
	}
	plan, err := loadgen.DecodePlan(raw)
	if err != nil {
		return loadgen.Options{}, eris.Wrapf(err, "plan %s", f.plan)
	}
	f.override(&plan)
	options := loadgen.Options{Plan: plan, Entries: f.entries, Ledgers: f.ledgers}
	if f.trace != "" {
		if options.Trace, err = readTrace(s, f.trace); err != nil {
			return loadgen.Options{}, err
		}
	}
	if f.ca != "" {
		options.Client, err = clientFor(f.ca)
	}
	return options, err
}

// override replaces figures of the plan by those of the command line.
func (f *loadFlags) override(plan *api.LoadPlan) {
	if f.rate > 0 {
		plan.Rate = f.rate
	}
	if f.seconds > 0 {
		plan.Seconds = f.seconds
	}
	if f.count > 0 {
		plan.Count = f.count
	}
}

func readTrace(s streams, name string) ([]api.TraceRecord, error) {
	file, err := openFile(s, "trace", name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return trace.ReadAll(file)
}

// clientFor returns a client that trusts the certificates of a file.
func clientFor(ca string) (*http.Client, error) {
	config, err := tlsconf.Client(ca)
	if err != nil {
		return nil, err
	}
	client := loadgen.NewClient()
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.TLSClientConfig = config
	}
	return client, nil
}

// jsonWriter writes a value as indented JSON.
func jsonWriter(value any) func(io.Writer) error {
	return func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
}
