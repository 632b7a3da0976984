// Command standin-2 plays the scripts of the second review: it stands in for the platform's store, its workers and
// its callers, and starts gateways as processes.
//
// Usage: standin-2 SCENE RECORD, in the root of the repository. It exits with 1 if the rule of the scene was broken, 0 if it held and
// 2 if the scene could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannotDo = 2
)

//go:embed names.json
var namesText []byte

// wire holds names of the platform's wire that the program's own packages do not export.
var wire struct {
	ReadyPath, Signature, Config, ConfigName, Workers, Rollouts string
}

// maxRunTime ends a scene that hangs.
const maxRunTime = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if err := json.Unmarshal(namesText, &wire); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotDo
	}
	scenes := map[string]func(*scene) (verdict, error){
		"foreign-model": foreignModel,
		"lost-target":   lostTarget, "cutting-version": cuttingVersion, "foreign-entry": foreignEntry, "order-taken-back": orderTakenBack,
	}
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENE RECORD")
		return exitCannotDo
	}
	s, err := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotDo
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type result struct {
		verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := scenes[os.Args[1]](s)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return s.conclude(r.verdict, r.err)
	case <-stop:
	case <-time.After(maxRunTime):
	}
	s.note("scene was stopped")
	return exitCannotDo
}

// verdict states whether the rule was broken, and by what.
type verdict struct {
	broken bool
	why    string
}

func (s *scene) conclude(v verdict, err error) int {
	code, text := exitHeld, "held: "+v.why
	switch {
	case err != nil:
		code, text = exitCannotDo, "could not run: "+err.Error()
	case v.broken:
		code, text = exitBroken, "broken: "+v.why
	}
	s.note("%s", text)
	fmt.Println(text)
	return code
}
