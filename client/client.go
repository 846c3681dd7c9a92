// Package client is a client for the HTTP interfaces of a daemon.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"tamaracknotch/api"
)

// Client calls the daemons that it was created for. Each call tries them in turn and
// uses the answer of the first that can be reached.
type Client struct {
	baseURLs []string
	key      string
	http     *http.Client
}

// Option configures a new Client.
type Option func(*Client)

// WithKey sends a key as the bearer token of each call.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithTimeout bounds each attempt of a call at one daemon.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.http.Timeout = d } }

// defaultTimeout bounds an attempt of a call unless WithTimeout is given.
const defaultTimeout = 15 * time.Second

// New returns a client for the daemons at the given addresses, each an IP number and
// a port.
func New(addresses []string, opts ...Option) *Client {
	c := &Client{http: &http.Client{Timeout: defaultTimeout}}
	for _, a := range addresses {
		c.baseURLs = append(c.baseURLs, "http://"+a)
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// call sends in as JSON and decodes the answer into out. Either may be nil. An
// HTTP error becomes an error of type api.Problem. If a daemon can't be reached or
// doesn't know the outcome, call tries the next one. This is safe since requests
// that change something carry ids.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	err = errors.New("no address of a daemon is given")
	for _, base := range c.baseURLs {
		if err = c.callDaemon(ctx, method, base+path, body, out); !shouldTryNext(err) {
			return err
		}
	}
	return err
}

// shouldTryNext reports whether a call that failed with err should be tried at the
// next daemon.
func shouldTryNext(err error) bool {
	if err == nil {
		return false
	}
	var p api.Problem
	if errors.As(err, &p) {
		return p.Status == http.StatusServiceUnavailable
	}
	return true
}

// callDaemon makes one attempt of a call. It stores the undecoded answer if out is a
// *json.RawMessage.
func (c *Client) callDaemon(ctx context.Context, method, target string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		p := api.NewProblem(resp.StatusCode, "")
		if err := json.Unmarshal(b, &p); err != nil {
			p.Detail = string(b)
		}
		return p
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = b
		return nil
	}
	if out == nil || len(b) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, out), "decode answer")
}

// Table returns the current version of a table.
func (c *Client) Table(ctx context.Context, name string) (t api.Table, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/tables/"+url.PathEscape(name), nil, &t)
	return t, err
}

// PutTable sends an edit of the named table.
func (c *Client) PutTable(ctx context.Context, name string, e api.Edit) (r api.EditResult, err error) {
	err = c.call(ctx, http.MethodPut, "/v1/tables/"+url.PathEscape(name), e, &r)
	return r, err
}

// Entries returns the entries and the revision of the tables in force at each.
func (c *Client) Entries(ctx context.Context) (e api.Entries, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/entries", nil, &e)
	return e, err
}

// Workers lists the workers.
func (c *Client) Workers(ctx context.Context) (w []api.WorkerStatus, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/workers", nil, &w)
	return w, err
}

// State returns a dump of the state of the daemon that answers.
func (c *Client) State(ctx context.Context) (raw json.RawMessage, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/state", nil, &raw)
	return raw, err
}

// Metrics returns the metrics of the daemon that answers.
func (c *Client) Metrics(ctx context.Context) (raw json.RawMessage, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/metrics", nil, &raw)
	return raw, err
}

// Announce sends a backend server's announcement.
func (c *Client) Announce(ctx context.Context, b api.BackendServer) error {
	return c.call(ctx, http.MethodPost, "/v1/announce", b, nil)
}

// Heartbeat sends a worker's heartbeat.
func (c *Client) Heartbeat(ctx context.Context, worker string, h api.Heartbeat) (r api.HeartbeatReply, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/heartbeat", h, &r)
	return r, err
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, j api.Job) error {
	return c.call(ctx, http.MethodPost, "/v1/jobs", j, nil)
}

// Jobs lists the jobs, without their tasks.
func (c *Client) Jobs(ctx context.Context) (js []api.JobStatus, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/jobs", nil, &js)
	return js, err
}

// Job returns one job with its tasks.
func (c *Client) Job(ctx context.Context, id string) (j api.JobStatus, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &j)
	return j, err
}

// CancelJobs cancels jobs.
func (c *Client) CancelJobs(ctx context.Context, ids []string) error {
	return c.call(ctx, http.MethodPost, "/v1/cancel", api.CancelRequest{Jobs: ids}, nil)
}
