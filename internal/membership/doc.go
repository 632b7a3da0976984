// Package membership decides what one daemon knows of the others: which members
// there are, which manifest is in force, and which backend servers get traffic.
//
// The package is pure. Time, random source and typed events come in; typed
// effects go out. It holds no goroutine, lock, clock, socket or logger. One
// goroutine of the daemon owns each value.
//
//   - Table keeps the member records (table.go).
//   - Exchange is the state machine of configuration and member exchange
//     (events.go lists its input and output).
//   - Health ejects backend servers that fail or lag and returns them in steps
//     (health.go).
package membership
