package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// scene holds the processes and stand-ins of a case.
type scene struct {
	root, folder string
	record       *record
	trouble      bool
	silence      silencePlan
	store        *store
	gateways     []*gateway
	workers      []*worker
	servers      []*http.Server
	log          *callLog
}

func newScene(root, recordFile string, trouble bool) (*scene, error) {
	if _, err := os.Stat(filepath.Join(root, daemon)); err != nil {
		return nil, fmt.Errorf("the gateway is not built: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	r.line("trouble: %t", trouble)
	return &scene{root: root, folder: folder, record: r, trouble: trouble, store: newStore(r), log: &callLog{}}, nil
}

// close ends everything that the case has started.
func (s *scene) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, w := range s.workers {
		w.exit()
	}
	for _, server := range s.servers {
		_ = server.Close() // it is not used any more
	}
	_ = os.RemoveAll(s.folder) // it is a temporary folder
}

// daemon is the program of the deploy file, which starts it with the settings file in settingsVariable.
const (
	daemon           = "target/borageflowd"
	settingsVariable = "BORAGEFLOW_SETTINGS"
)

// gateway is a gateway process.
type gateway struct {
	name, callers, ready, control, internal string
	readyPath                               string
	settings                                string
	cmd                                     *exec.Cmd
	output                                  *os.File
	ended                                   chan struct{}
}

var hosts atomic.Uint32

// freeAddress returns an unused port of a loopback address of its own.
func freeAddress() (string, error) {
	n := hosts.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%200, 1+n>>8, 1+n&127))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startGateways starts gateways with the settings that the deploy file's template gives for a small
// deployment, and waits until they are ready.
func (s *scene) startGateways(bounds map[string]string, zones ...string) error {
	var control []string
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), ended: make(chan struct{})}
		for _, address := range []*string{&g.callers, &g.ready, &g.control, &g.internal} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		s.gateways = append(s.gateways, g)
		control = append(control, g.control)
	}
	for i, g := range s.gateways {
		if err := s.startGateway(g, bounds, zones[i], control[:min(len(control), maxSeeds)]); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if !g.waitReady(10 * time.Second) {
			return fmt.Errorf("gateway %s is not ready", g.name)
		}
	}
	return nil
}

// maxSeeds is the number of machines that the settings of all name.
const maxSeeds = 3

func (s *scene) startGateway(g *gateway, bounds map[string]string, zone string, seeds []string) error {
	address, server, err := s.store.serve(g.name)
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	host, port, err := net.SplitHostPort(g.internal)
	if err != nil {
		return err
	}
	fields := map[string][]string{
		"NodeName": {g.name}, "Zone": {zone}, "Ip": {host}, "InternalPorts.0": {port},
		"Listen.Front": {g.callers}, "Listen.Ready": {g.ready}, "Listen.Control": {g.control}, "Seeds": seeds, "Platform.Address": {address},
		"Contracts":       {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"Limits.MemoryMb": {"284"}, "Limits.FileDescriptors": {"4100"}, "Limits.LinkMbps": {"1000"}, "Limits.CpuShare": {"0.304"},
	}
	for name, value := range bounds {
		fields["Bounds."+name] = []string{value}
	}
	raw, err := os.ReadFile(filepath.Join(s.root, "platform", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	text := render(string(raw), fields)
	var settings struct {
		Listen struct{ ReadyPath string }
	}
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		return fmt.Errorf("settings cannot be read: %w", err)
	}
	g.readyPath = settings.Listen.ReadyPath
	g.settings = filepath.Join(s.folder, g.name+".json")
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if g.output, err = os.Create(filepath.Join(s.folder, g.name+".log")); err != nil {
		return err
	}
	return g.start(s)
}

// start starts the process.
func (g *gateway) start(s *scene) error {
	program, err := filepath.Abs(filepath.Join(s.root, daemon))
	if err != nil {
		return err
	}
	g.cmd = exec.Command(program) //nolint:gosec // the program is built by the deploy file
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = s.root, g.output, g.output
	g.cmd.Env = append(os.Environ(), settingsVariable+"="+g.settings)
	if err := g.cmd.Start(); err != nil {
		return err
	}
	s.record.line("gateway %s starts at %s", g.name, g.callers)
	go func() {
		_ = g.cmd.Wait() // a killed process ends with an error
		close(g.ended)
	}()
	return nil
}

// waitReady waits until the gateway counts as ready.
func (g *gateway) waitReady(most time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + g.readyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // it is not read
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (g *gateway) signal(sig syscall.Signal) { _ = g.cmd.Process.Signal(sig) } // it may have ended

// kill ends the process if it was started.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	select {
	case <-g.ended:
	case <-time.After(2 * time.Second):
	}
	_ = g.output.Close() // it is not written any more
}

var (
	sections = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	values   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in the template of the settings as the platform does.
func render(template string, fields map[string][]string) string {
	text := sections.ReplaceAllStringFunc(template, func(section string) string {
		m := sections.FindStringSubmatch(section)
		list := fields[m[2]]
		if m[1] == "^" {
			if len(list) == 0 {
				return m[3]
			}
			return ""
		}
		var out strings.Builder
		for i, v := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", v, "{{.|json}}", strconv.Quote(v), "{{,}}", comma).Replace(m[3]))
		}
		return out.String()
	})
	text = strings.ReplaceAll(text, "{{Contracts|json}}", quoteAll(fields["Contracts"]))
	return values.ReplaceAllStringFunc(text, func(value string) string {
		m := values.FindStringSubmatch(value)
		v := strings.Join(fields[m[1]], ",")
		if m[2] != "" {
			return strconv.Quote(v)
		}
		return v
	})
}

func quoteAll(list []string) string {
	quoted := make([]string, len(list))
	for i, v := range list {
		quoted[i] = strconv.Quote(v)
	}
	return "[" + strings.Join(quoted, ",") + "]"
}
