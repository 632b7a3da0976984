package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/platform"
)

const (
	// crowdMemoryMb and crowdDescriptors are the limits of the instance. They leave room for 300 connections of callers.
	crowdMemoryMb    = 80
	crowdDescriptors = 864
	// crowdClients is more than the instance has connections for.
	crowdClients = 400
	// crowdTime is how long a crowd goes on at least, and crowdMaxTime at most while no ordinary request is answered.
	crowdTime    = 2 * time.Second
	crowdMaxTime = 40 * time.Second
	// ordinaryTries bounds the attempts at an ordinary request once the crowd has gone.
	ordinaryTries = 200
)

// Guards against clients outside the limits that take the memory, the descriptors or all connections of an instance,
// which ends or hangs it for all others: heads, bodies, chunks and empty lines without end, and connections that bring
// nothing. Run it alone: memory is measured.
func TestClientsOutsideLimitsStayWithinMemory(t *testing.T) {
	binary := buildDaemon(t, t.TempDir())
	for _, form := range crowdForms(gatewayHeads) {
		t.Run(form.name, func(t *testing.T) { startCrowdTarget(t, binary).meet(t, []crowdForm{form}, nil) })
	}
}

// Guards against memory that holds for each kind of misbehaving client, but not for all kinds at once.
func TestMixedClientsOutsideLimitsStayWithinMemory(t *testing.T) {
	startCrowdTarget(t, buildDaemon(t, t.TempDir())).meet(t, crowdForms(gatewayHeads), nil)
}

// Guards against a crowd that keeps an instance from applying changes, or changes that lose what bounds a crowd: the
// limits of callers change, and the settings are read again.
func TestChangesBesideClientsOutsideLimits(t *testing.T) {
	c := startCrowdTarget(t, buildDaemon(t, t.TempDir()))
	c.meet(t, crowdForms(gatewayHeads), func(n int) {
		config := c.config
		config.Version += n
		config.Limits.MaxHeaderBytes -= n % 2 * 4096
		config.Limits.HeaderTimeoutMs += n % 3 * 500
		c.store.put("config", "main", config)
		_ = c.command.Process.Signal(syscall.SIGHUP) // an end shows below
	})
}

// Guards against an instance without a configuration, and so without its limits, that a crowd ends or keeps from
// serving once it has one.
func TestStartBesideClientsOutsideLimits(t *testing.T) {
	c := newCrowdTarget()
	address, err := freeAddress()
	assert.NilError(t, err)
	c.start(t, buildDaemon(t, t.TempDir()), address)
	c.meet(t, crowdForms(gatewayHeads), func(n int) {
		if n == 10 {
			serveOn(t, address, c.store)
		}
	})
}

// Guards against a crowd that keeps an instance from stopping as planned, and from serving after its restart.
func TestPlannedStopBesideClientsOutsideLimits(t *testing.T) {
	binary := buildDaemon(t, t.TempDir())
	c := startCrowdTarget(t, binary)
	var group sync.WaitGroup
	var isOver atomic.Bool
	c.sendCrowd(&group, crowdForms(gatewayHeads), isOver.Load)
	time.Sleep(crowdTime)
	assert.NilError(t, c.command.Process.Signal(syscall.SIGTERM))
	err := c.command.Wait()
	isOver.Store(true)
	group.Wait()
	assert.NilError(t, err, "the instance did not stop as planned")
}

// crowdTarget is the instance that a crowd meets.
type crowdTarget struct {
	limitedProcess
	callers, relay string
	store          *store
	config         wireConfig
	// ordinary returns the head of a request inside the limits, up to Host and the length of body.
	ordinary func() string
	body     string
	answers  atomic.Int64 // ordinary requests that were answered
}

// newCrowdTarget returns an instance that is not started, with its store and configuration.
func newCrowdTarget() *crowdTarget {
	c := &crowdTarget{store: newStore(), config: configForVersion(1)}
	c.ordinary = func() string {
		return fmt.Sprintf("POST %sa HTTP/1.1\r\nAuthorization: Bearer key-permanent\r\n%s: ordinary-%d\r\n%s: 5000\r\n",
			safePath, platform.Headers.RequestID, time.Now().UnixNano(), platform.Headers.DeadlineMs)
	}
	c.body = "body"
	for i := range c.config.Routes {
		c.config.Routes[i].TimeoutMs, c.config.Routes[i].TargetLatencyMs, c.config.Routes[i].GapAimMs = 30_000, 20_000, 20_000
	}
	c.config.Services[0].MaxConnections = 2 * crowdClients
	c.config.Limits = wireLimits{MaxHeaderBytes: crowdHeaderBytes, MaxBodyBytes: crowdBodyBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000}
	return c
}

// startCrowdTarget starts an instance before one worker.
func startCrowdTarget(t *testing.T, binary string) *crowdTarget {
	t.Helper()
	c := newCrowdTarget()
	c.start(t, binary, serve(t, c.store))
	c.awaitReady(t)
	return c
}

func (c *crowdTarget) start(t *testing.T, binary, storeAddress string) {
	t.Helper()
	c.store.put("config", "main", c.config)
	worker := http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off has no answer
		out.Header().Set(platform.Headers.RequestID, r.Header.Get(platform.Headers.RequestID))
	})
	c.store.put("servers", "w1", wireWorker{Service: serviceName, Address: serve(t, worker), Zone: "a", Version: "v1", State: "ready", Slots: 2 * crowdClients})
	var err error
	c.relay, err = freeAddress()
	assert.NilError(t, err)
	c.callers, c.limitedProcess = startLimitedProcess(t, t.TempDir(), binary, storeAddress, processLimits{crowdMemoryMb, crowdDescriptors, c.relay})
}

// meet lets a crowd of the forms meet the instance, and asks it an ordinary request beside the crowd and afterwards.
// change is called with 1, 2, and so on beside the crowd, unless it is nil.
func (c *crowdTarget) meet(t *testing.T, forms []crowdForm, change func(n int)) {
	t.Helper()
	started := time.Now()
	isOver := func() bool {
		age := time.Since(started)
		return age > crowdTime && c.answers.Load() > 0 || age > crowdMaxTime
	}
	var group sync.WaitGroup
	c.sendCrowd(&group, forms, isOver)
	group.Go(func() {
		for !isOver() {
			if c.askOrdinary() {
				c.answers.Add(1)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	group.Go(func() {
		for n := 1; change != nil && !isOver(); n++ {
			change(n)
			time.Sleep(100 * time.Millisecond)
		}
	})
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	ports := map[string]bool{hexPort(t, c.callers): true, hexPort(t, c.health): true, hexPort(t, c.relay): true}
	var peak, peakUnread, peakBoth int64
	descriptors := 0
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		case <-time.After(50 * time.Millisecond):
		}
		memory, unread := statusBytes(t, c.pid, "RssAnon:"), unreadBytes(t, ports)
		peak, peakUnread, peakBoth = max(peak, memory), max(peakUnread, unread), max(peakBoth, memory+unread)
		descriptors = max(descriptors, countDescriptors(t, c.pid))
	}
	beside := c.answers.Load()
	isServed := false
	for n := 0; n < ordinaryTries && !isServed; n++ {
		isServed = c.askOrdinary()
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("memory %.1f MB, unread %.1f MB, both %.1f MB, %d descriptors, %d ordinary requests answered beside the crowd",
		float64(peak)/1e6, float64(peakUnread)/1e6, float64(peakBoth)/1e6, descriptors, beside)
	assert.Check(t, peakBoth <= crowdMemoryMb*1e6, "memory with what waits in the kernel is %d bytes", peakBoth)
	assert.Check(t, descriptors <= crowdDescriptors, "%d descriptors are open", descriptors)
	assert.Check(t, beside > 0, "no ordinary request is answered beside the crowd")
	assert.Check(t, isServed, "no ordinary request is answered once the crowd has gone")
}

// sendCrowd starts the clients, which play the forms in turn until isOver.
func (c *crowdTarget) sendCrowd(group *sync.WaitGroup, forms []crowdForm, isOver func() bool) {
	for n := range crowdClients {
		form := forms[n%len(forms)]
		group.Go(func() {
			for !isOver() {
				address := c.callers
				switch {
				case form.onHealth:
					address = c.health
				case form.onRelay:
					address = c.relay
				}
				if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					form.play(conn.(*net.TCPConn), isOver)
				} else {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
}

// play sends the form on a connection and closes it once the other side has, or once isOver.
func (f *crowdForm) play(conn *net.TCPConn, isOver func() bool) {
	defer func() { _ = conn.Close() }()
	if !sendAll(conn, f.head, isOver) {
		return
	}
	for sent := 0; f.block != "" && (f.bytes == 0 || sent < f.bytes); sent += len(f.block) {
		if !sendAll(conn, f.block, isOver) {
			return
		}
	}
	if !sendAll(conn, f.tail, isOver) {
		return
	}
	if f.resets {
		_ = conn.SetLinger(0) // fails only on a closed connection
		return
	}
	for !isOver() && !hasEnded(conn) {
		time.Sleep(20 * time.Millisecond)
	}
}

// hasEnded reports whether the other side has closed the connection, of which nothing is read.
func hasEnded(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n <= 0 && err != syscall.EAGAIN
	})
	return ended || err != nil
}

// sendAll writes the text in pieces while the other side takes it, and reports whether all of it was written.
func sendAll(conn net.Conn, text string, isOver func() bool) bool {
	for len(text) > 0 && !isOver() {
		_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // fails only on a closed connection
		n, err := io.WriteString(conn, text)
		text = text[n:]
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return len(text) == 0
}

// askOrdinary sends a request inside the limits on a connection of its own, and reports whether it is answered.
func (c *crowdTarget) askOrdinary() bool {
	conn, err := net.DialTimeout("tcp", c.callers, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	if _, err := fmt.Fprintf(conn, "%sHost: %s\r\nContent-Length: %d\r\n\r\n%s", c.ordinary(), hostname, len(c.body), c.body); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// countDescriptors returns the number of open descriptors of a process.
func countDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	assert.NilError(t, err, "the process has ended")
	return len(entries)
}

// unreadBytes returns the bytes that wait in the receive buffers of connections to the ports.
func unreadBytes(t *testing.T, ports map[string]bool) int64 {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(t, err)
	return sumUnread(string(raw), localAddress, ports)
}
