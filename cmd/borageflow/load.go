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

// loadFlags holds the flags of the subcommand load.
type loadFlags struct {
	planFile, traceFile, resultFile, caFile string
	entries, ledgers                        []string
	rate, seconds                           float64
	maxArrivals                             int
}

func newLoad() command {
	f := &loadFlags{}
	c := newCommand("load", "Sends an open-loop load to entries and prints the results that callers saw.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: an answer was lost, wrong, doubled, wrongly refused or moved to another version, or an arrival was not sent."
	c.sub.String(&f.planFile, "p", "plan", "File of the load plan (schema/loadplan.json); - reads the standard input.")
	c.sub.StringSlice(&f.entries, "e", "entry", "Base URL of an entry; may be repeated.")
	c.sub.StringSlice(&f.ledgers, "l", "ledger", "Base URL of a stand-in whose ledger is compared; may be repeated.")
	c.sub.String(&f.traceFile, "t", "trace", "File of a recorded trace whose arrivals replace those of the plan.")
	c.sub.String(&f.resultFile, "j", "json", "File for the result as JSON (schema/loadresult.json); - writes it to the standard output.")
	c.sub.String(&f.caFile, "", "ca", "PEM file of the CA certificates that verify the entries' certificates.")
	c.sub.Float64(&f.rate, "r", "rate", "Arrivals per second; overrides the plan.")
	c.sub.Float64(&f.seconds, "s", "seconds", "Duration of the arrivals in seconds; overrides the plan.")
	c.sub.Int(&f.maxArrivals, "n", "count", "Maximum number of arrivals; overrides the plan.")
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
	if f.resultFile != "" {
		if err := writeFile(s, f.resultFile, jsonWriter(result)); err != nil {
			return err
		}
	}
	if f.resultFile != "-" {
		if err := loadgen.WriteText(s.out, result); err != nil {
			return eris.Wrap(err, "summary cannot be written")
		}
	}
	if !loadgen.IsFaultFree(result) {
		return errOutcomeNotMet
	}
	return nil
}

// options reads the files that the flags name and returns the options of the load
// generator.
func (f *loadFlags) options(s streams) (loadgen.Options, error) {
	if len(f.entries) == 0 {
		return loadgen.Options{}, usageError{"flag --entry is required"}
	}
	raw, err := readFile(s, "plan", f.planFile)
	if err != nil {
		return loadgen.Options{}, err
	}
	plan, err := loadgen.DecodePlan(raw)
	if err != nil {
		return loadgen.Options{}, eris.Wrapf(err, "plan %s", f.planFile)
	}
	f.overridePlan(&plan)
	options := loadgen.Options{Plan: plan, Entries: f.entries, Ledgers: f.ledgers}
	if f.traceFile != "" {
		if options.Trace, err = readTrace(s, f.traceFile); err != nil {
			return loadgen.Options{}, err
		}
	}
	if f.caFile != "" {
		options.Client, err = newTLSClient(f.caFile)
	}
	return options, err
}

// overridePlan replaces values of the plan with the flags that are above 0.
func (f *loadFlags) overridePlan(plan *api.LoadPlan) {
	if f.rate > 0 {
		plan.Rate = f.rate
	}
	if f.seconds > 0 {
		plan.Seconds = f.seconds
	}
	if f.maxArrivals > 0 {
		plan.Count = f.maxArrivals
	}
}

// readTrace returns the records of a trace file.
func readTrace(s streams, name string) ([]api.TraceRecord, error) {
	file, err := openFile(s, "trace", name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return trace.ReadAll(file)
}

// newTLSClient returns an HTTP client that trusts the CA certificates of a PEM file.
func newTLSClient(ca string) (*http.Client, error) {
	config, err := tlsconf.ClientConfig(ca)
	if err != nil {
		return nil, err
	}
	client := loadgen.NewClient()
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.TLSClientConfig = config
	}
	return client, nil
}

// jsonWriter returns a function that writes value as indented JSON.
func jsonWriter(value any) func(io.Writer) error {
	return func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
}
