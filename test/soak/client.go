package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/borageflow/borageflow/platform"
)

// asked is one request and what the caller got.
type asked struct {
	id, path, key, body string
	gateway             int
	incarnation         int
	sent, ended         time.Time
	status              int // 0 without a head
	signature           string
	answer              string
	whole               bool // the answer ended as complete
}

// record collects the requests of all callers.
type record struct {
	mu   sync.Mutex
	list []asked
}

func (r *record) add(a asked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, a)
}

// caller sends one request after the other over connections that it keeps open.
func (w *world) caller(n int) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(n)))                                  //nolint:gosec // a seed is not negative
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Hour} // stays open until the process is gone
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTime}
	for i := 0; !w.stopping(); i++ {
		a := asked{id: fmt.Sprintf("%d-%d-%d", w.seed, n, i), gateway: rng.IntN(len(w.gateways)), body: "body"}
		a.path = []string{safePath, unsafePath, streamPath}[rng.IntN(3)]
		a.key = "key-permanent"
		if rng.IntN(4) == 0 {
			a.key = keyOf(int(w.version.Load()))
		}
		w.ask(client, &a)
		w.asked.add(a)
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

// callTime is a little longer than the time limit of the routes.
const callTime = 5 * time.Second

func (w *world) ask(client *http.Client, a *asked) {
	g := w.gateways[a.gateway]
	a.incarnation = g.current()
	method, body := http.MethodPost, io.Reader(strings.NewReader(a.body))
	if a.path == safePath {
		method, body, a.body = http.MethodGet, http.NoBody, ""
	}
	req, err := http.NewRequest(method, "http://"+g.callers+a.path, body)
	if err != nil {
		panic(err) // the address is the program's own
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set(platform.Headers.RequestID, a.id)
	req.Header.Set(platform.Headers.DeadlineMs, "4000")
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature = resp.StatusCode, resp.Header.Get("X-Signature")
	raw, err := io.ReadAll(resp.Body)
	a.answer, a.whole = string(raw), err == nil
}
