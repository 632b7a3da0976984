package main

import "fmt"

// Configuration objects in the encoding of the platform's store. The field names are the names
// on the wire.
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
		ColdStartS     float64
		ColdPerS       float64
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
		Limits   wireLimits
	}
	// wireLimits bounds what a caller may send; a field that is 0 sets no bound.
	wireLimits struct {
		MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
	}
	wireWorker struct {
		Service, Address, Zone, Version, State string
		Slots, ColdLeftMs                      int
	}
	wireRollout struct {
		Service, Target string
		DurationS       int
	}
)

// Path prefixes of the routes, and the service and host name that they share.
const (
	safePath    = "/safe/"
	unsafePath  = "/unsafe/"
	streamPath  = "/stream/"
	serviceName = "svc"
	hostname    = "soak.example"
)

// keyForVersion returns the API key that is introduced with configuration version first. The
// next version still accepts it.
func keyForVersion(first int) string { return fmt.Sprintf("key-%d", first) }

// customerForVersion returns a customer name from which a worker derives the configuration version
// that the gateway used.
func customerForVersion(version int) string { return fmt.Sprintf("customer-%d", version) }

// configForVersion returns a configuration with the permanent key and the keys of the last two
// versions. The customer that owns the permanent key is renamed with each version.
func configForVersion(version int) wireConfig {
	route := func(name, path, kind string) wireRoute {
		return wireRoute{
			Name: name, Hostname: hostname, PathPrefix: path, Kind: kind, Service: serviceName, TimeoutMs: 4000, TargetLatencyMs: 200,
			GapAimMs: 300, MaxAttempts: 3, ResumeStreams: kind == "stream",
		}
	}
	return wireConfig{
		Version:  version,
		Routes:   []wireRoute{route("safe", safePath, "safe"), route("unsafe", unsafePath, "unsafe"), route("stream", streamPath, "stream")},
		Services: []wireService{{serviceName, 100, coldTime.Seconds(), coldPerSecond}},
		Tenants: []wireCustomer{
			{customerForVersion(version), []string{"key-permanent"}},
			{"passing", []string{keyForVersion(version), keyForVersion(version - 1)}},
		},
	}
}
