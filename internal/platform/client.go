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
	"github.com/borageflow/borageflow/internal/framing"
)

const (
	// defaultTimeout bounds one call when the settings have no timeout.
	defaultTimeout = 2 * time.Second
	// maxObjectResponseBytes is the largest response to a call on one object: the
	// largest value and 64 KiB for its envelope.
	maxObjectResponseBytes = MaxValueBytes + 64<<10
	// maxListResponseBytes is the largest response to a list, about 80,000 objects or
	// 40,000 instances.
	maxListResponseBytes = 8 << 20
	// maxIdleConnections allows for one connection for a watch and some for calls.
	maxIdleConnections = 8
)

// Client implements Store over the HTTP object API of the platform. It is safe for
// concurrent use.
type Client struct {
	// OnUnreadable is called with the error of the first element of a list that is left out because it cannot be
	// read; nil ignores it. It must be set before the first call.
	OnUnreadable func(error)

	baseURL     *url.URL
	http        *http.Client
	timeout     time.Duration
	bearerToken *tokenFile

	mu sync.Mutex
	// generations holds the last generation read of each watched key. A watch sends
	// it, so that a restore between two watches is detected even when the version of
	// the object is the same.
	generations map[string]int64
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the object API at settings.URL. It fails when the
// URL is invalid or the token file cannot be read.
func NewClient(settings api.PlatformSettings) (*Client, error) {
	base, err := url.Parse(strings.TrimSuffix(settings.URL, "/"))
	if err != nil {
		return nil, eris.Wrapf(err, "platform URL %q cannot be parsed", settings.URL)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, eris.Errorf("platform URL %q must have the scheme http or https and a host", settings.URL)
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

		MaxResponseHeaderBytes: framing.MaxHeadBytes,
	}
	c := &Client{
		baseURL:     base,
		http:        &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		timeout:     timeout,
		bearerToken: newTokenFile(settings.TokenFile),
		generations: map[string]int64{},
	}
	if _, err := c.bearerToken.currentToken(); err != nil {
		return nil, err
	}
	return c, nil
}

// returnRedirect makes the client return a redirect instead of following it, so
// that the token is sent to no other address.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections of the client.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// objectJSON is the JSON form of an Object in the object API.
type objectJSON struct {
	Key        string          `json:"key"`
	Version    int64           `json:"version"`
	Generation int64           `json:"generation"`
	Value      json.RawMessage `json:"value"`
}

func (o objectJSON) object() Object {
	return Object{Key: o.Key, Version: o.Version, Generation: o.Generation, Value: o.Value}
}

// checkKey returns an error if the response to a call is about another object than key: a second copy of
// an earlier response, which on a connection in use again comes first.
func (o objectJSON) checkKey(k call, key string) error {
	if o.Key == key {
		return nil
	}
	return k.responseLost(eris.Errorf("response is about object %q, not %q", o.Key, key))
}

// Get implements Store by GET /v1/objects/{key}.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var out objectJSON
	k := call{method: http.MethodGet, path: objectPath(key), result: &out}
	if err := c.do(ctx, k); err != nil {
		return Object{}, err
	}
	if err := out.checkKey(k, key); err != nil {
		return Object{}, err
	}
	return c.recordGeneration(out.object()), nil
}

// Put implements Store by PUT /v1/objects/{key}. A value above MaxValueBytes is
// ErrRefused and is not sent.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, eris.Wrapf(ErrRefused, "value of %q has %d bytes, at most %d are allowed", key, len(value), MaxValueBytes)
	}
	var out objectJSON
	k := call{
		method: http.MethodPut,
		path:   objectPath(key),
		query:  url.Values{"ifVersion": {strconv.FormatInt(ifVersion, 10)}},
		body:   value,
		result: &out,
	}
	if err := c.do(ctx, k); err != nil {
		return Object{}, err
	}
	if err := out.checkKey(k, key); err != nil {
		return Object{}, err
	}
	return out.object(), nil
}

// List implements Store by GET /v1/objects.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var out objectList
	err := c.do(ctx, call{
		method:           http.MethodGet,
		path:             "/v1/objects",
		query:            url.Values{"prefix": {prefix}},
		result:           &out,
		isList:           true,
		maxResponseBytes: maxListResponseBytes,
	})
	if err != nil {
		return nil, err
	}
	objects, unreadable := decodeElements(out.Objects, decodeListedObject)
	c.reportUnreadable(unreadable)
	return objects, nil
}

// Watch implements Store by GET /v1/watch/{key}, a long poll.
func (c *Client) Watch(ctx context.Context, key string, afterVersion int64, wait time.Duration) (Object, error) {
	query := url.Values{
		"afterVersion": {strconv.FormatInt(afterVersion, 10)},
		"waitMs":       {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if generation, ok := c.lastGeneration(key); ok {
		query.Set("generation", strconv.FormatInt(generation, 10))
	}
	var out objectJSON
	k := call{method: http.MethodGet, path: "/v1/watch/" + escapeKey(key), query: query, serverWait: wait, result: &out}
	if err := c.do(ctx, k); err != nil {
		return Object{}, err
	}
	if err := out.checkKey(k, key); err != nil {
		return Object{}, err
	}
	return c.recordGeneration(out.object()), nil
}

// Instances implements Store by GET /v1/instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out instanceList
	if err := c.do(ctx, call{method: http.MethodGet, path: "/v1/instances", result: &out, isList: true, maxResponseBytes: maxListResponseBytes}); err != nil {
		return nil, err
	}
	instances, unreadable := decodeElements(out.Instances, decodeInstance)
	c.reportUnreadable(unreadable)
	return instances, nil
}

// reportUnreadable passes the error of an element that was left out to OnUnreadable.
func (c *Client) reportUnreadable(err error) {
	if err != nil && c.OnUnreadable != nil {
		c.OnUnreadable(err)
	}
}

// RegisterInstance adds an instance to the platform's instance list or updates it.
// Only deployments with a stand-in platform call it; in production the platform
// maintains the list.
func (c *Client) RegisterInstance(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return eris.Wrap(err, "instance cannot be encoded")
	}
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/instances", body: body})
}

func (c *Client) lastGeneration(key string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.generations[key]
	return g, ok
}

func (c *Client) recordGeneration(o Object) Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Only the generations of watched keys are used. The limit stops reads of many
	// other keys from growing the map.
	const maxKeys = 64
	if _, ok := c.generations[o.Key]; ok || len(c.generations) < maxKeys {
		c.generations[o.Key] = o.Generation
	}
	return o
}

func objectPath(key string) string { return "/v1/objects/" + escapeKey(key) }

// escapeKey escapes each segment of a key for a URL path and keeps the slashes.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// newRequest builds the HTTP request of a call, with the bearer token if there is
// one.
func (c *Client) newRequest(ctx context.Context, k call) (*http.Request, error) {
	target := c.baseURL.String() + k.path
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
	token, err := c.bearerToken.currentToken()
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return req, nil
}
