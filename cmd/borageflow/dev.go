package main

import (
	"context"
	_ "embed"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/daemon"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/observe"
)

// The deployment that dev runs when no files are given. It answers to the API key
// "demo-key" and the operator key "operator-key".
var (
	//go:embed demo/manifest.json
	demoManifest []byte
	//go:embed demo/dev.json
	demoTopology []byte
)

const (
	devStartTimeout = 30 * time.Second
	devStopTimeout  = 30 * time.Second
	// devReadyInterval is the pause between two looks at the readiness of an entry.
	devReadyInterval = 50 * time.Millisecond
	// devBalancerWaitMs is short, since no load balancer stands before dev.
	devBalancerWaitMs = 100
)

// devFlags are the flags of the subcommand dev.
type devFlags struct {
	manifest, topology, level, traces string
	subnet                            int
	seconds                           int
}

func newDev() command {
	f := &devFlags{level: "error", subnet: 1}
	c := newCommand("dev", "Runs entries, sidecars, a gateway and stand-ins in one process over loopback.", f.run)
	c.sub.String(&f.manifest, "m", "manifest", "File of a manifest; default a small demonstration.")
	c.sub.String(&f.topology, "t", "topology", "File that describes the stand-ins, schema/dev.json; default the demonstration's.")
	c.sub.String(&f.level, "l", "log-level", "Level of the daemons' logs: debug, info, warn or error.")
	c.sub.String(&f.traces, "", "trace-dir", "Folder for the decision log of each entry, as <instance>.jsonl.")
	c.sub.Int(&f.subnet, "", "subnet", "Second number of the loopback addresses 127.n.0.x, 1 to 255.")
	c.sub.Int(&f.seconds, "", "seconds", "Stops after so many seconds; 0 runs until it is interrupted.")
	return c
}

func (f *devFlags) run(ctx context.Context, s streams) error {
	spec, err := f.spec(s)
	if err != nil {
		return err
	}
	cluster, err := devcluster.Start(spec)
	if err != nil {
		return err
	}
	defer cluster.Close()
	apps, err := startDaemons(ctx, cluster.Settings)
	defer stopDaemons(apps)
	if err != nil {
		return err
	}
	if err := awaitEntries(ctx, cluster.Settings); err != nil {
		return err
	}
	demo, err := startForwardDemo(ctx, f.subnet, f.level, s)
	if err != nil {
		return err
	}
	defer demo.close()
	demo.printHelp(s)
	f.printHelp(s, cluster, spec.Manifest)
	if f.seconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(f.seconds)*time.Second)
		defer cancel()
	}
	<-ctx.Done()
	fmt.Fprintln(s.out, "stopping")
	return nil
}

// spec returns the deployment that the flags describe.
func (f *devFlags) spec(s streams) (devcluster.Spec, error) {
	raw, topology := demoManifest, demoTopology
	var err error
	if f.manifest != "" {
		if raw, err = readFile(s, "manifest", f.manifest); err != nil {
			return devcluster.Spec{}, err
		}
	}
	if f.topology != "" {
		if topology, err = readFile(s, "topology", f.topology); err != nil {
			return devcluster.Spec{}, err
		}
	}
	if _, err := manifest.Check(raw); err != nil {
		return devcluster.Spec{}, printFaults(s, "manifest", err)
	}
	parsed, err := devcluster.ParseTopology(topology)
	if err != nil {
		return devcluster.Spec{}, printFaults(s, "topology", err)
	}
	if f.subnet < 1 || f.subnet > 255 {
		return devcluster.Spec{}, usageError{"--subnet must be 1 to 255"}
	}
	spec := devcluster.FromTopology(parsed, raw)
	spec.Subnet = [2]byte{byte(f.subnet), 0}
	spec.Timing.BalancerWaitMs = devBalancerWaitMs
	spec.LogLevel, spec.TraceDir = f.level, f.traces
	return spec, nil
}

// startDaemons returns the daemons that were started, also with an error.
func startDaemons(ctx context.Context, all []api.Settings) ([]*fx.App, error) {
	var apps []*fx.App
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	for _, settings := range all {
		filled, err := daemon.FillDefaults(settings)
		if err != nil {
			return apps, err
		}
		log, err := observe.NewLogger(string(filled.Log.Level), filled.Instance)
		if err != nil {
			return apps, err
		}
		app := daemon.New(filled, log)
		if err := app.Start(ctx); err != nil {
			return apps, eris.Wrapf(err, "%s cannot start", filled.Instance)
		}
		apps = append(apps, app)
	}
	return apps, nil
}

// awaitEntries waits until every entry is ready, or devStartTimeout has passed. An
// interrupt ends the wait without an error.
func awaitEntries(ctx context.Context, all []api.Settings) error {
	limit, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	for _, settings := range all {
		if settings.Role != api.RoleEntry {
			continue
		}
		for !isReady(limit, settings.Listen.Health) {
			if ctx.Err() != nil {
				return nil
			}
			if limit.Err() != nil {
				return eris.Errorf("%s is not ready after %v", settings.Instance, devStartTimeout)
			}
			time.Sleep(devReadyInterval)
		}
	}
	return nil
}

// isReady asks the health listener of a daemon.
func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopDaemons stops entries first, so that sidecars have no new work while they
// drain.
func stopDaemons(apps []*fx.App) {
	ctx, cancel := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancel()
	for _, app := range apps {
		_ = app.Stop(ctx)
	}
}

// printHelp shows how to reach the deployment. Keys are shown only where they are
// known: those of the demonstration, and customer keys that follow the examples.
func (f *devFlags) printHelp(s streams, cluster *devcluster.Cluster, raw []byte) {
	var entries, admins []string
	for _, settings := range cluster.Settings {
		if settings.Role == api.RoleEntry {
			entries = append(entries, "http://"+settings.Listen.Callers)
			admins = append(admins, "http://"+settings.Listen.Admin)
		}
	}
	key, operator := "demo-key", "operator-key"
	if f.manifest != "" {
		key, operator = "<customer key>", "<operator key>"
		if m, err := manifest.Check(raw); err == nil && manifest.HashKey(m.Customers[0].Name+"-key") == m.Customers[0].KeyHashes[0] {
			key = m.Customers[0].Name + "-key"
		}
	}
	fmt.Fprintf(s.out, `entries:  %s
platform: %s (faults: POST /standin/faults)

Send a request:

  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"auto","stream":true,"messages":[{"role":"user","content":"Where does the escort wait?"}]}'

Read the status:

  BORAGEFLOW_KEY=%s borageflow status --admin %s

A customer with a rate limit may be refused with rate_limited in the first second.
Stop with Ctrl-C.
`, strings.Join(entries, " "), cluster.PlatformURL, entries[0], key, operator, admins[0])
}
