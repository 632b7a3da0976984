package main

import (
	_ "embed"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

//go:embed settings.json
var settingsText string

// gatewayCommand is the command of the deploy file.
const gatewayCommand = "target/borageflowd"

// gateway is a gateway process.
type gateway struct {
	name, callers, health string
	settingsFile          string
	log                   *os.File
	cmd                   *exec.Cmd
}

// reservedAddresses counts the addresses that freeAddress has returned.
var reservedAddresses atomic.Uint32

// freeAddress returns a free port of a loopback address of its own. On a shared address, a connection could take the port
// before the gateway listens on it.
func freeAddress() (string, error) {
	n := reservedAddresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%200, 1+os.Getpid()/200%200, n))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startGateways starts n gateways and waits until they are ready.
func (s *scene) startGateways(n int) error {
	for i := range n {
		g, err := s.newGateway(fmt.Sprintf("front-kbh-a-%d", i+1))
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
		s.note("gateway %s is ready at %s", g.name, g.callers)
	}
	s.inTouchAt = s.now() + stableWindow
	return nil
}

// stableWindow is the bound StableWindowMs.
const stableWindow = 3 * time.Second

func (s *scene) newGateway(name string) (*gateway, error) {
	var addresses [4]string
	var err error
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	g := &gateway{name: name, callers: addresses[0], health: addresses[1], settingsFile: filepath.Join(s.dir, name+".json")}
	text := strings.NewReplacer(
		"{name}", name, "{callers}", g.callers, "{health}", g.health, "{metrics}", addresses[2], "{readyPath}", wire.ReadyPath,
		"{store}", s.store.listener.Addr().String(), "{peers}", addresses[3], "{relays}", fmt.Sprintf("%q", addresses[3]),
	).Replace(settingsText)
	if err := os.WriteFile(g.settingsFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *gateway) start() error {
	g.cmd = exec.Command(gatewayCommand)
	g.cmd.Env = append(os.Environ(), "BORAGEFLOW_SETTINGS="+g.settingsFile)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	return g.cmd.Start()
}

// isReady asks as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.health + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

const readyTimeout = 10 * time.Second

func (g *gateway) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return errors.New("gateway " + g.name + " is not ready in time")
}

func (g *gateway) close() {
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = g.cmd.Wait()                          // killed processes end with an error
	}
	_ = g.log.Close()
}
