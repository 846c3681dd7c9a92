package ctl_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"tamaracknotch/api"
	"tamaracknotch/client"
	"tamaracknotch/ctl"
	"tamaracknotch/daemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"notchctl": func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"notchd":   func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, nil)) },
		"backend":  func() { os.Exit(backend(os.Args[1:])) },
		"worker":   func() { os.Exit(worker(os.Args[1:])) },
		"call":     func() { os.Exit(call(os.Args[1:])) },
	})
}

func TestPrograms(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", Setup: setPorts,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"await": await},
	})
}

// lastScript numbers the scripts of this process.
var lastScript atomic.Uint32

// The range from which the ports of scripts are drawn. It is below the ports that the system gives
// to listeners and connections that ask for any.
const (
	minScriptPort = 10_000
	maxScriptPort = 30_000
)

// setPorts sets P1 to P9 to addresses with free ports, on a loopback address that the script
// shares with no other script: neither a script that runs in parallel nor a process that lets the
// system choose a port takes one between its choice and its use.
func setPorts(e *testscript.Env) error {
	pid := os.Getpid()
	host := net.IPv4(127, byte(1+pid>>8%200), byte(pid), byte(lastScript.Add(1))).String()
	var listeners []net.Listener
	for i := 1; i <= 9; i++ {
		l, err := listenAtFreePort(host)
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		e.Setenv(fmt.Sprintf("P%d", i), l.Addr().String())
	}
	for _, l := range listeners {
		l.Close()
	}
	e.Setenv("NOTCH_SERVERS", e.Getenv("P2"))
	e.Setenv("NOTCH_CALLERS", e.Getenv("P1"))
	e.Setenv("NOTCH_DRAIN_DELAY", "0s")
	return nil
}

// listenAtFreePort listens at a port of the host that is drawn from the range of scripts.
func listenAtFreePort(host string) (net.Listener, error) {
	const draws = 100
	var err error
	for range draws {
		var l net.Listener
		port := minScriptPort + rand.IntN(maxScriptPort-minScriptPort)
		if l, err = net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// awaitTimeout bounds the script command await.
const awaitTimeout = 30 * time.Second

// await runs a program again and again until it exits with 0.
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: await PROGRAM ARGS...")
	}
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := ts.Exec(args[0], args[1:]...)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v: still failing after %v: %v", args, awaitTimeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// signalContext returns a context that ends with SIGTERM or SIGINT.
func signalContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return ctx
}

// backend is the program of a backend server: backend ENTRY NAME POOL. It answers
// with its name, the method, the path and the body. If the query has slow, it waits
// 1.5 s first; if it has cut, it breaks the answer off after 70,000 bytes, which is
// more than an entry buffers.
func backend(args []string) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 1
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if r.URL.Query().Has("slow") {
			time.Sleep(1500 * time.Millisecond)
		}
		if r.URL.Query().Has("cut") {
			w.Header().Set("Content-Length", "100000")
			w.Write(make([]byte, 70_000))
			panic(http.ErrAbortHandler)
		}
		if answerFault(w, r) {
			return
		}
		fmt.Fprintf(w, "%s %s %s %s\n", args[1], r.Method, r.URL.Path, b)
	}))
	ctx := signalContext()
	c := client.New([]string{args[0]})
	for ctx.Err() == nil {
		c.Announce(ctx, api.BackendServer{
			Name: args[1], Incarnation: 1, Address: l.Addr().String(), Host: "host-" + args[1], FailureDomain: "north",
			Pool: args[2], Slots: 8, Connections: 64,
		})
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// answerFault gives the faulty answer that the query asks for: refuse, reset, garbage
// or short. It returns false if the query asks for none.
func answerFault(w http.ResponseWriter, r *http.Request) bool {
	q := r.URL.Query()
	if q.Has("refuse") {
		w.Header().Set(api.NotRunHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	text := map[string]string{
		"reset": "", "garbage": "\x00\x01 what?\r\n\r\n", "short": "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nxxxx",
	}
	for name, answer := range text {
		if !q.Has(name) {
			continue
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		io.WriteString(conn, answer)
		conn.Close()
		return true
	}
	return false
}

// worker is the program of a worker: worker ENTRY NAME POOL. It reports every task
// that it is ordered to start as finished at the next heartbeat.
func worker(args []string) int {
	ctx := signalContext()
	c := client.New([]string{args[0]})
	reports := map[api.TaskAttempt]api.TaskReport{}
	for ctx.Err() == nil {
		h := api.Heartbeat{Worker: api.Worker{
			Incarnation: 1, Pool: args[2], FailureDomain: "north", Size: api.Resources{MilliCPU: 4000, MemoryMB: 4000},
		}}
		for _, r := range reports {
			h.Reports = append(h.Reports, r)
		}
		if reply, err := c.Heartbeat(ctx, args[1], h); err == nil {
			for _, s := range reply.Settled {
				delete(reports, api.TaskAttempt{Task: s.Task, Epoch: s.Epoch})
			}
			for _, o := range reply.Orders {
				a := api.TaskAttempt{Task: o.Task, Epoch: o.Epoch}
				reports[a] = api.TaskReport{Task: o.Task, Epoch: o.Epoch, Kind: "finished"}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// call is a caller: call [-id ID] METHOD URL [BODY]. BODY is the name of a file. It
// prints the status, the headers that say whether the request ran, and the body, and
// exits with 1 if the status is 400 or higher or the answer is cut.
func call(args []string) int {
	id := ""
	if args[0] == "-id" {
		id, args = args[1], args[2:]
	}
	var body io.Reader
	if len(args) > 2 {
		f, err := os.Open(args[2])
		if err != nil {
			return 1
		}
		defer f.Close()
		body = f
	}
	req, err := http.NewRequest(args[0], args[1], body)
	if err != nil {
		return 1
	}
	if id != "" {
		req.Header.Set(api.RequestIDHeader, id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	b, err := io.ReadAll(resp.Body)
	fmt.Printf("status %d\nnot-run %s\noutcome %s\n%s", resp.StatusCode, resp.Header.Get(api.NotRunHeader), resp.Header.Get(api.OutcomeHeader), b)
	if err != nil {
		fmt.Println("broken:", err)
	}
	if resp.StatusCode >= 400 || err != nil {
		return 1
	}
	return 0
}
