// Command soak runs gateway processes on loopback, injects faults into the processes, their
// connections and their store, and checks the responses of callers and the runs on workers.
//
//	go run ./test/soak -seeds 50
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

func main() { os.Exit(runAll()) }

func runAll() int {
	first := flag.Uint64("seed", uint64(time.Now().UnixNano()%1e9), "first seed") //nolint:gosec // a time is not negative
	seeds := flag.Int("seeds", 1, "number of seeds")
	faultTime := flag.Duration("length", 12*time.Second, "time during which faults are injected, for each seed")
	gateways := flag.Int("gateways", 3, "gateway processes")
	workers := flag.Int("workers", 5, "number of workers")
	logDir := flag.String("keep", "", "existing directory for the gateway logs of failed seeds")
	flag.Parse()
	dir, err := os.MkdirTemp("", "borageflow-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary := filepath.Join(dir, "borageflowd")
	build := exec.Command("go", "build", "-o", binary, "github.com/borageflow/borageflow/cmd/borageflowd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the daemon failed: %v\n%s", err, out)
		return 2
	}
	failed := 0
	for i := range *seeds {
		seed := *first + uint64(i) //nolint:gosec // a count is not negative
		size := scenarioSize{gateways: *gateways, workers: *workers, faultTime: *faultTime}
		broken, summary, err := runSeed(dir, binary, seed, size, *logDir)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return 2
		}
		fmt.Printf("seed %d: %d broken guarantees; %s\n", seed, len(broken), summary)
		for _, b := range broken {
			fmt.Println("  " + b)
		}
		if len(broken) > 0 {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, *seeds)
	if failed > 0 {
		return 1
	}
	return 0
}
