// Package devcluster starts the stand-ins of a deployment on loopback addresses and
// builds the settings of its daemons. It is used by borageflow dev and by tests.
package devcluster

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/memstore"
	standinplatform "github.com/borageflow/borageflow/internal/standin/platform"
	"github.com/borageflow/borageflow/internal/standin/rating"
	"github.com/borageflow/borageflow/internal/standin/service"
)

// Ports of every instance. Instances use the same ports on different loopback addresses.
const (
	CallerPort = 8080
	AdminPort  = 8081
	HealthPort = 8082
	PeerPort   = 7946
)

// ManifestKey is the key of the store object that holds the manifest.
const ManifestKey = "config/manifest"

// Engine describes a model engine and its sidecar.
type Engine struct {
	Name          string
	FailureDomain string
	Pool          string
	Config        engine.Config
	// MaxOrderMs is the longest time of a placement order in milliseconds; 0 means the
	// default.
	MaxOrderMs int
}

// Service describes an instance of a plain service and its sidecar.
type Service struct {
	Name          string
	FailureDomain string
	Service       string
	Config        service.Config
}

// Spec describes a deployment.
type Spec struct {
	// Subnet holds the second and third octet of the loopback addresses, 127.x.y.n.
	Subnet   [2]byte
	Region   string
	Manifest []byte
	// Entries lists the failure domain of each entry.
	Entries  []string
	Engines  []Engine
	Services []Service
	// Timing applies to every daemon.
	Timing api.TimingSettings
	// Placement applies to every entry.
	Placement *api.PlacementSettings
	// Rating configures the rating service; nil starts none.
	Rating *rating.Config
	// TraceDir is the directory for the decision log of each entry, <instance>.jsonl;
	// empty records none.
	TraceDir string
	// LogLevel is the log level of every daemon.
	LogLevel string
}

// Cluster holds the running stand-ins of a deployment and the settings of its daemons,
// which the caller starts.
type Cluster struct {
	Platform    *standinplatform.Server
	Store       *memstore.Store
	PlatformURL string
	Engines     map[string]*engine.Engine
	Services    map[string]*service.Service
	// Settings holds the settings of every daemon: entries first, then sidecars.
	Settings []api.Settings

	spec            Spec
	lastAddressByte byte
	closers         []func()
	ratingSettings  *api.RatingSettings
}

// Start starts the stand-ins and registers the instances with the platform stand-in. After
// an error it stops those that it has started.
func Start(spec Spec) (*Cluster, error) {
	c := &Cluster{spec: spec, Engines: map[string]*engine.Engine{}, Services: map[string]*service.Service{}}
	if err := c.startPlatform(); err != nil {
		c.Close()
		return nil, err
	}
	steps := []func() error{c.startRating, c.addEntries, c.startEngines, c.startServices}
	for _, step := range steps {
		if err := step(); err != nil {
			c.Close()
			return nil, err
		}
	}
	c.addSeedPeers()
	return c, nil
}

// Close stops the stand-ins in reverse order.
func (c *Cluster) Close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
	c.closers = nil
}

// nextAddress returns the next unused loopback address of the subnet.
func (c *Cluster) nextAddress() string {
	c.lastAddressByte++
	return fmt.Sprintf("127.%d.%d.%d", c.spec.Subnet[0], c.spec.Subnet[1], c.lastAddressByte)
}

func (c *Cluster) startPlatform() error {
	c.Store = memstore.New()
	c.Platform = standinplatform.New(c.Store)
	url, err := c.Platform.Start(fmt.Sprintf("%s:%d", c.nextAddress(), CallerPort))
	if err != nil {
		return err
	}
	c.PlatformURL = url
	c.closers = append(c.closers, func() { _ = c.Platform.Close() })
	if c.spec.Manifest == nil {
		return nil
	}
	_, err = c.Store.Put(context.Background(), ManifestKey, c.spec.Manifest, 0)
	return eris.Wrap(err, "manifest cannot be stored")
}

func (c *Cluster) startRating() error {
	if c.spec.Rating == nil {
		return nil
	}
	server, err := rating.New(*c.spec.Rating).Start(fmt.Sprintf("%s:%d", c.nextAddress(), CallerPort))
	if err != nil {
		return err
	}
	c.closers = append(c.closers, func() { server.Close() })
	c.ratingSettings = &api.RatingSettings{URL: server.URL(), Sample: 1}
	return nil
}

// newSettings returns the settings of a new daemon with the parts that all roles share,
// and registers its instance.
func (c *Cluster) newSettings(role api.Role, instance, domain string) api.Settings {
	ip := c.nextAddress()
	timing := c.spec.Timing
	s := api.Settings{
		Role: role, Instance: instance, FailureDomain: domain, Region: c.spec.Region,
		Listen: api.Listen{
			Health: fmt.Sprintf("%s:%d", ip, HealthPort), Peer: fmt.Sprintf("%s:%d", ip, PeerPort),
		},
		Platform: api.PlatformSettings{URL: c.PlatformURL, TimeoutMs: int(time.Second.Milliseconds())},
		Timing:   &timing,
		Log:      &api.LogSettings{Level: api.LogSettingsLevel(c.spec.LogLevel)},
	}
	c.Store.RegisterInstance(platform.Instance{
		Name: instance, Address: s.Listen.Peer, FailureDomain: domain, Region: c.spec.Region, Role: string(role),
	})
	return s
}

func (c *Cluster) addEntries() error {
	for i, domain := range c.spec.Entries {
		s := c.newSettings(api.RoleEntry, fmt.Sprintf("entry-%d", i+1), domain)
		ip := s.Listen.Peer[:len(s.Listen.Peer)-len(fmt.Sprintf(":%d", PeerPort))]
		s.Listen.Callers = fmt.Sprintf("%s:%d", ip, CallerPort)
		s.Listen.Admin = fmt.Sprintf("%s:%d", ip, AdminPort)
		s.Rating, s.Placement = c.ratingSettings, c.spec.Placement
		if c.spec.TraceDir != "" {
			s.Trace = &api.TraceSettings{File: filepath.Join(c.spec.TraceDir, s.Instance+".jsonl")}
		}
		c.Settings = append(c.Settings, s)
	}
	return nil
}

func (c *Cluster) startEngines() error {
	for _, spec := range c.spec.Engines {
		e := engine.New(spec.Config)
		server, err := e.Start(fmt.Sprintf("%s:%d", c.nextAddress(), CallerPort))
		if err != nil {
			return err
		}
		c.Engines[spec.Name] = e
		c.closers = append(c.closers, func() { server.Close(); e.Close() })
		s := c.newSettings(api.RoleSidecar, "sidecar-"+spec.Name, spec.FailureDomain)
		s.Backend = &api.Backend{
			Kind: api.BackendKindEngine, Name: spec.Name, URL: server.URL(), Pool: spec.Pool,
			Slots: spec.Config.Slots, ChecksFencing: spec.Config.CheckFence, MaxOrderMs: spec.MaxOrderMs,
		}
		c.Settings = append(c.Settings, s)
	}
	return nil
}

func (c *Cluster) startServices() error {
	for _, spec := range c.spec.Services {
		standin := service.New(spec.Config)
		server, err := standin.Start(fmt.Sprintf("%s:%d", c.nextAddress(), CallerPort))
		if err != nil {
			return err
		}
		c.Services[spec.Name] = standin
		c.closers = append(c.closers, func() { server.Close() })
		s := c.newSettings(api.RoleSidecar, "sidecar-"+spec.Name, spec.FailureDomain)
		s.Backend = &api.Backend{
			Kind: api.BackendKindService, Name: spec.Name, URL: server.URL(), Service: spec.Service, Slots: spec.Config.Capacity,
		}
		c.Settings = append(c.Settings, s)
	}
	return nil
}

// addSeedPeers adds the peer addresses of a few daemons to the settings of each. A daemon
// uses them until it has read the list of instances.
func (c *Cluster) addSeedPeers() {
	const maxSeeds = 4
	for i := range c.Settings {
		for j := range min(maxSeeds, len(c.Settings)) {
			if j != i {
				c.Settings[i].Peers = append(c.Settings[i].Peers, c.Settings[j].Listen.Peer)
			}
		}
	}
}
