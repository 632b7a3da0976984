package main

import (
	"context"

	"github.com/integrii/flaggy"
)

// command is a subcommand and the function that runs it after its flags are parsed.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, streams) error
}

// subcommands lists the constructors of the subcommands in the order of the help text.
var subcommands = []func() command{
	newDev,
	newManifest,
	newStatus,
	newGateway,
	newQuarantine,
	newExplain,
	newUsage,
	newClaims,
	newLoad,
	newReplay,
	newReport,
	newStandin,
}

// newCommand returns a subcommand without flags; the caller adds them.
func newCommand(name, description string, run func(context.Context, streams) error) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return command{sub: sub, run: run}
}
