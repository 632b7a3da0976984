package main

import (
	"context"

	"github.com/integrii/flaggy"
)

// command is one subcommand with its flags and what it does.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, streams) error
}

// registry lists the subcommands in the order of the help text. Each has a file
// of its own.
var registry = []func() command{
	newDev,
	newManifest,
	newStatus,
	newGateway,
	newUsage,
	newClaims,
	newLoad,
	newReplay,
	newReport,
	newStandin,
}

// newCommand returns a subcommand without flags.
func newCommand(name, description string, run func(context.Context, streams) error) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return command{sub: sub, run: run}
}
