// Package client calls the HTTP interfaces of a daemon.
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

// Client calls one or several daemons: the first that can be reached.
type Client struct {
	bases []string
	key   string
	http  *http.Client
}

// Option adjusts a new Client.
type Option func(*Client)

// WithKey sends a bearer token.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.http.Timeout = d } }

// defaultTimeout bounds a call.
const defaultTimeout = 15 * time.Second

// New returns a client of the daemons at addresses, each an IP number and a port.
func New(addresses []string, opts ...Option) *Client {
	c := &Client{http: &http.Client{Timeout: defaultTimeout}}
	for _, a := range addresses {
		c.bases = append(c.bases, "http://"+a)
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// call sends in as JSON and decodes the answer into out. Either may be nil. A
// problem document becomes an api.Problem error. A daemon that can't be reached
// or doesn't know the outcome is passed over for the next: what is sent carries
// ids, so that it may be sent again.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	err = errors.New("no address of a daemon is given")
	for _, base := range c.bases {
		if err = c.callOne(ctx, method, base+path, body, out); !passable(err) {
			return err
		}
	}
	return err
}

func passable(err error) bool {
	if err == nil {
		return false
	}
	var p api.Problem
	if errors.As(err, &p) {
		return p.Status == http.StatusServiceUnavailable
	}
	return true
}

func (c *Client) callOne(ctx context.Context, method, target string, body []byte, out any) error {
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

// Table returns the present version of a table.
func (c *Client) Table(ctx context.Context, name string) (t api.Table, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/tables/"+url.PathEscape(name), nil, &t)
	return t, err
}

// Put sends an edit.
func (c *Client) Put(ctx context.Context, name string, e api.Edit) (r api.Edited, err error) {
	err = c.call(ctx, http.MethodPut, "/v1/tables/"+url.PathEscape(name), e, &r)
	return r, err
}

// Entries lists the entries.
func (c *Client) Entries(ctx context.Context) (e api.Entries, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/entries", nil, &e)
	return e, err
}

// Workers lists the workers.
func (c *Client) Workers(ctx context.Context) (w []api.WorkerStatus, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/workers", nil, &w)
	return w, err
}

// State returns a dump of the first daemon's state.
func (c *Client) State(ctx context.Context) (raw json.RawMessage, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/state", nil, &raw)
	return raw, err
}

// Metrics returns the first daemon's metrics.
func (c *Client) Metrics(ctx context.Context) (raw json.RawMessage, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/metrics", nil, &raw)
	return raw, err
}

// Announce sends a backend server's word.
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

// Cancel cancels jobs.
func (c *Client) Cancel(ctx context.Context, ids []string) error {
	return c.call(ctx, http.MethodPost, "/v1/cancel", api.Cancel{Jobs: ids}, nil)
}
