// Package devcluster starts the stand-ins of a deployment on loopback and
// derives the settings of its daemons. It serves borageflow dev and the tests.
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

// Ports of every instance; instances differ by their loopback address.
const (
	CallerPort = 8080
	AdminPort  = 8081
	HealthPort = 8082
	PeerPort   = 7946
)

// ManifestKey is the object that holds the manifest.
const ManifestKey = "config/manifest"

// Engine describes one model engine and its sidecar.
type Engine struct {
	Name          string
	FailureDomain string
	Pool          string
	Config        engine.Config
	// MaxOrderMs is the longest time of an order; 0 means the default.
	MaxOrderMs int
}

// Service describes one plain service instance and its sidecar.
type Service struct {
	Name          string
	FailureDomain string
	Service       string
	Config        service.Config
}

// Spec describes a deployment.
type Spec struct {
	// Subnet is the second and third number of the loopback addresses 127.x.y.n.
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
	// Rating starts a rating service when not nil.
	Rating *rating.Config
	// TraceDir receives the decision log of each entry as <instance>.jsonl; empty
	// records none.
	TraceDir string
	// LogLevel is the level of every daemon.
	LogLevel string
}

// Cluster is a started deployment without its daemons.
type Cluster struct {
	Platform    *standinplatform.Server
	Store       *memstore.Store
	PlatformURL string
	Engines     map[string]*engine.Engine
	Services    map[string]*service.Service
	// Settings lists the settings of every daemon: entries first, then sidecars.
	Settings []api.Settings

	spec    Spec
	next    byte
	closers []func()
	rating  *api.RatingSettings
}

// Start starts the stand-ins and registers the instances.
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
	c.linkPeers()
	return c, nil
}

// Close stops the stand-ins.
func (c *Cluster) Close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
	c.closers = nil
}

func (c *Cluster) address() string {
	c.next++
	return fmt.Sprintf("127.%d.%d.%d", c.spec.Subnet[0], c.spec.Subnet[1], c.next)
}

func (c *Cluster) startPlatform() error {
	c.Store = memstore.New()
	c.Platform = standinplatform.New(c.Store)
	url, err := c.Platform.Start(fmt.Sprintf("%s:%d", c.address(), CallerPort))
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
	server, err := rating.New(*c.spec.Rating).Start(fmt.Sprintf("%s:%d", c.address(), CallerPort))
	if err != nil {
		return err
	}
	c.closers = append(c.closers, func() { server.Close() })
	c.rating = &api.RatingSettings{URL: server.URL(), Sample: 1}
	return nil
}

// base returns the settings that all daemons share.
func (c *Cluster) base(role api.Role, instance, domain string) api.Settings {
	ip := c.address()
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
		s := c.base(api.RoleEntry, fmt.Sprintf("entry-%d", i+1), domain)
		ip := s.Listen.Peer[:len(s.Listen.Peer)-len(fmt.Sprintf(":%d", PeerPort))]
		s.Listen.Callers = fmt.Sprintf("%s:%d", ip, CallerPort)
		s.Listen.Admin = fmt.Sprintf("%s:%d", ip, AdminPort)
		s.Rating, s.Placement = c.rating, c.spec.Placement
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
		server, err := e.Start(fmt.Sprintf("%s:%d", c.address(), CallerPort))
		if err != nil {
			return err
		}
		c.Engines[spec.Name] = e
		c.closers = append(c.closers, func() { server.Close(); e.Close() })
		s := c.base(api.RoleSidecar, "sidecar-"+spec.Name, spec.FailureDomain)
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
		v := service.New(spec.Config)
		server, err := v.Start(fmt.Sprintf("%s:%d", c.address(), CallerPort))
		if err != nil {
			return err
		}
		c.Services[spec.Name] = v
		c.closers = append(c.closers, func() { server.Close() })
		s := c.base(api.RoleSidecar, "sidecar-"+spec.Name, spec.FailureDomain)
		s.Backend = &api.Backend{
			Kind: api.BackendKindService, Name: spec.Name, URL: server.URL(), Service: spec.Service, Slots: spec.Config.Capacity,
		}
		c.Settings = append(c.Settings, s)
	}
	return nil
}

// linkPeers gives every daemon the peer addresses of a few others, which it uses
// before it knows the instance list.
func (c *Cluster) linkPeers() {
	const seeds = 4
	for i := range c.Settings {
		for j := range min(seeds, len(c.Settings)) {
			if j != i {
				c.Settings[i].Peers = append(c.Settings[i].Peers, c.Settings[j].Listen.Peer)
			}
		}
	}
}
