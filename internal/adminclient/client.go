// Package adminclient reaches the administration API of an entry.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/admin"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/tlsconf"
)

const (
	// callTimeout bounds a call, including the reads of every usage batch.
	callTimeout = 15 * time.Second
	// maxAnswerBytes bounds an answer that is read into memory.
	maxAnswerBytes = 16 << 20
)

// Options configure a Client.
type Options struct {
	// URL is the base URL of the administration listener.
	URL string
	// Key is the operator key.
	Key string
	// CAFile verifies the listener's certificate; empty uses the system's roots.
	CAFile string
}

// Client calls one entry.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client of the administration API.
func New(o Options) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if o.CAFile != "" {
		config, err := tlsconf.Client(o.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	}
	return &Client{options: o, http: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Status returns the status of the entry.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var status api.Status
	return status, c.call(ctx, http.MethodGet, "/admin/v1/status", nil, &status)
}

// Usage returns the billed usage of the whole deployment.
func (c *Client) Usage(ctx context.Context) (admin.UsageTotals, error) {
	var totals admin.UsageTotals
	return totals, c.call(ctx, http.MethodGet, "/admin/v1/usage", nil, &totals)
}

// Manifest returns the manifest in force.
func (c *Client) Manifest(ctx context.Context) (admin.Manifest, error) {
	var m admin.Manifest
	return m, c.call(ctx, http.MethodGet, "/admin/v1/manifest", nil, &m)
}

// Check compares a manifest with the one in force.
func (c *Client) Check(ctx context.Context, raw []byte) (admin.CheckResult, error) {
	var result admin.CheckResult
	return result, c.call(ctx, http.MethodPost, "/admin/v1/manifest/check", raw, &result)
}

// Commit writes a manifest that is based on a revision. The error is *Refused
// when the entry answered.
func (c *Client) Commit(ctx context.Context, raw []byte, base api.Revision) (api.Revision, error) {
	path := fmt.Sprintf("/admin/v1/manifest?generation=%d&version=%d", base.Generation, base.Version)
	var answer struct {
		Revision api.Revision `json:"revision"`
	}
	err := c.call(ctx, http.MethodPut, path, raw, &answer)
	return answer.Revision, err
}

// Claim returns what the store holds for a key.
func (c *Client) Claim(ctx context.Context, key admin.ClaimKey) (admin.ClaimView, error) {
	query := url.Values{
		"customer": {key.Customer}, "service": {key.Service}, "operation": {key.Operation}, "idempotencyKey": {key.IdempotencyKey},
	}
	var view admin.ClaimView
	return view, c.call(ctx, http.MethodGet, "/admin/v1/claims?"+query.Encode(), nil, &view)
}

// ResolveClaim states the outcome of a claim that is blocked as unknown.
func (c *Client) ResolveClaim(ctx context.Context, r admin.ClaimResolution) (admin.ClaimView, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return admin.ClaimView{}, eris.Wrap(err, "outcome cannot be encoded")
	}
	var view admin.ClaimView
	return view, c.call(ctx, http.MethodPost, "/admin/v1/claims/resolve", raw, &view)
}

// Refused is an error answer of the administration API.
type Refused struct {
	Status  int
	Failure admin.Failure
	// Check is set when the manifest is invalid.
	Check *admin.CheckResult
}

// Error implements error.
func (r *Refused) Error() string {
	if r.Check != nil {
		return fmt.Sprintf("manifest has %d faults", len(r.Check.Faults))
	}
	if r.Failure.Present != nil {
		return fmt.Sprintf("%s: %s (revision %d.%d is in the store)", r.Failure.Kind, r.Failure.Message,
			r.Failure.Present.Generation, r.Failure.Present.Version)
	}
	return fmt.Sprintf("%s: %s", r.Failure.Kind, r.Failure.Message)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.options.URL+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "address %s is invalid", c.options.URL)
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "administration API cannot be reached")
	}
	defer resp.Body.Close() //nolint:errcheck // a failed close of a read body has no consequence
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrap(err, "answer of the administration API was cut")
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp.StatusCode, raw)
	}
	return eris.Wrap(json.Unmarshal(raw, out), "answer of the administration API is not valid JSON")
}

func refused(status int, raw []byte) error {
	r := &Refused{Status: status}
	if status == http.StatusUnprocessableEntity {
		r.Check = &admin.CheckResult{}
		return errorOr(json.Unmarshal(raw, r.Check), r)
	}
	if err := json.Unmarshal(raw, &r.Failure); err != nil || r.Failure.Kind == "" {
		r.Failure = admin.Failure{Kind: errkind.Internal, Message: fmt.Sprintf("status %d", status)}
	}
	return r
}

func errorOr(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}
