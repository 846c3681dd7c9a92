package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// proxy is the network in front of a minion: it stands at the minion's address, and passes orders on to the minion's life
// that is there at that moment. It can leave orders unanswered and carry them out late, and cut the minion off.
type proxy struct {
	c      *cluster
	h      *host
	client http.Client

	mu    sync.Mutex
	cut   bool
	holds func(path string, o orderBody) bool // the orders that are left unanswered; nil: none
	held  []heldOrder
}

// heldOrder is an order that was left unanswered and isn't carried out yet.
type heldOrder struct {
	path, instance string
	body           []byte
	order          orderBody
	at             time.Time
}

// newProxy puts a proxy before a machine's minion, which gets another address behind it.
func newProxy(c *cluster, h *host) (*proxy, error) {
	p := &proxy{c: c, h: h, client: http.Client{Timeout: 5 * time.Second}}
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return nil, err
	}
	ip, _, _ := net.SplitHostPort(h.address)
	h.behind = fmt.Sprintf("%s:%d", ip, freePorts(1, []string{ip})[0])
	h.cutFile = c.temp + "/cut-" + ip
	go http.Serve(l, p)
	return p, nil
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o orderBody
	json.Unmarshal(body, &o)
	p.mu.Lock()
	cut := p.cut
	held := !cut && p.holds != nil && p.holds(r.URL.Path, o)
	if held {
		p.held = append(p.held, heldOrder{r.URL.Path, r.Header.Get("X-Expected-Instance"), body, o, time.Now()})
		p.c.record.printf("trouble: left unanswered: %s %s", r.URL.Path, body)
	}
	p.mu.Unlock()
	if cut || held {
		<-r.Context().Done() // no answer comes
		panic(http.ErrAbortHandler)
	}
	status, answer, err := p.pass(r.URL.Path, r.Header.Get("X-Expected-Instance"), body)
	p.mu.Lock()
	cut = p.cut
	p.mu.Unlock()
	if cut {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // as the minion has crashed
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(answer)
}

// pass has the minion carry out an order.
func (p *proxy) pass(path, instance string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest("POST", "http://"+p.h.behind+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("X-Expected-Instance", instance)
	res, err := p.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}

// hold leaves the orders unanswered that match; nil ends that.
func (p *proxy) hold(matches func(path string, o orderBody) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds = matches
}

// heldOrders returns the orders that wait to be carried out late.
func (p *proxy) heldOrders() []heldOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]heldOrder{}, p.held...)
}

// carryOut has the minion carry out an order late.
func (p *proxy) carryOut(o heldOrder) {
	status, answer, err := p.pass(o.path, o.instance, o.body)
	p.c.record.printf("trouble: carried out %.1f s late: %s %s: %d %s %v", time.Since(o.at).Seconds(), o.path, o.body, status, answer, err)
}

// setCut cuts the minion off from all machines, or ends that.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		os.WriteFile(p.h.cutFile, nil, 0o600)
		p.c.record.printf("trouble: the minion at %s is cut off from all machines", p.h.address)
		return
	}
	os.Remove(p.h.cutFile)
	p.c.record.printf("trouble: the minion at %s is reached again", p.h.address)
}

// takeHeld removes the orders that wait to be carried out late, and returns them.
func (p *proxy) takeHeld() []heldOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.held
	p.held = nil
	return out
}
