// Package membership maintains one daemon's view of the cluster: the known members,
// the manifest in force, and the share of traffic that each backend server gets.
//
// The package does no I/O. Callers pass in the time, a random source and typed
// events; the package returns typed effects for the caller to carry out. It has no
// goroutines, locks, clocks, sockets or loggers. Its types are not safe for
// concurrent use: one goroutine of the daemon owns each value.
//
// Table (table.go) holds the member records. Exchange distributes manifests and
// member records by gossip; events.go lists its events and effects.
// HealthTracker (health.go) ejects backend servers that fail or are slow and ramps up their
// traffic afterwards.
package membership
