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

// Exit codes of the daemon.
const (
	exitOK          = 0
	exitFailure     = 1
	exitBadSettings = 2
)

// settingsFileVariable is the environment variable with the path of the settings file; it
// applies when the command line has no path.
const settingsFileVariable = "BORAGEFLOW_SETTINGS"

// version is set by the linker, with -ldflags "-X main.version=...".
var version = "development"

func main() { os.Exit(run()) }

// run runs the daemon until SIGINT or SIGTERM, or only checks its settings, and returns
// the exit code.
func run() int {
	var file string
	var check bool
	flaggy.SetName("borageflowd")
	flaggy.SetDescription("Runs one borageflow daemon: an entry, a sidecar or a gateway.")
	flaggy.SetVersion(version)
	flaggy.AddPositionalValue(&file, "settings", 1, false, "JSON file of the settings; default the file that $"+settingsFileVariable+" names")
	flaggy.Bool(&check, "c", "check", "Checks the settings and exits")
	flaggy.Parse()

	if file == "" {
		file = os.Getenv(settingsFileVariable)
	}
	if isGateway(file) {
		return runGateway(file, check)
	}
	settings, err := daemon.ReadSettings(file)
	if err != nil {
		printFaults(file, err)
		return exitBadSettings
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	log, err := observe.NewLogger(string(settings.Log.Level), settings.Instance)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	app := daemon.New(settings, log)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.Start(ctx); err != nil {
		log.Error("daemon cannot start", zap.Error(err))
		return exitFailure
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		log.Error("daemon did not stop cleanly", zap.Error(err))
		return exitFailure
	}
	return exitOK
}

// printFaults prints the faults of a settings file, or the error that prevented reading
// it.
func printFaults(file string, err error) {
	var faults schemacheck.Faults
	if !errors.As(err, &faults) {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	faults.Print(os.Stderr, file)
}
