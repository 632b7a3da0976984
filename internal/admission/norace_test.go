//go:build !race

package admission

// raceEnabled is set where the race detector slows the code down, so that times say nothing.
const raceEnabled = false
