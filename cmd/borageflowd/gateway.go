package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/gateway"
	"github.com/borageflow/borageflow/platform"
)

// gcPercent trades memory for processor time: a gateway has a third of a core and
// holds a few MB.
const gcPercent = 400

// isGateway reports whether a settings file has role gateway. A file that cannot be read
// or decoded is left to the check of the other roles, which reports the fault.
func isGateway(file string) bool {
	raw, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	var head struct {
		Role string `json:"role"`
	}
	return json.Unmarshal(raw, &head) == nil && head.Role == string(api.GatewaySettingsRoleGateway)
}

// runGateway runs the role gateway until a signal ends it.
func runGateway(file string, check bool) int {
	settings, err := gateway.ReadSettings(file)
	if err != nil {
		printFaults(file, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	app, err := gateway.App(settings, gateway.Parts{
		Store:     platform.NewStore(settings.StoreAddress, settings.StoreTimeout),
		Dialect:   platform.Headers,
		Reload:    func() (gateway.Settings, error) { return gateway.ReadSettings(file) },
		LogOutput: os.Stdout,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
