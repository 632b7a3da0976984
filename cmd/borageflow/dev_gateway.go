package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/gateway"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// Constants of the forwarding demonstration: a gateway, an in-memory store and five
// workers.
const (
	forwardHost = "forward.test"
	// Ports of the gateway and the store on 127.n.1.1, where n is the flag --subnet.
	gatewayPort, gatewayHealthPort, gatewayStorePort = 8080, 8082, 8083
	demoSlots                                        = 4
	demoEventInterval                                = 30 * time.Millisecond
	// demoGraceSeconds is short because dev has no load balancer in front of it.
	demoGraceSeconds = 1
)

// forwardDemo holds a running gateway and its stand-in workers.
type forwardDemo struct {
	address string
	app     *fx.App
	workers []*forwarding.Worker
}

// startForwardDemo starts the workers and the gateway, and waits until the gateway is
// ready or devStartTimeout has passed.
func startForwardDemo(ctx context.Context, subnet int, level string, s streams) (*forwardDemo, error) {
	d := &forwardDemo{address: fmt.Sprintf("127.%d.1.1:%d", subnet, gatewayPort)}
	store := forwarding.NewStore()
	store.PutConfig(demoConfig())
	for i := range 5 {
		service, version := "assist", "v1"
		if i >= 3 {
			service = "lookup"
		}
		id := fmt.Sprintf("%s-%d", service, i+1)
		w, err := forwarding.StartWorker(forwarding.WorkerConfig{
			ID: id, Address: fmt.Sprintf("127.%d.1.%d:%d", subnet, i+2, gatewayPort), HeaderNames: workerHeaders(), Slots: demoSlots, EventInterval: demoEventInterval,
			Confidence: map[string]int{"small": 70, "large": 95},
		})
		if err != nil {
			d.close()
			return nil, err
		}
		d.workers = append(d.workers, w)
		store.PutWorker(forward.Worker{ID: id, Service: service, Address: w.Address(), FailureDomain: fmt.Sprintf("fd-%c", 'a'+i%2), Version: version, Slots: demoSlots})
	}
	settings, err := gateway.ParseSettings(fmt.Appendf(nil, `{"role":"gateway","instance":"gateway-1","failureDomain":"fd-a",
		"listen":{"callers":%q,"health":"127.%d.1.1:%d"},"store":{"address":"127.%d.1.1:%d"},"bounds":{"graceSeconds":%d},"log":{"level":%q}}`,
		d.address, subnet, gatewayHealthPort, subnet, gatewayStorePort, demoGraceSeconds, level))
	if err != nil {
		d.close()
		return nil, err
	}
	d.app, err = gateway.App(settings, gateway.Dependencies{Store: store, Headers: gateway.DefaultHeaderNames, LogOutput: s.err})
	if err == nil {
		err = d.app.Start(ctx)
	}
	if err != nil {
		d.close()
		return nil, eris.Wrap(err, "gateway cannot start")
	}
	waitCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	for !isReady(waitCtx, settings.HealthAddress) && waitCtx.Err() == nil {
		time.Sleep(devReadyInterval)
	}
	return d, nil
}

// workerHeaders returns the gateway's default header names for the stand-in workers.
func workerHeaders() forwarding.HeaderNames {
	n := gateway.DefaultHeaderNames
	return forwarding.HeaderNames{
		RequestID: n.RequestID, ExpectWorker: n.ExpectWorker, NotRun: n.NotRun, Load: n.Load,
		Confidence: n.Confidence, WorkerID: n.WorkerID, Model: n.Model,
	}
}

// demoConfig returns the configuration of the demonstration: a streaming route and an
// idempotent one.
func demoConfig() *forward.Config {
	return &forward.Config{
		Version: 1, HasCustomers: true, Customers: map[string]forward.Customer{"demo-key": {Name: "demo"}},
		Routes: []forward.Route{
			{
				Name: "assist", Host: forwardHost, PathPrefix: "/assist/", Kind: forward.Stream, Timeout: 10 * time.Second, LatencyTarget: time.Second,
				GapTarget: time.Second, Models: []string{"small", "large"}, Splits: []forward.Split{{Service: "assist", Weight: 1}}, MaxAttempts: 3, Resumable: true,
			},
			{
				Name: "lookup", Host: forwardHost, PathPrefix: "/lookup/", Kind: forward.Safe, Timeout: 3 * time.Second, LatencyTarget: 300 * time.Millisecond,
				Splits: []forward.Split{{Service: "lookup", Weight: 1}}, MaxAttempts: 2,
			},
		},
		Services: map[string]forward.Service{
			"assist": {Name: "assist", MaxConnections: 100, Engine: &forward.Engine{Slots: demoSlots, Costs: map[string]float64{"small": 0.02, "large": 0.28}}},
			"lookup": {Name: "lookup", MaxConnections: 100},
		},
	}
}

// close stops the gateway, then its workers. A nil receiver is allowed.
func (d *forwardDemo) close() {
	if d == nil {
		return
	}
	if d.app != nil {
		ctx, cancel := context.WithTimeout(context.Background(), devStopTimeout)
		defer cancel()
		_ = d.app.Stop(ctx) // the process exits next, so an error changes nothing
	}
	for _, w := range d.workers {
		w.Close()
	}
}

// printHelp prints a command that forwards a request.
func (d *forwardDemo) printHelp(s streams) {
	fmt.Fprintf(s.out, `gateway:  http://%s

Forward a request; below /assist/hard/ the small model has low confidence and the large one answers:

  curl -N http://%s/assist/note -H 'Host: %s' -H 'Authorization: Bearer demo-key' \
    -H '%s: %s' -d 'Where does the escort wait?'

`, d.address, d.address, forwardHost, gateway.DefaultHeaderNames.Model, gateway.DefaultHeaderNames.AnyModel)
}
