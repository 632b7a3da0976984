package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/standin/base"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/rating"
	"github.com/borageflow/borageflow/internal/standin/service"
	"github.com/borageflow/borageflow/internal/standin/weights"
)

// stopTimeout limits the graceful shutdown of all stand-ins.
const stopTimeout = 5 * time.Second

// standinFlags holds the flags of the subcommand standin.
type standinFlags struct {
	engines, services, ratings, weightStores []string
	versions, qualities                      []string

	engine  engine.Config
	service service.Config
	rating  rating.Config
	weights weights.Config
}

// standinKind is a kind of stand-in: the addresses to listen on and the function that
// starts one.
type standinKind struct {
	name      string
	addresses []string
	start     func(address string) (*base.Server, error)
}

func newStandin() command {
	f := &standinFlags{}
	c := newCommand("standin", "Runs stand-ins for external systems until it is interrupted.", f.run)
	c.sub.AdditionalHelpAppend = "\n  An address is host:port; port 0 selects a free port. Each stand-in prints its kind and URL."
	c.sub.StringSlice(&f.engines, "", "engine", "Address of a model engine; may be repeated.")
	c.sub.StringSlice(&f.services, "", "service", "Address of a plain service; may be repeated.")
	c.sub.StringSlice(&f.ratings, "", "rating", "Address of a rating service; may be repeated.")
	c.sub.StringSlice(&f.weightStores, "", "weights", "Address of a weight store; may be repeated.")
	f.addEngineFlags(c)
	c.sub.Int(&f.service.Capacity, "", "service-capacity", "Concurrent calls that a service accepts (default 32).")
	c.sub.Duration(&f.service.Latency, "", "service-latency", "Duration of a call to a service (default 1ms).")
	c.sub.Duration(&f.rating.Latency, "", "rating-latency", "Duration of a rating.")
	c.sub.Float64(&f.rating.Noise, "", "rating-noise", "Width of the random noise added to a rating.")
	c.sub.Float64(&f.rating.Bias, "", "rating-bias", "Constant added to a rating.")
	c.sub.Float64(&f.weights.PerSecond, "", "weights-per-second", "Weight loads per second that a weight store allows (default 1).")
	c.sub.Int(&f.weights.Burst, "", "weights-burst", "Weight loads that a weight store allows in a burst (default 1).")
	return c
}

// addEngineFlags registers the flags of the engine stand-ins.
func (f *standinFlags) addEngineFlags(c command) {
	c.sub.StringSlice(&f.versions, "", "version-loaded", "Version that engines have loaded at the start; may be repeated.")
	c.sub.StringSlice(&f.qualities, "", "quality", "Share of prompts that a version answers well, as version=share; may be repeated.")
	c.sub.Int(&f.engine.Slots, "", "slots", "Requests that an engine runs concurrently (default 8).")
	c.sub.Int(&f.engine.MaxQueued, "", "queue", "Requests that an engine queues (default 64).")
	c.sub.Duration(&f.engine.StepTime, "", "step", "Duration of a step of an engine (default 2ms).")
	c.sub.Int(&f.engine.PrefillTokens, "", "prefill-tokens", "Prompt tokens that an engine processes per step (default 512).")
	c.sub.Int(&f.engine.KVCapacityTokens, "", "kv-tokens", "Size of an engine's KV cache in tokens (default 65536).")
	c.sub.Duration(&f.engine.LoadPeriod, "", "load-period", "Time between two load reports; 0 reports at once.")
	c.sub.Duration(&f.engine.EventDelay, "", "event-delay", "Delay of cache events.")
	c.sub.Int(&f.engine.EventDropNth, "", "event-drop-nth", "Drops every n-th cache event.")
	c.sub.Bool(&f.engine.CheckFence, "", "check-fence", "Refuses orders with an outdated fencing token.")
	c.sub.String(&f.engine.WeightStore, "", "weight-store", "URL of the engines' weight store; default the first --weights.")
	c.sub.Duration(&f.engine.LoadTime, "", "load-time", "Time to load a version after its weights have arrived.")
	c.sub.Duration(&f.engine.StartTime, "", "start-time", "Time after the start during which engines answer 503.")
}

// kinds lists the stand-ins in start order: weight stores start before engines, which
// need the address of a weight store.
func (f *standinFlags) kinds() []standinKind {
	return []standinKind{
		{"weights", f.weightStores, f.startWeights},
		{"engine", f.engines, func(a string) (*base.Server, error) { return engine.New(f.engine).Start(a) }},
		{"service", f.services, func(a string) (*base.Server, error) { return service.New(f.service).Start(a) }},
		{"rating", f.ratings, func(a string) (*base.Server, error) { return rating.New(f.rating).Start(a) }},
	}
}

// startWeights starts a weight store and makes it the engines' weight store when they
// have none.
func (f *standinFlags) startWeights(address string) (*base.Server, error) {
	server, err := weights.New(f.weights).Start(address)
	if err == nil && f.engine.WeightStore == "" {
		f.engine.WeightStore = server.URL()
	}
	return server, err
}

func (f *standinFlags) run(ctx context.Context, s streams) error {
	if err := f.completeEngineConfig(); err != nil {
		return err
	}
	var servers []*base.Server
	defer func() { shutDownAll(servers) }()
	for _, kind := range f.kinds() {
		for _, address := range kind.addresses {
			server, err := kind.start(address)
			if err != nil {
				return err
			}
			servers = append(servers, server)
			if _, err := fmt.Fprintf(s.out, "%s %s\n", kind.name, server.URL()); err != nil {
				return eris.Wrap(err, "address cannot be written")
			}
		}
	}
	if len(servers) == 0 {
		return usageError{"at least one of --engine, --service, --rating and --weights is required"}
	}
	<-ctx.Done()
	return nil
}

// completeEngineConfig checks the flags of the engines and fills in f.engine.
func (f *standinFlags) completeEngineConfig() error {
	f.engine.Versions = f.versions
	f.engine.Quality = map[string]float64{}
	for _, text := range f.qualities {
		version, share, found := strings.Cut(text, "=")
		quality, err := strconv.ParseFloat(share, 64)
		if !found || err != nil || quality < 0 || quality > 1 {
			return usageError{fmt.Sprintf("--quality %q is not version=share with a share from 0 to 1", text)}
		}
		f.engine.Quality[version] = quality
	}
	if len(f.engines) > 0 && len(f.versions) == 0 && len(f.weightStores) == 0 && f.engine.WeightStore == "" {
		return usageError{"--engine needs --version-loaded or a weight store"}
	}
	return nil
}

// shutDownAll stops the stand-ins; running calls may finish within stopTimeout.
func shutDownAll(servers []*base.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range servers {
		// The error is ignored: calls still running after stopTimeout are cut off.
		_ = server.Shutdown(ctx)
	}
}
