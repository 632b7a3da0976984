package main

import "fmt"

// The configuration in the form of the platform's store; the fields keep its names.
type (
	wireRoute struct {
		Name, Hostname, PathPrefix, Kind, Service string
		TimeoutMs, TargetLatencyMs, GapAimMs      int
		MaxAttempts                               int
		ResumeStreams                             bool
	}
	wireService struct {
		Name           string
		MaxConnections int
	}
	wireCustomer struct {
		Name    string
		ApiKeys []string //nolint:revive // the name on the wire
	}
	wireConfig struct {
		Version  int
		Routes   []wireRoute
		Services []wireService
		Tenants  []wireCustomer
	}
	wireWorker struct {
		Service, Address, Zone, Version, State string
		Slots                                  int
	}
	wireRollout struct {
		Service, Target string
		DurationS       int
	}
)

// Paths of the routes.
const (
	safePath   = "/safe/"
	unsafePath = "/unsafe/"
	streamPath = "/stream/"
	service    = "svc"
	host       = "soak.example"
)

// keyOf is the API key that configurations from version first to last hold.
func keyOf(first int) string { return fmt.Sprintf("key-%d", first) }

// customerOf names the customer so that a worker sees which version a gateway used.
func customerOf(version int) string { return fmt.Sprintf("customer-%d", version) }

// configOf has the permanent key and the keys of the last two versions. The customer of the
// permanent key changes its name with each version.
func configOf(version int) wireConfig {
	route := func(name, path, kind string) wireRoute {
		return wireRoute{
			Name: name, Hostname: host, PathPrefix: path, Kind: kind, Service: service, TimeoutMs: 4000, TargetLatencyMs: 200,
			GapAimMs: 300, MaxAttempts: 3, ResumeStreams: kind == "stream",
		}
	}
	return wireConfig{
		Version:  version,
		Routes:   []wireRoute{route("safe", safePath, "safe"), route("unsafe", unsafePath, "unsafe"), route("stream", streamPath, "stream")},
		Services: []wireService{{service, 100}},
		Tenants: []wireCustomer{
			{customerOf(version), []string{"key-permanent"}},
			{"passing", []string{keyOf(version), keyOf(version - 1)}},
		},
	}
}
