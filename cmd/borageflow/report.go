package main

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/burn"
	"github.com/borageflow/borageflow/internal/manifest"
)

// reportFlags holds the flags of the subcommand report.
type reportFlags struct {
	manifestFile, traceFile, countersFile, htmlFile string
}

func newReport() command {
	f := &reportFlags{}
	c := newCommand("report", "Reports the rate at which service-level objectives use up their error budgets.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: an alert rule fires."
	c.sub.String(&f.manifestFile, "m", "manifest", "File of the manifest that states the objectives.")
	c.sub.String(&f.traceFile, "t", "trace", "File of a trace, JSON lines (schema/trace.json); - reads the standard input.")
	c.sub.String(&f.countersFile, "c", "counters", "File of counter samples, JSON lines (schema/counters.json); - reads the standard input.")
	c.sub.String(&f.htmlFile, "w", "html", "File for the report as an HTML page without external resources; - writes it to the standard output.")
	return c
}

func (f *reportFlags) run(_ context.Context, s streams) error {
	meter, err := f.readMeter(s)
	if err != nil {
		return err
	}
	report := meter.Report()
	if f.htmlFile != "" {
		if err := writeFile(s, f.htmlFile, report.WriteHTML); err != nil {
			return err
		}
	}
	if f.htmlFile != "-" {
		if err := report.WriteText(s.out); err != nil {
			return eris.Wrap(err, "report cannot be written")
		}
	}
	if report.WorstVerdict() != burn.VerdictOK {
		return errOutcomeNotMet
	}
	return nil
}

// readMeter returns a meter that has read the trace or the counters that the flags
// name. It returns a usageError unless exactly one of the two is given.
func (f *reportFlags) readMeter(s streams) (*burn.Meter, error) {
	if (f.traceFile == "") == (f.countersFile == "") {
		return nil, usageError{"exactly one of --trace and --counters is required"}
	}
	raw, err := readFile(s, "manifest", f.manifestFile)
	if err != nil {
		return nil, err
	}
	checked, err := manifest.Check(raw)
	if err != nil {
		return nil, eris.Wrapf(err, "manifest %s", f.manifestFile)
	}
	meter := burn.NewMeter(checked)
	if f.traceFile != "" {
		return meter, readInput(s, "trace", f.traceFile, meter.ReadTrace)
	}
	return meter, readInput(s, "counters", f.countersFile, meter.ReadCounters)
}

// readInput opens the file of a flag and passes it to read.
func readInput(s streams, flag, name string, read func(io.Reader) error) error {
	file, err := openFile(s, flag, name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return read(file)
}
