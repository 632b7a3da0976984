package main

import "time"

// The objects that the operator and the workers write, with the names on the wire.
type (
	wireRoute struct {
		Name, Hostname, PathPrefix, Kind, Service string
		TimeoutMs, TargetLatencyMs, GapAimMs      int
		Priority, MaxAttempts                     int
		ResumeStreams, AllowAnonymous             bool
		SessionAffinity                           bool
		Sizes                                     []string `json:",omitempty"`
	}
	wireService struct {
		Name, HealthPath, Protocol string
		MaxConnections             int
	}
	wireCustomer struct {
		Name    string
		ApiKeys []string //nolint:revive // the name on the wire
	}
	wireLimits struct {
		MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
	}
	wireConfig struct {
		Version  int
		Routes   []wireRoute
		Services []wireService
		Limits   wireLimits
		Tenants  []wireCustomer
	}
	wireWorker struct {
		Service, Address, Zone, Version, State string
		Slots, ColdLeftMs, Sequence            int
		Born                                   int64 `json:"born"`
	}
)

// The kinds of objects, and what all cases have in common.
const (
	configKind = "config"
	configName = "main"
	workerKind = "servers"
	hostname   = "review.example"
	apiKey     = "key-of-the-customer"
	customer   = "customer"
)

// calmTime is longer than the stable window: the gateways are in touch after it.
const calmTime = 4 * time.Second

// smallBounds are the bounds of the sheet of lhn-booking.
var smallBounds = map[string]string{
	"RevokeMs": "5000", "GraceS": "8", "StableWindowMs": "3000", "DrainMs": "2000", "ConfigApplyMs": "2000", "RetryBudgetRatio": "0.9",
	"RetrySlack": "56", "BudgetWindowS": "10", "CanaryShare": "0.15", "SessionS": "5",
}

// configuration returns a configuration with the given routes, all of one service.
func configuration(service string, routes ...wireRoute) wireConfig {
	for i := range routes {
		routes[i].Hostname, routes[i].Service = hostname, service
	}
	return wireConfig{
		Version: 1, Routes: routes,
		Services: []wireService{{Name: service, HealthPath: "/health", Protocol: "h1", MaxConnections: 110}},
		Limits:   wireLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants:  []wireCustomer{{customer, []string{apiKey}}},
	}
}
