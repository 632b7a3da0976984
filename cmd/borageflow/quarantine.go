package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/gateway"
)

// maxAnswerBytes bounds an answer of a gateway: an explanation has about 250 bytes for each of 910 workers.
const maxAnswerBytes = 1 << 20

// quarantineFlags holds the flags and the actions of the subcommand quarantine.
type quarantineFlags struct {
	address, service, part string
	lifetime               time.Duration
	json                   bool
	list, set, lift        *flaggy.Subcommand
}

func newQuarantine() command {
	f := &quarantineFlags{address: "127.0.0.1:7340"}
	c := newCommand("quarantine", "Lists, sets and lifts parts of requests that are refused because workers end under them.", f.run)
	f.list = f.addAction(c.sub, "list", "Lists the condemned parts and those on probation.")
	f.list.Bool(&f.json, "j", "json", "Prints JSON.")
	f.set = f.addAction(c.sub, "set", "Condemns a part in all gateways.")
	f.addPartFlags(f.set)
	f.set.Duration(&f.lifetime, "f", "for", "How long the part is condemned, such as 30m; 10m without it.")
	f.lift = f.addAction(c.sub, "lift", "Ends the condemnation of a part in all gateways.")
	f.addPartFlags(f.lift)
	return c
}

// addAction attaches an action with the flag that names the gateway.
func (f *quarantineFlags) addAction(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.String(&f.address, "a", "address", "host:port of the metrics listener of any gateway.")
	parent.AttachSubcommand(sub, 1)
	return sub
}

func (f *quarantineFlags) addPartFlags(sub *flaggy.Subcommand) {
	sub.String(&f.service, "s", "service", "Service of the requests.")
	sub.String(&f.part, "p", "part", "ID of the part in hexadecimal, as list and the log print it.")
}

func (f *quarantineFlags) run(ctx context.Context, s streams) error {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	switch {
	case f.list.Used:
		return f.printList(ctx, s)
	case f.set.Used:
		return f.change(ctx, http.MethodPut)
	case f.lift.Used:
		return f.change(ctx, http.MethodDelete)
	}
	return usageError{"quarantine needs one of the actions list, set, lift"}
}

// callGateway sends a request to the gateway at an address and returns the body of a 2xx response.
func callGateway(ctx context.Context, address, method, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usageError{fmt.Sprintf("address %q is not host:port", address)}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "gateway at %s does not answer", address)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return nil, eris.Wrapf(err, "answer of the gateway at %s cannot be read", address)
	case resp.StatusCode > 299:
		return nil, eris.Errorf("gateway at %s: %s", address, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func (f *quarantineFlags) change(ctx context.Context, method string) error {
	if f.service == "" || f.part == "" {
		return usageError{"--service and --part must be set"}
	}
	query := url.Values{"service": {f.service}}
	if f.lifetime != 0 {
		query.Set("for", f.lifetime.String())
	}
	_, err := callGateway(ctx, f.address, method, "/quarantine/"+url.PathEscape(f.part)+"?"+query.Encode())
	return err
}

func (f *quarantineFlags) printList(ctx context.Context, s streams) error {
	body, err := callGateway(ctx, f.address, http.MethodGet, "/quarantine")
	if err != nil {
		return err
	}
	var parts []gateway.CondemnedPart
	if err := json.Unmarshal(body, &parts); err != nil {
		return eris.Wrapf(err, "answer of the gateway at %s cannot be decoded", f.address)
	}
	if f.json {
		return printJSON(s, parts)
	}
	t := newTable(s.out, "SERVICE", "PART", "VERSION", "ENDED WORKERS", "TRIES", "BY", "REMAINING")
	for _, p := range parts {
		by, remaining := "evidence", "probation"
		if p.ByOperator {
			by = "operator"
		}
		if p.RemainingMs > 0 {
			remaining = (time.Duration(p.RemainingMs) * time.Millisecond).Round(time.Second).String()
		}
		t.row(p.Service, p.Part, p.Version, p.EndedWorkers, p.Tries, by, remaining)
	}
	return t.w.Flush()
}
