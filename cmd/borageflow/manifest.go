package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/adminclient"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// manifestFlags are the flags of the subcommand manifest.
type manifestFlags struct {
	adminFlags
	file, base string
	actions    []manifestAction
}

// manifestAction is one of check, diff, commit and show.
type manifestAction struct {
	sub *flaggy.Subcommand
	run func(context.Context, streams) error
}

func newManifest() command {
	f := &manifestFlags{}
	c := newCommand("manifest", "Checks, compares, commits or shows the manifest.", f.run)
	f.action(c.sub, "check", "Checks a manifest file without an entry.", f.check, true, false)
	f.action(c.sub, "diff", "Lists the changes from the manifest in force to a file.", f.diff, true, true)
	commit := f.action(c.sub, "commit", "Commits a manifest file on the condition that its base is still in force.", f.commit, true, true)
	commit.String(&f.base, "b", "base", "Revision that the file is based on, as generation.version; default the one in force.")
	f.action(c.sub, "show", "Prints the manifest in force.", f.show, false, true)
	return c
}

// action adds an action to the subcommand. One with a file takes it as its
// argument; a remote one calls an entry.
func (f *manifestFlags) action(parent *flaggy.Subcommand, name, description string, run func(context.Context, streams) error, file, remote bool) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if file {
		sub.AddPositionalValue(&f.file, "file", 1, true, "JSON file of the manifest")
	}
	if remote {
		f.add(sub)
	}
	parent.AttachSubcommand(sub, 1)
	f.actions = append(f.actions, manifestAction{sub, run})
	return sub
}

func (f *manifestFlags) run(ctx context.Context, s streams) error {
	for _, a := range f.actions {
		if a.sub.Used {
			return a.run(ctx, s)
		}
	}
	return usageError{"manifest needs one of check, diff, commit, show"}
}

func (f *manifestFlags) check(_ context.Context, s streams) error {
	raw, err := readFile(s, "file", f.file)
	if err != nil {
		return err
	}
	if _, err := manifest.Check(raw); err != nil {
		return printFaults(s, f.file, err)
	}
	fmt.Fprintf(s.out, "%s is valid\n", f.file)
	return nil
}

// printFaults lists the faults of a document; another error is returned as it is.
func printFaults(s streams, file string, err error) error {
	var faults schemacheck.Faults
	if !errors.As(err, &faults) {
		return err
	}
	faults.Print(s.err, file)
	return errNotMet
}

func (f *manifestFlags) diff(ctx context.Context, s streams) error {
	client, raw, err := f.open(s)
	if err != nil {
		return err
	}
	result, err := client.Check(ctx, raw)
	if err != nil {
		return err
	}
	if !result.Valid {
		return printFaults(s, f.file, schemacheck.Faults(result.Faults))
	}
	if len(result.Changes) == 0 {
		fmt.Fprintln(s.out, "no changes")
		return nil
	}
	fmt.Fprintln(s.out, strings.Join(result.Changes, "\n"))
	return nil
}

// open returns a client of the entry and the content of the file.
func (f *manifestFlags) open(s streams) (*adminclient.Client, []byte, error) {
	client, err := f.client()
	if err != nil {
		return nil, nil, err
	}
	raw, err := readFile(s, "file", f.file)
	return client, raw, err
}

func (f *manifestFlags) commit(ctx context.Context, s streams) error {
	client, raw, err := f.open(s)
	if err != nil {
		return err
	}
	base, err := f.baseRevision(ctx, client)
	if err != nil {
		return err
	}
	revision, err := client.Commit(ctx, raw, base)
	var refused *adminclient.Refused
	if errors.As(err, &refused) && refused.Check != nil {
		return printFaults(s, f.file, schemacheck.Faults(refused.Check.Faults))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "committed revision %d.%d\n", revision.Generation, revision.Version)
	return nil
}

// baseRevision returns the given base, or the revision in force; before the
// first commit there is none.
func (f *manifestFlags) baseRevision(ctx context.Context, client *adminclient.Client) (api.Revision, error) {
	if f.base != "" {
		return parseRevision(f.base)
	}
	m, err := client.Manifest(ctx)
	var refused *adminclient.Refused
	if errors.As(err, &refused) && refused.Failure.Kind == "not_ready" {
		return api.Revision{}, nil
	}
	return m.Revision, err
}

func parseRevision(text string) (api.Revision, error) {
	generation, version, ok := strings.Cut(text, ".")
	g, errGeneration := strconv.Atoi(generation)
	v, errVersion := strconv.Atoi(version)
	if !ok || errGeneration != nil || errVersion != nil {
		return api.Revision{}, usageError{fmt.Sprintf("base %q is not generation.version", text)}
	}
	return api.Revision{Generation: g, Version: v}, nil
}

func (f *manifestFlags) show(ctx context.Context, s streams) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	m, err := client.Manifest(ctx)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, m.Manifest, "", "  "); err != nil {
		return eris.Wrap(err, "manifest is not JSON")
	}
	fmt.Fprintf(s.err, "revision %d.%d\n", m.Revision.Generation, m.Revision.Version)
	_, err = fmt.Fprintln(s.out, indented.String())
	return err
}
