package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// try is one request of a caller and its answer.
type try struct {
	id, kind, gateway string
	sentAt            time.Duration
	status            int
	signature         string
	body              string
	// events is the number of events of a whole stream.
	events int
	err    error
}

// served reports whether the caller has a success with a signature and the whole body.
func (t *try) served() bool {
	return t.err == nil && t.status >= 200 && t.status < 300 && t.signature != "" && t.isWhole()
}

func (t *try) isWhole() bool {
	return strings.HasPrefix(t.body, "answer to "+t.id) || strings.Contains(t.body, fmt.Sprintf("id: %d\n", t.events))
}

func (t *try) outcome() string {
	if t.err != nil {
		return "not: " + t.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", t.status, t.signature, len(t.body))
}

// caller sends requests of one kind to one gateway.
type caller struct {
	scene      *scene
	gateway    *gateway
	kind, path string
	method     string
	// model is what the caller names, "" for none.
	model    string
	deadline time.Duration
	client   *http.Client
}

const (
	callerHost = "booking.example"
	callerKey  = "key-of-nord"
)

func (s *scene) newCaller(g *gateway, kind, method, path, model string, deadline time.Duration) *caller {
	return &caller{scene: s, gateway: g, kind: kind, path: path, method: method, model: model, deadline: deadline, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// send sends one request and records it.
func (c *caller) send(id string) {
	t := try{id: id, kind: c.kind, gateway: c.gateway.name, sentAt: c.scene.now(), events: c.scene.events}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	var body io.Reader
	if c.method == http.MethodPost {
		body = strings.NewReader("request " + id)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.callers+c.path+"2f", body)
	if err != nil {
		t.err = err
		c.scene.recordTry(t)
		return
	}
	names := platform.Headers
	req.Host = callerHost
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.DeadlineMs, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	req.Header.Set(names.Authorization, "Bearer "+callerKey)
	if c.model != "" {
		req.Header.Set(names.Model, c.model)
		req.Header.Set(names.Tokens, "1460,80")
		req.Header.Set(names.Prompt, "5c1e07a2:800,"+id+":660")
	}
	c.scene.note("caller: %s of %s is sent to %s, model %q", id, c.kind, c.gateway.name, c.model)
	resp, err := c.client.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // the body was read
		t.status, t.signature, t.body = resp.StatusCode, resp.Header.Get(wire.Signature), string(raw)
	}
	t.err = err
	c.scene.recordTry(t)
}

// repeat sends requests at a rate until a time of the scene, each on its own. It returns when all have ended.
func (c *caller) repeat(prefix uint32, every, until time.Duration) {
	done := make(chan struct{})
	n := uint32(0)
	for ; c.scene.now() < until; n++ {
		go func() {
			c.send(fmt.Sprintf("%08x", prefix+n))
			done <- struct{}{}
		}()
		time.Sleep(every)
	}
	for range n {
		<-done
	}
}
