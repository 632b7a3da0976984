// Command standin plays the cases of the review: it starts gateways as processes, with the platform's store,
// workers and callers as stand-ins of its own, and writes what was sent, answered and run to a record.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds what each case does. A case returns whether its rule was broken.
var cases = map[string]func(*scene) (bool, error){
	"older-copy": playOlderCopy,
	"silence":    playSilence,
	"bodies":     playBodies,
	"overlap":    playOverlap,
	"unframed":   playUnframed,
}

//go:embed names.json
var rawNames []byte

// names holds the names of the platform's wire that package platform does not state.
var names struct{ Signature, NotRun, RetryAfter string }

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", "", "folder of the record")
	root := flag.String("root", ".", "root of the repository")
	trouble := flag.Bool("trouble", true, "plays the disruption")
	pause := flag.Duration("pause", 2500*time.Millisecond, "how long a stream that is put back waits, in the cases silence and overlap")
	times := flag.Int("times", 1, "how often each stream is put back")
	changes := flag.Bool("changes", false, "changes the configuration in place of the SIGTERM, in the case silence")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return exitNotRun
	}
	if err := json.Unmarshal(rawNames, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newScene(*root, filepath.Join(*folder, "record.txt"), *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s.silence = silencePlan{*pause, *times, *changes}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.close() // no process is left
		os.Exit(exitNotRun)
	}()
	broken, err := play(s)
	s.close()
	switch {
	case err != nil:
		s.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		s.record.line("result: the rule was BROKEN")
		return exitBroken
	}
	s.record.line("result: the rule held")
	return exitHeld
}
