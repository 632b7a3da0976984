// Command soak runs real gateway processes on loopback, harms them, their connections and
// their store from outside, and checks what callers and workers see.
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
	length := flag.Duration("length", 12*time.Second, "time with faults for each seed")
	gateways := flag.Int("gateways", 3, "gateway processes")
	workers := flag.Int("workers", 5, "workers")
	keep := flag.String("keep", "", "folder that keeps the logs of failed seeds")
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
		fmt.Fprintf(os.Stderr, "daemon cannot be built: %v\n%s", err, out)
		return 2
	}
	failed := 0
	for i := range *seeds {
		seed := *first + uint64(i) //nolint:gosec // a count is not negative
		s := shape{gateways: *gateways, workers: *workers, length: *length}
		broken, summary, err := soak(dir, binary, seed, s, *keep)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return 2
		}
		fmt.Printf("seed %d: %d broken promises; %s\n", seed, len(broken), summary)
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
