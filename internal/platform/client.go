package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

const (
	// defaultTimeout bounds one call when the settings name no bound.
	defaultTimeout = 2 * time.Second
	// maxObjectAnswer bounds the answer to a call on one object: the largest
	// value and its envelope, in bytes.
	maxObjectAnswer = MaxValueBytes + 64<<10
	// maxListAnswer bounds the answer to a list, in bytes; about 80,000 objects
	// or 40,000 instances.
	maxListAnswer = 8 << 20
	// maxIdleConnections keeps a connection for a watch and some calls.
	maxIdleConnections = 8
)

// Client is the Store that speaks HTTP to the platform's object API. It is safe
// for concurrent use.
type Client struct {
	base    *url.URL
	http    *http.Client
	timeout time.Duration
	token   *tokenFile

	mu sync.Mutex
	// generations holds the last generation seen of each watched key, so that a
	// restore between two watches is noticed even when the version is the same.
	generations map[string]int64
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the object API named by the settings.
func NewClient(settings api.PlatformSettings) (*Client, error) {
	base, err := url.Parse(strings.TrimSuffix(settings.URL, "/"))
	if err != nil {
		return nil, eris.Wrapf(err, "platform URL %q cannot be parsed", settings.URL)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, eris.Errorf("platform URL %q is not an http or https URL", settings.URL)
	}
	timeout := time.Duration(settings.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		TLSHandshakeTimeout: timeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
	c := &Client{
		base:        base,
		http:        &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		timeout:     timeout,
		token:       newTokenFile(settings.TokenFile),
		generations: map[string]int64{},
	}
	if _, err := c.token.read(); err != nil {
		return nil, err
	}
	return c, nil
}

// refuseRedirect returns the redirect itself: the token goes to no other address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// wireObject is an object as the protocol carries it.
type wireObject struct {
	Key        string          `json:"key"`
	Version    int64           `json:"version"`
	Generation int64           `json:"generation"`
	Value      json.RawMessage `json:"value"`
}

func (w wireObject) object() Object {
	return Object{Key: w.Key, Version: w.Version, Generation: w.Generation, Value: w.Value}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var out wireObject
	err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key), out: &out})
	if err != nil {
		return Object{}, err
	}
	return c.seen(out.object()), nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, eris.Wrapf(ErrRefused, "value of %q has %d bytes, at most %d are allowed", key, len(value), MaxValueBytes)
	}
	var out wireObject
	err := c.do(ctx, call{
		method: http.MethodPut,
		path:   objectPath(key),
		query:  url.Values{"ifVersion": {strconv.FormatInt(ifVersion, 10)}},
		body:   value,
		out:    &out,
	})
	if err != nil {
		return Object{}, err
	}
	return out.object(), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var out struct {
		Objects []wireObject `json:"objects"`
	}
	err := c.do(ctx, call{
		method: http.MethodGet,
		path:   "/v1/objects",
		query:  url.Values{"prefix": {prefix}},
		out:    &out,
		limit:  maxListAnswer,
	})
	if err != nil {
		return nil, err
	}
	objects := make([]Object, len(out.Objects))
	for i, o := range out.Objects {
		objects[i] = o.object()
	}
	return objects, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, afterVersion int64, wait time.Duration) (Object, error) {
	query := url.Values{
		"afterVersion": {strconv.FormatInt(afterVersion, 10)},
		"waitMs":       {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if generation, ok := c.generation(key); ok {
		query.Set("generation", strconv.FormatInt(generation, 10))
	}
	var out wireObject
	path := "/v1/watch/" + escapeKey(key)
	err := c.do(ctx, call{method: http.MethodGet, path: path, query: query, wait: wait, out: &out})
	if err != nil {
		return Object{}, err
	}
	return c.seen(out.object()), nil
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out struct {
		Instances []Instance `json:"instances"`
	}
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/instances", out: &out, limit: maxListAnswer})
	return out.Instances, err
}

// RegisterInstance adds or updates a line of the instance list. In production
// the platform does this itself; stand-in deployments call it.
func (c *Client) RegisterInstance(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return eris.Wrap(err, "instance cannot be encoded")
	}
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/instances", body: body})
}

func (c *Client) generation(key string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.generations[key]
	return g, ok
}

func (c *Client) seen(o Object) Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Only watched keys matter; the bound keeps reads of many keys from growing the map.
	const maxKeys = 64
	if _, ok := c.generations[o.Key]; ok || len(c.generations) < maxKeys {
		c.generations[o.Key] = o.Generation
	}
	return o
}

func objectPath(key string) string { return "/v1/objects/" + escapeKey(key) }

func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// request builds the HTTP request of a call.
func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	target := c.base.String() + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return nil, eris.Wrapf(ErrRefused, "request for %q cannot be built: %v", k.path, err)
	}
	if len(k.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	token, err := c.token.read()
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return req, nil
}
