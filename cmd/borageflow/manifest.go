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

// manifestFlags holds the flags and the actions of the subcommand manifest.
type manifestFlags struct {
	adminFlags
	file, base string
	actions    []manifestAction
}

// manifestAction is one of the actions check, diff, commit and show.
type manifestAction struct {
	sub *flaggy.Subcommand
	run func(context.Context, streams) error
}

func newManifest() command {
	f := &manifestFlags{}
	c := newCommand("manifest", "Checks, compares, commits or shows the manifest.", f.run)
	f.addAction(c.sub, "check", "Checks a manifest file locally, without an entry.", f.check, true, false)
	f.addAction(c.sub, "diff", "Lists the changes between the manifest in force and a file.", f.diff, true, true)
	commit := f.addAction(c.sub, "commit", "Commits a manifest file if its base revision is still in force.", f.commit, true, true)
	commit.String(&f.base, "b", "base", "Revision that the file is based on, as generation.version; default the one in force.")
	f.addAction(c.sub, "show", "Prints the manifest in force.", f.show, false, true)
	return c
}

// addAction attaches an action to the subcommand. hasFile adds the manifest file as a
// positional argument; isRemote adds the flags for calls to an entry.
func (f *manifestFlags) addAction(parent *flaggy.Subcommand, name, description string, run func(context.Context, streams) error, hasFile, isRemote bool) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if hasFile {
		sub.AddPositionalValue(&f.file, "file", 1, true, "JSON file of the manifest")
	}
	if isRemote {
		f.addTo(sub)
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
	return usageError{"manifest needs one of the actions check, diff, commit, show"}
}

// check prints the faults of the manifest file, without a call to an entry.
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

// printFaults prints the faults of a document and returns errOutcomeNotMet. It returns
// any other error unchanged.
func printFaults(s streams, file string, err error) error {
	var faults schemacheck.Faults
	if !errors.As(err, &faults) {
		return err
	}
	faults.Print(s.err, file)
	return errOutcomeNotMet
}

// diff prints the changes between the manifest in force and the file.
func (f *manifestFlags) diff(ctx context.Context, s streams) error {
	client, raw, err := f.openClientAndFile(s)
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

// openClientAndFile returns a client of the entry and the content of the manifest file.
func (f *manifestFlags) openClientAndFile(s streams) (*adminclient.Client, []byte, error) {
	client, err := f.newClient()
	if err != nil {
		return nil, nil, err
	}
	raw, err := readFile(s, "file", f.file)
	return client, raw, err
}

// commit sends the manifest file to the entry, to replace its base revision.
func (f *manifestFlags) commit(ctx context.Context, s streams) error {
	client, raw, err := f.openClientAndFile(s)
	if err != nil {
		return err
	}
	base, err := f.baseRevision(ctx, client)
	if err != nil {
		return err
	}
	revision, err := client.Commit(ctx, raw, base)
	var apiErr *adminclient.APIError
	if errors.As(err, &apiErr) && apiErr.Check != nil {
		return printFaults(s, f.file, schemacheck.Faults(apiErr.Check.Faults))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "committed revision %d.%d\n", revision.Generation, revision.Version)
	return nil
}

// baseRevision returns the flag --base, or else the revision in force. It returns the
// zero revision before the first commit, when the entry answers not_ready.
func (f *manifestFlags) baseRevision(ctx context.Context, client *adminclient.Client) (api.Revision, error) {
	if f.base != "" {
		return parseRevision(f.base)
	}
	m, err := client.Manifest(ctx)
	var apiErr *adminclient.APIError
	if errors.As(err, &apiErr) && apiErr.Response.Kind == "not_ready" {
		return api.Revision{}, nil
	}
	return m.Revision, err
}

// parseRevision parses generation.version, such as 1.12.
func parseRevision(text string) (api.Revision, error) {
	generation, version, ok := strings.Cut(text, ".")
	g, errGeneration := strconv.Atoi(generation)
	v, errVersion := strconv.Atoi(version)
	if !ok || errGeneration != nil || errVersion != nil {
		return api.Revision{}, usageError{fmt.Sprintf("base %q is not generation.version", text)}
	}
	return api.Revision{Generation: g, Version: v}, nil
}

// show prints the manifest in force to the standard output and its revision to the
// standard error.
func (f *manifestFlags) show(ctx context.Context, s streams) error {
	client, err := f.newClient()
	if err != nil {
		return err
	}
	m, err := client.Manifest(ctx)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, m.Manifest, "", "  "); err != nil {
		return eris.Wrap(err, "manifest of the entry is not JSON")
	}
	fmt.Fprintf(s.err, "revision %d.%d\n", m.Revision.Generation, m.Revision.Version)
	_, err = fmt.Fprintln(s.out, indented.String())
	return err
}
