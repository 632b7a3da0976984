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

// Deployment that dev runs without --manifest and --topology. It accepts the API key
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
	// devReadyInterval is the time between two readiness checks of a daemon.
	devReadyInterval = 50 * time.Millisecond
	// devBalancerWaitMs is short because dev has no load balancer in front of it.
	devBalancerWaitMs = 100
)

// devFlags holds the flags of the subcommand dev.
type devFlags struct {
	manifestFile, topologyFile, logLevel, traceDir string
	subnet                                         int
	runSeconds                                     int
}

func newDev() command {
	f := &devFlags{logLevel: "error", subnet: 1}
	c := newCommand("dev", "Runs entries, sidecars, a gateway and stand-ins in one process on loopback addresses.", f.run)
	c.sub.String(&f.manifestFile, "m", "manifest", "File of the manifest; default a small demonstration.")
	c.sub.String(&f.topologyFile, "t", "topology", "File that describes the stand-ins (schema/dev.json); default the demonstration's.")
	c.sub.String(&f.logLevel, "l", "log-level", "Level of the daemons' logs: debug, info, warn or error.")
	c.sub.String(&f.traceDir, "", "trace-dir", "Directory for the decision log of each entry, <instance>.jsonl.")
	c.sub.Int(&f.subnet, "", "subnet", "Second octet of the loopback addresses 127.n.0.x, 1 to 255.")
	c.sub.Int(&f.runSeconds, "", "seconds", "Seconds after which it stops; 0 runs until it is interrupted.")
	return c
}

func (f *devFlags) run(ctx context.Context, s streams) error {
	spec, err := f.clusterSpec(s)
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
	if err := waitForEntries(ctx, cluster.Settings); err != nil {
		return err
	}
	demo, err := startForwardDemo(ctx, f.subnet, f.logLevel, s)
	if err != nil {
		return err
	}
	defer demo.close()
	demo.printHelp(s)
	f.printHelp(s, cluster, spec.Manifest)
	if f.runSeconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(f.runSeconds)*time.Second)
		defer cancel()
	}
	<-ctx.Done()
	fmt.Fprintln(s.out, "stopping")
	return nil
}

// clusterSpec returns the deployment that the flags describe. It returns a usageError
// for a bad subnet and errOutcomeNotMet for files whose faults it has printed.
func (f *devFlags) clusterSpec(s streams) (devcluster.Spec, error) {
	raw, topology := demoManifest, demoTopology
	var err error
	if f.manifestFile != "" {
		if raw, err = readFile(s, "manifest", f.manifestFile); err != nil {
			return devcluster.Spec{}, err
		}
	}
	if f.topologyFile != "" {
		if topology, err = readFile(s, "topology", f.topologyFile); err != nil {
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
		return devcluster.Spec{}, usageError{"--subnet is out of range: it must be 1 to 255"}
	}
	spec := devcluster.SpecFromTopology(parsed, raw)
	spec.Subnet = [2]byte{byte(f.subnet), 0}
	spec.Timing.BalancerWaitMs = devBalancerWaitMs
	spec.LogLevel, spec.TraceDir = f.logLevel, f.traceDir
	return spec, nil
}

// startDaemons starts one daemon for each settings value. After an error it returns
// the daemons that are already running, for the caller to stop.
func startDaemons(ctx context.Context, daemons []api.Settings) ([]*fx.App, error) {
	var apps []*fx.App
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	for _, settings := range daemons {
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

// waitForEntries waits until every entry is ready. It returns an error after
// devStartTimeout, and nil when ctx is canceled by an interrupt.
func waitForEntries(ctx context.Context, daemons []api.Settings) error {
	waitCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	for _, settings := range daemons {
		if settings.Role != api.RoleEntry {
			continue
		}
		for !isReady(waitCtx, settings.Listen.Health) {
			if ctx.Err() != nil {
				return nil
			}
			if waitCtx.Err() != nil {
				return eris.Errorf("%s is not ready after %v", settings.Instance, devStartTimeout)
			}
			time.Sleep(devReadyInterval)
		}
	}
	return nil
}

// isReady reports whether a daemon's health listener answers /readyz with 200.
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

// stopDaemons stops the daemons in the order of their start: entries come first, so
// that draining sidecars receive no new work.
func stopDaemons(apps []*fx.App) {
	ctx, cancel := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancel()
	for _, app := range apps {
		_ = app.Stop(ctx)
	}
}

// printHelp prints commands that send a request and read the status. It prints real
// keys only for the demonstration and for customers whose key is "<name>-key", as in
// the examples; manifests hold only hashes of keys.
func (f *devFlags) printHelp(s streams, cluster *devcluster.Cluster, raw []byte) {
	var entries, admins []string
	for _, settings := range cluster.Settings {
		if settings.Role == api.RoleEntry {
			entries = append(entries, "http://"+settings.Listen.Callers)
			admins = append(admins, "http://"+settings.Listen.Admin)
		}
	}
	key, operator := "demo-key", "operator-key"
	if f.manifestFile != "" {
		key, operator = "<customer key>", "<operator key>"
		if m, err := manifest.Check(raw); err == nil && manifest.HashAPIKey(m.Customers[0].Name+"-key") == m.Customers[0].KeyHashes[0] {
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
