// Command borageflowd runs one borageflow daemon: an entry, a sidecar or a gateway.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/daemon"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// settingsVariable names the settings file when the command line does not.
const settingsVariable = "BORAGEFLOW_SETTINGS"

// version is set by the build with -ldflags "-X main.version=...".
var version = "development"

func main() { os.Exit(run()) }

func run() int {
	var file string
	var check bool
	flaggy.SetName("borageflowd")
	flaggy.SetDescription("Runs one borageflow daemon: an entry, a sidecar or a gateway.")
	flaggy.SetVersion(version)
	flaggy.AddPositionalValue(&file, "settings", 1, false, "JSON file of the settings; by default the one that "+settingsVariable+" names")
	flaggy.Bool(&check, "c", "check", "Check the settings and exit")
	flaggy.Parse()

	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if isGateway(file) {
		return runGateway(file, check)
	}
	settings, err := daemon.ReadSettings(file)
	if err != nil {
		printFaults(file, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	log, err := observe.NewLogger(string(settings.Log.Level), settings.Instance)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	app := daemon.New(settings, log)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.Start(ctx); err != nil {
		log.Error("daemon cannot start", zap.Error(err))
		return exitFailed
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		log.Error("daemon did not stop cleanly", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// printFaults lists the faults of a settings file, or prints why it was not read.
func printFaults(file string, err error) {
	var faults schemacheck.Faults
	if !errors.As(err, &faults) {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	faults.Print(os.Stderr, file)
}
