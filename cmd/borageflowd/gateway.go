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

// gatewayGCPercent is the garbage collection target of a gateway, in percent. It is
// above the default of 100 to save processor time: a gateway has a third of a core and
// its heap is only a few MB.
const gatewayGCPercent = 400

// isGateway reports whether the role in a settings file is gateway. It returns false for
// a file that cannot be read or decoded; daemon.ReadSettings then reports the error.
func isGateway(file string) bool {
	raw, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	var header struct {
		Role string `json:"role"`
	}
	return json.Unmarshal(raw, &header) == nil && header.Role == string(api.GatewaySettingsRoleGateway)
}

// runGateway runs a gateway until SIGINT or SIGTERM, or only checks its settings. It
// returns the exit code.
func runGateway(file string, check bool) int {
	settings, err := platform.ReadSettings(file)
	if err != nil {
		printFaults(file, err)
		return exitBadSettings
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetGCPercent(gatewayGCPercent)
	app, err := gateway.App(settings, gateway.Dependencies{
		Store:     platform.NewStore(settings.StoreAddress, settings.StoreTimeout),
		Headers:   platform.Headers,
		Reload:    func() (gateway.Settings, error) { return platform.ReadSettings(file) },
		LogOutput: os.Stdout,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}
