// Package outbound sends calls over HTTP/1.1 to many peers, over a bounded number of connections that it
// keeps open. Nothing is sent twice, and the caller learns whether a call that failed was sent at all.
package outbound

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ErrNotSent is the error of a call of which nothing was sent, as there was no connection in time.
var ErrNotSent = errors.New("the call wasn't sent")

// ErrExpired is the error of a call of which nothing was sent, as it was too late for it.
var ErrExpired = errors.New("the call wasn't sent, as it was too late")

// ErrBroken is the error of a call that was sent, and whose connection ended before the answer: the peer ended while
// it had the call, or refused it without a word.
var ErrBroken = errors.New("the connection ended before the answer")

// The limits of calls and connections.
const (
	dialTimeout      = 800 * time.Millisecond
	bufferBytes      = 4 << 10 // of a call and of an answer; longer ones are written and read in parts
	maxAnswerBytes   = 4 << 20
	defaultMaxOpen   = 1024
	defaultPerPeer   = 4
	keepAliveProbe   = time.Second // of an idle connection, and between probes
	keepAliveUnheard = 2           // probes without an answer after which a connection has failed
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends calls. Its methods may be called on several goroutines.
type Client struct {
	pool    *pool
	readers sync.Pool // of *bufio.Reader
	calls   sync.Pool // of *callBuffer
}

// Option configures a new Client.
type Option func(*pool)

// WithMaxOpen limits the number of connections that are open at a time.
func WithMaxOpen(n int) Option { return func(p *pool) { p.maxOpen = n } }

// WithMaxPerPeer limits the number of connections to one address.
func WithMaxPerPeer(n int) Option { return func(p *pool) { p.maxPerPeer = n } }

// WithDial replaces the function that opens connections.
func WithDial(dial DialFunc) Option { return func(p *pool) { p.dial = dial } }

// New returns a client without connections.
func New(opts ...Option) *Client {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveUnheard,
	}}
	return &Client{
		pool:    newPool(dialer.DialContext, opts),
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }},
		calls:   sync.Pool{New: func() any { return &callBuffer{writer: bufio.NewWriterSize(nil, bufferBytes)} }},
	}
}

// Call is one call: a POST with a JSON body.
type Call struct {
	Address string // of the peer, an IP number with a port
	Path    string
	Header  [2]string // name and value of one more header; empty: none
	Body    []byte
	Timeout time.Duration // until the whole answer has arrived
	MaySend func() bool   // asked right before the call is sent, as the process may have been paused until then; nil: it may
}

// Post sends a call and passes the answer's status and body on to read. The body is valid until read
// returns. The error is ErrNotSent or ErrExpired if nothing was sent; after any other one, such as ErrBroken, the peer may
// have carried out the call, or may still do so if it has received it by then.
func (c *Client) Post(call Call, read func(status int, body []byte)) error {
	deadline := time.Now().Add(call.Timeout)
	conn, err := c.pool.get(call.Address, deadline)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if call.MaySend != nil && !call.MaySend() {
		c.pool.put(conn, true)
		return errors.WithStack(ErrExpired)
	}
	reusable, err := c.exchange(conn, call, deadline, read)
	if err != nil {
		conn.discardUnsent()
	}
	c.pool.put(conn, reusable)
	return err
}

// exchange sends a call over a connection and reads the answer. It reports whether the connection may be
// used again.
func (c *Client) exchange(conn *peerConn, call Call, deadline time.Time, read func(int, []byte)) (reusable bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, errors.Wrap(ErrNotSent, err.Error())
	}
	if err := c.send(conn, call); err != nil {
		return false, errors.Wrap(asBroken(err), "send")
	}
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	r := c.readers.Get().(*bufio.Reader)
	defer c.readers.Put(r)
	r.Reset(conn)
	if err := res.ReadLimitBody(r, maxAnswerBytes); err != nil {
		return false, errors.Wrap(asBroken(err), "read the answer")
	}
	read(res.StatusCode(), res.Body())
	return !res.ConnectionClose() && r.Buffered() == 0, nil
}

// asBroken returns ErrBroken for the errors of a connection that its peer has ended, and other errors as they are.
func asBroken(err error) error {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, ended) {
			return errors.Wrap(ErrBroken, err.Error())
		}
	}
	return err
}

// send writes a call to a connection and waits until an answer begins to arrive.
func (c *Client) send(conn *peerConn, call Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(call.Path)
	req.Header.SetHost(call.Address)
	req.Header.SetContentType("application/json")
	if call.Header[0] != "" {
		req.Header.Set(call.Header[0], call.Header[1])
	}
	req.SetBodyRaw(call.Body)
	b := c.calls.Get().(*callBuffer)
	defer c.calls.Put(b)
	b.bytes.Reset()
	b.writer.Reset(&b.bytes)
	if err := req.Write(b.writer); err != nil {
		return err
	}
	if err := b.writer.Flush(); err != nil {
		return err
	}
	return conn.writeAndAwait(b.bytes.Bytes())
}

// callBuffer holds an encoded call.
type callBuffer struct {
	bytes  bytes.Buffer
	writer *bufio.Writer // to bytes
}

// Close closes the connections that no call uses.
func (c *Client) Close() { c.pool.closeIdle() }
