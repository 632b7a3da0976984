package perf

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"

	"go.uber.org/fx"
)

// runWithProfile runs a daemon until it is interrupted and writes its processor
// profile to a file. It returns the exit code.
func runWithProfile(app *fx.App, file string) int {
	out, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	<-ctx.Done()
	pprof.StopCPUProfile()
	return 0
}
