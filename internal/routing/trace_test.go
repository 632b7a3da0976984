package routing_test

import (
	"encoding/json"
	"flag"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/routing"
)

// TestMain sets a fixed seed for rapid unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleetTrace is a recorded sequence of events with the expected picks.
type fleetTrace struct {
	Description string
	Self        routing.Location
	Events      []fleetEvent
}

// fleetEvent is one event of a trace.
type fleetEvent struct {
	// At is the time since the start of the trace in milliseconds.
	At      int
	Servers []routing.Server
	Server  string
	Weight  *float64
	Report  *api.LoadReport
	Cached  *bool
	Prefix  uint64
	Starts  int
	Pick    *routing.Query
	// Want lists the servers that tracePicks picks return; empty means that no pick
	// succeeds.
	Want []string
}

const tracePicks = 40

// Guards against changes of the picks for recorded sequences of events.
func TestRecordedFleetTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			assert.NilError(t, err)
			var trace fleetTrace
			assert.NilError(t, json.Unmarshal(raw, &trace))
			replayFleet(t, trace)
		})
	}
}

func replayFleet(t *testing.T, trace fleetTrace) {
	f := routing.NewFleet(trace.Self, routing.Options{})
	rng := rand.New(rand.NewPCG(9, 9))
	for i, e := range trace.Events {
		now := start.Add(time.Duration(e.At) * time.Millisecond)
		switch {
		case e.Pick != nil:
			assert.DeepEqual(t, pickedNames(f, now, *e.Pick, rng), e.Want)
		case e.Report != nil:
			f.RecordLoadReport(now, e.Server, *e.Report)
		case e.Weight != nil:
			f.SetWeight(e.Server, *e.Weight)
		case e.Cached != nil:
			f.RecordCacheEvent(now, e.Server, e.Prefix, *e.Cached)
		case e.Starts > 0:
			for range e.Starts {
				f.StartAttempt(now, e.Server, routing.Attempt{Prefix: e.Prefix, PromptTokens: 100})
			}
		case e.Servers != nil:
			f.SetServers(now, e.Servers)
		default:
			t.Fatalf("event %d sets no field that selects an action", i)
		}
	}
}

func pickedNames(f *routing.Fleet, now time.Time, q routing.Query, rng *rand.Rand) []string {
	seen := map[string]bool{}
	for range tracePicks {
		if p, ok := f.Pick(now, q, rng); ok {
			seen[p.Server] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
