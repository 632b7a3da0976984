// Package adminclient is the HTTP client of the administration API of an entry.
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
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/tlsconf"
)

const (
	// callTimeout bounds one call. For a usage call the entry reads every usage batch
	// from the store in this time.
	callTimeout = 15 * time.Second
	// maxResponseBytes is the largest response that is accepted.
	maxResponseBytes = 16 << 20
)

// Options configure a Client.
type Options struct {
	// URL is the base URL of the administration listener.
	URL string
	// Key is the operator key, sent as bearer token.
	Key string
	// CAFile is a file of CA certificates that verify the listener's certificate; if
	// empty, the system's roots are used.
	CAFile string
}

// Client calls the administration API of one entry. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client of the administration API at o.URL. It fails when o.CAFile
// cannot be used.
func New(o Options) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = framing.MaxHeadBytes
	if o.CAFile != "" {
		config, err := tlsconf.ClientConfig(o.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	}
	return &Client{options: o, http: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Status returns the status of the entry, from GET /admin/v1/status.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var status api.Status
	return status, c.do(ctx, http.MethodGet, "/admin/v1/status", nil, &status)
}

// Usage returns the billed usage of the whole deployment, which the entry sums from
// the usage batches in the store.
func (c *Client) Usage(ctx context.Context) (admin.UsageTotals, error) {
	var totals admin.UsageTotals
	return totals, c.do(ctx, http.MethodGet, "/admin/v1/usage", nil, &totals)
}

// Manifest returns the manifest in force in the entry and its revision.
func (c *Client) Manifest(ctx context.Context) (admin.Manifest, error) {
	var m admin.Manifest
	return m, c.do(ctx, http.MethodGet, "/admin/v1/manifest", nil, &m)
}

// Check validates a manifest and compares it with the one in force, without
// committing it.
func (c *Client) Check(ctx context.Context, raw []byte) (admin.CheckResult, error) {
	var result admin.CheckResult
	return result, c.do(ctx, http.MethodPost, "/admin/v1/manifest/check", raw, &result)
}

// Commit writes a manifest to the store if the store still holds the revision base,
// and returns the new revision. The error is an *APIError when the entry answered with
// an error.
func (c *Client) Commit(ctx context.Context, raw []byte, base api.Revision) (api.Revision, error) {
	path := fmt.Sprintf("/admin/v1/manifest?generation=%d&version=%d", base.Generation, base.Version)
	var answer struct {
		Revision api.Revision `json:"revision"`
	}
	err := c.do(ctx, http.MethodPut, path, raw, &answer)
	return answer.Revision, err
}

// Claim returns the state of a claim key in the store.
func (c *Client) Claim(ctx context.Context, key admin.ClaimKey) (admin.ClaimView, error) {
	query := url.Values{
		"customer": {key.Customer}, "service": {key.Service}, "operation": {key.Operation}, "idempotencyKey": {key.IdempotencyKey},
	}
	var view admin.ClaimView
	return view, c.do(ctx, http.MethodGet, "/admin/v1/claims?"+query.Encode(), nil, &view)
}

// ResolveClaim records the outcome of a claim whose outcome is unknown, and returns
// the new state of its key.
func (c *Client) ResolveClaim(ctx context.Context, r admin.ClaimResolution) (admin.ClaimView, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return admin.ClaimView{}, eris.Wrap(err, "claim resolution cannot be encoded")
	}
	var view admin.ClaimView
	return view, c.do(ctx, http.MethodPost, "/admin/v1/claims/resolve", raw, &view)
}

// APIError is an error response of the administration API.
type APIError struct {
	// Status is the HTTP status.
	Status int
	// Response is the decoded error body; it is empty when Check is set.
	Response admin.ErrorResponse
	// Check holds the faults of an invalid manifest, which has status 422; else nil.
	Check *admin.CheckResult
}

// Error implements error.
func (e *APIError) Error() string {
	if e.Check != nil {
		return fmt.Sprintf("manifest has %d faults", len(e.Check.Faults))
	}
	if e.Response.Stored != nil {
		return fmt.Sprintf("%s: %s (revision %d.%d is in the store)", e.Response.Kind, e.Response.Message,
			e.Response.Stored.Generation, e.Response.Stored.Version)
	}
	return fmt.Sprintf("%s: %s", e.Response.Kind, e.Response.Message)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return eris.Wrap(err, "response of the administration API is incomplete")
	}
	if len(raw) > maxResponseBytes {
		return eris.Errorf("response of the administration API is larger than %d bytes", maxResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp.StatusCode, raw)
	}
	return eris.Wrap(json.Unmarshal(raw, out), "response of the administration API is not valid JSON")
}

// decodeError converts a response with a status other than 200 into an *APIError.
// Its kind is internal when the body is not an error response. A response with status
// 422 whose body is not valid JSON gives the decoding error instead.
func decodeError(status int, raw []byte) error {
	apiErr := &APIError{Status: status}
	if status == http.StatusUnprocessableEntity {
		apiErr.Check = &admin.CheckResult{}
		return firstError(json.Unmarshal(raw, apiErr.Check), apiErr)
	}
	if err := json.Unmarshal(raw, &apiErr.Response); err != nil || apiErr.Response.Kind == "" {
		apiErr.Response = admin.ErrorResponse{Kind: errkind.Internal, Message: fmt.Sprintf("status %d", status)}
	}
	return apiErr
}

func firstError(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}
