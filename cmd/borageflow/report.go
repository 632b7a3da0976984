package main

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/burn"
	"github.com/borageflow/borageflow/internal/manifest"
)

// reportFlags are the flags of the subcommand report.
type reportFlags struct {
	manifest, trace, counters, html string
}

func newReport() command {
	f := &reportFlags{}
	c := newCommand("report", "Reports how fast the service-level objectives burn their error budgets.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: an alert rule fires."
	c.sub.String(&f.manifest, "m", "manifest", "File of the manifest that states the objectives.")
	c.sub.String(&f.trace, "t", "trace", "File of a trace, JSON lines of schema/trace.json; - reads the standard input.")
	c.sub.String(&f.counters, "c", "counters", "File of counter readings, JSON lines of schema/counters.json.")
	c.sub.String(&f.html, "w", "html", "File for the report as a page that opens without a network.")
	return c
}

func (f *reportFlags) run(_ context.Context, s streams) error {
	meter, err := f.meter(s)
	if err != nil {
		return err
	}
	report := meter.Report()
	if f.html != "" {
		if err := writeFile(s, f.html, report.WriteHTML); err != nil {
			return err
		}
	}
	if f.html != "-" {
		if err := report.WriteText(s.out); err != nil {
			return eris.Wrap(err, "report cannot be written")
		}
	}
	if report.Worst() != burn.VerdictOK {
		return errNotMet
	}
	return nil
}

// meter returns a meter that has read the given trace or counters.
func (f *reportFlags) meter(s streams) (*burn.Meter, error) {
	if (f.trace == "") == (f.counters == "") {
		return nil, usageError{"exactly one of --trace and --counters is required"}
	}
	raw, err := readFile(s, "manifest", f.manifest)
	if err != nil {
		return nil, err
	}
	checked, err := manifest.Check(raw)
	if err != nil {
		return nil, eris.Wrapf(err, "manifest %s", f.manifest)
	}
	meter := burn.NewMeter(checked)
	if f.trace != "" {
		return meter, feed(s, "trace", f.trace, meter.ReadTrace)
	}
	return meter, feed(s, "counters", f.counters, meter.ReadCounters)
}

func feed(s streams, flag, name string, read func(io.Reader) error) error {
	file, err := openFile(s, flag, name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return read(file)
}
