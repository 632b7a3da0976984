package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// call is one attempt of a caller and what came of it.
type call struct {
	id, path, gateway string
	deadline          time.Duration
	sentAt, endedAt   time.Time
	status            int // 0 if no answer began
	signature, body   string
	whole             bool // the answer was read to its end
	problem           string
	isReused          bool // the connection had carried a request before
}

// String returns the line of the record.
func (c *call) String() string {
	end := "whole"
	if !c.whole {
		end = "not whole: " + c.problem
	}
	return fmt.Sprintf("call %s of %s to %s: status %d, signature %q, %d bytes, %s, after %d ms", c.id, c.path, c.gateway, c.status, c.signature, len(c.body), end, c.endedAt.Sub(c.sentAt).Milliseconds())
}

// isServed reports whether the caller has a whole answer with success.
func (c *call) isServed() bool { return c.whole && c.status == http.StatusOK }

// callLog holds the calls that have ended.
type callLog struct {
	mu   sync.Mutex
	list []*call
}

func (l *callLog) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
}

func (l *callLog) all() []*call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*call(nil), l.list...)
}

var callNumber atomic.Int64

// nextID returns the ID of a further attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x9c41<<32+callNumber.Add(1)) }

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}
}

// send sends a request to a gateway and awaits the whole answer. A stream's caller leaves after the gap that
// the pages name.
func (s *scene) send(client *http.Client, g *gateway, method, path, model string, deadline time.Duration) *call {
	c := &call{id: nextID(), path: path, gateway: g.name, deadline: deadline}
	var body io.Reader = strings.NewReader("body of " + c.id)
	if method == http.MethodGet {
		body = http.NoBody
	}
	req, err := http.NewRequest(method, "http://"+g.callers+path, body)
	if err != nil {
		c.problem = err.Error()
		return c
	}
	req.Host = hostname
	req.Header.Set(platform.Headers.Authorization, "Bearer "+apiKey)
	req.Header.Set(platform.Headers.RequestID, c.id)
	req.Header.Set(platform.Headers.DeadlineMs, strconv.FormatInt(deadline.Milliseconds(), 10))
	if model != "" {
		req.Header.Set(platform.Headers.Model, model)
		req.Header.Set(platform.Headers.Tokens, "1460,80")
		req.Header.Set(platform.Headers.Prompt, fmt.Sprintf("5c1e07a2:800,%x:660", 1<<40+callNumber.Load()))
	}
	own := *client
	own.Timeout = deadline
	c.sentAt = time.Now()
	s.await(&own, req, c)
	c.endedAt = time.Now()
	s.log.add(c)
	return c
}

func (s *scene) await(client *http.Client, req *http.Request, c *call) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { c.isReused = info.Reused }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		c.problem = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }() // it was read, or is given up
	c.status, c.signature = resp.StatusCode, resp.Header.Get(names.Signature)
	raw, err := io.ReadAll(resp.Body)
	c.body, c.whole = string(raw), err == nil
	if err != nil {
		c.problem = err.Error()
	}
}
