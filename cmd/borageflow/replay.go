package main

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/replay"
)

// replayFlags holds the flags of the subcommand replay.
type replayFlags struct {
	traceFile, outcomesFile string
	json                    bool
}

func newReplay() command {
	f := &replayFlags{}
	c := newCommand("replay", "Checks a recorded trace against expected outcomes.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: an outcome is violated or has no evidence in the trace."
	c.sub.String(&f.traceFile, "t", "trace", "File of the trace, JSON lines (schema/trace.json); - reads the standard input.")
	c.sub.String(&f.outcomesFile, "o", "outcomes", "File of the expected outcomes (schema/outcomes.json).")
	c.sub.Bool(&f.json, "j", "json", "Prints the verdict as JSON (schema/verdict.json).")
	return c
}

func (f *replayFlags) run(_ context.Context, s streams) error {
	raw, err := readFile(s, "outcomes", f.outcomesFile)
	if err != nil {
		return err
	}
	outcomes, err := replay.DecodeOutcomes(raw)
	if err != nil {
		return eris.Wrapf(err, "outcomes %s", f.outcomesFile)
	}
	file, err := openFile(s, "trace", f.traceFile)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	verdict, err := replay.Check(file, outcomes)
	if err != nil {
		return err
	}
	write := func(w io.Writer) error { return replay.WriteText(w, verdict) }
	if f.json {
		write = jsonWriter(verdict)
	}
	if err := write(s.out); err != nil {
		return eris.Wrap(err, "verdict cannot be written")
	}
	if !verdict.Met {
		return errOutcomeNotMet
	}
	return nil
}
