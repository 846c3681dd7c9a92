package outbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// servePeer starts a peer that answers with handle, and returns its address.
func servePeer(t *testing.T, handle http.HandlerFunc) string {
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// serveCounted starts a peer that answers after a while, and returns its address and the number of connections
// that were opened to it.
func serveCounted(t *testing.T, after time.Duration) (address string, opened *atomic.Int64) {
	opened = &atomic.Int64{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(after) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), opened
}

// post sends a call with a timeout and returns the status and body of the answer.
func post(c *Client, address string, timeout time.Duration) (status int, body string, err error) {
	err = c.Post(Call{Address: address, Path: "/x", Header: [2]string{"X-Name", "n"}, Body: []byte("{}"), Timeout: timeout}, func(s int, b []byte) {
		status, body = s, string(b)
	})
	return status, body, err
}

func TestPost(t *testing.T) {
	address := servePeer(t, func(w http.ResponseWriter, r *http.Request) {
		if got, want := r.Method+" "+r.URL.Path+" "+r.Header.Get("X-Name")+" "+r.Header.Get("Content-Type"), "POST /x n application/json"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		w.WriteHeader(http.StatusConflict)
		w.Write([]byte("no"))
	})
	status, body, err := post(New(), address, time.Second)
	if status != http.StatusConflict || body != "no" || err != nil {
		t.Errorf("got %d, %q and %v", status, body, err)
	}
}

// TestUnsentCallIsToldApart guards against a call that waits for its outcome although nothing was sent.
func TestUnsentCallIsToldApart(t *testing.T) {
	closed := servePeer(t, nil)
	l, err := net.Listen("tcp", closed[:strings.LastIndex(closed, ":")]+":0")
	if err != nil {
		t.Fatal(err)
	}
	refused := l.Addr().String()
	l.Close()
	silent := WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() })
	for name, c := range map[string]*Client{"refused": New(), "silent": New(silent)} {
		if _, _, err := post(c, refused, 50*time.Millisecond); !errors.Is(err, ErrNotSent) {
			t.Errorf("%s: got %v, want %v", name, err, ErrNotSent)
		}
	}
	busy := New(WithMaxPerPeer(1))
	arrived, held := make(chan bool), make(chan bool)
	address := servePeer(t, func(http.ResponseWriter, *http.Request) { arrived <- true; <-held })
	var wg sync.WaitGroup
	wg.Go(func() {
		if _, _, err := post(busy, address, time.Minute); err != nil {
			t.Error(err)
		}
	})
	<-arrived
	if _, _, err := post(busy, address, 20*time.Millisecond); !errors.Is(err, ErrNotSent) {
		t.Errorf("all connections in use: got %v, want %v", err, ErrNotSent)
	}
	held <- true
	wg.Wait()
	wg.Go(func() {
		if _, _, err := post(busy, address, time.Second); err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("a call without an answer: got %v, want an error other than %v", err, ErrNotSent)
		}
	})
	<-arrived
	wg.Wait()
	close(held)
}

// TestBrokenCallIsToldApart guards against a call that its peer had when it ended and that counts as one that never
// reached it.
func TestBrokenCallIsToldApart(t *testing.T) {
	ends := servePeer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if _, _, err := post(New(), ends, time.Second); !errors.Is(err, ErrBroken) {
		t.Errorf("the peer ends: got %v, want %v", err, ErrBroken)
	}
	held := make(chan bool)
	silent := servePeer(t, func(http.ResponseWriter, *http.Request) { <-held })
	if _, _, err := post(New(), silent, 20*time.Millisecond); err == nil || errors.Is(err, ErrBroken) {
		t.Errorf("no answer: got %v, want an error other than %v", err, ErrBroken)
	}
	close(held)
}

// TestEndedCallIsNotDelivered guards against a call that its peer gets long after the caller has stopped waiting: the
// path carried nothing for a while, and the system went on sending what was written before the timeout (TWICE).
func TestEndedCallIsNotDelivered(t *testing.T) {
	narrow := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	l, err := narrow.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	call := Call{Address: l.Addr().String(), Path: "/x", Body: make([]byte, 32<<10), Timeout: 100 * time.Millisecond}
	if err := New().Post(call, func(int, []byte) {}); err == nil || errors.Is(err, ErrNotSent) || errors.Is(err, ErrBroken) {
		t.Fatalf("got %v, want that the call was sent and not answered", err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if b, err := io.ReadAll(r.Body); err == nil {
		t.Errorf("got a call of %d bytes after its end, want a broken connection", len(b))
	}
}

// TestCallIsSentOnce guards against a call that is sent again because its connection ended before the
// answer: the peer may have carried it out (TWICE).
func TestCallIsSentOnce(t *testing.T) {
	var calls atomic.Int64
	address := servePeer(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	})
	c := New()
	if _, _, err := post(c, address, time.Second); err != nil {
		t.Fatal(err)
	}
	if _, _, err := post(c, address, time.Second); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want an error other than %v", err, ErrNotSent)
	}
	if got, want := calls.Load(), int64(2); got != want {
		t.Errorf("calls that arrived: got %d, want %d", got, want)
	}
}

// TestClosedConnectionIsNotUsed guards against calls whose outcome is unknown because their peer had closed
// the idle connection long before.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan bool)
	go func() { // answers one call on each connection, and closes it
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			http.ReadRequest(bufio.NewReader(conn))
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			conn.Close()
			closed <- true
		}
	}()
	c := New()
	c.pool.maxUnchecked = 0
	for i := range 3 {
		if status, _, err := post(c, l.Addr().String(), 10*time.Second); err != nil || status != http.StatusOK {
			t.Errorf("call %d: got %d and %v", i, status, err)
		}
		<-closed
	}
}

// TestIdleConnectionIsUsedAgain guards against a connection that counts as closed by its peer because the
// deadline of its last call has passed: each call after a pause opened a new one.
func TestIdleConnectionIsUsedAgain(t *testing.T) {
	address, opened := serveCounted(t, 0)
	c := New()
	c.pool.maxUnchecked = 0
	const timeout = time.Second
	for range 3 {
		if _, _, err := post(c, address, timeout); err != nil {
			t.Fatal(err)
		}
		time.Sleep(timeout)
	}
	if got, want := opened.Load(), int64(1); got != want {
		t.Errorf("connections opened: got %d, want %d", got, want)
	}
}

// TestMalformedAnswers guards against an answer that can't be read and ends the process.
func TestMalformedAnswers(t *testing.T) {
	for _, answer := range []string{
		"", "\x00\xff", "HTTP/1.1\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/9.9 200 OK\r\nContent-Length: -5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 3*bufferBytes) + "\r\n\r\n",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			http.ReadRequest(bufio.NewReader(conn))
			conn.Write([]byte(answer))
			conn.Close()
		}()
		if status, body, err := post(New(), l.Addr().String(), time.Second); err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("%.40q: got %d, %.20q and %v, want an error other than %v", answer, status, body, err, ErrNotSent)
		}
		l.Close()
	}
}

// TestIdleConnectionsMakeRoom guards against calls to one peer that wait for the idle connections of others.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }
	c := New(WithMaxOpen(2))
	var addresses []string
	for range 5 {
		addresses = append(addresses, servePeer(t, answer))
	}
	for i := range 20 {
		if _, body, err := post(c, addresses[i%len(addresses)], time.Second); body != "ok" || err != nil {
			t.Errorf("call %d: got %q and %v", i, body, err)
		}
	}
	if got, want := len(c.pool.peers), 2; got != want {
		t.Errorf("peers that are remembered: got %d, want %d", got, want)
	}
	c.Close()
	if got, want := len(c.pool.peers), 0; got != want {
		t.Errorf("peers that are remembered after Close: got %d, want %d", got, want)
	}
}

// TestBurstOpensFewConnections guards against a connection for each of several calls that are sent to one
// peer at once, which are then closed to make room for those of other peers.
func TestBurstOpensFewConnections(t *testing.T) {
	address, opened := serveCounted(t, time.Millisecond)
	c := New()
	c.pool.patience = time.Minute
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			if _, _, err := post(c, address, 10*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if got, want := opened.Load(), int64(usualPerPeer); got != want {
		t.Errorf("connections opened: got %d, want %d", got, want)
	}
}

func ExampleClient_Post() {
	c := New(WithMaxOpen(100))
	defer c.Close()
	err := c.Post(Call{Address: "127.0.0.1:1", Path: "/start", Body: []byte("{}"), Timeout: time.Second}, func(int, []byte) {})
	if errors.Is(err, ErrNotSent) {
		println("may be sent to another peer")
	}
}

// TestBurstKeepsOtherPeersConnections guards against a burst of calls to one peer that takes away the connections
// of the others while all are open: each then had to be opened again, which costs more than a call.
func TestBurstKeepsOtherPeersConnections(t *testing.T) {
	const calls, patience = 6, 100 * time.Millisecond
	busy, openedToBusy := serveCounted(t, patience*3/2)
	other, openedToOther := serveCounted(t, 0)
	c := New(WithMaxOpen(usualPerPeer + 1))
	c.pool.patience = patience
	for range 2 {
		if _, _, err := post(c, other, time.Second); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				if _, _, err := post(c, busy, 10*time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	if _, _, err := post(c, other, time.Second); err != nil {
		t.Fatal(err)
	}
	if got, want := openedToBusy.Load(), int64(usualPerPeer); got != want {
		t.Errorf("connections to the busy peer: got %d, want %d", got, want)
	}
	if got, want := openedToOther.Load(), int64(1); got != want {
		t.Errorf("connections to the other peer: got %d, want %d", got, want)
	}
}
