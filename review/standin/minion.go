package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// taskKey names a run.
type taskKey struct {
	task string
	run  uint64
}

// liveRun is a run in progress on a minion.
type liveRun struct {
	startedAt time.Time
	cpu       int64
	timer     *time.Timer // ends the run; nil: it lasts
}

// minion is one life of a stand-in minion. It follows the pages: it keeps the highest token, holds
// leases on its own clock, lists its runs and ends, and refuses what it must refuse.
type minion struct {
	f       *fleet
	id      string
	address string
	zone    string
	rack    string
	kind    string // first label
	born    time.Time

	mu         sync.Mutex
	server     *http.Server
	up         bool
	deaf       bool // nothing that is sent to it arrives
	dark       bool // it has crashed, and its connections are silent
	state      string
	draining   time.Time // when the draining was acknowledged
	sequence   uint64
	token      uint64
	deadline   int64 // end of the lease by the minion's clock, in ms
	running    map[taskKey]*liveRun
	finished   [][]any
	ends       uint64
	stopped    map[string]uint64 // by task: no run up to this number starts any more
	changed    chan struct{}
	control    string    // address for the next heartbeat
	heardAt    time.Time // when the latest heartbeat was acknowledged
	client     *http.Client
	leaseTimer *time.Timer
}

// fleet is all minions of a case.
type fleet struct {
	c       *cluster
	service string
	cpu     int64                           // of each minion
	length  func(task string) time.Duration // of a run of a task; 0: it lasts
	onStart func(m *minion, k taskKey)      // called on a new goroutine

	mu      sync.Mutex
	minions map[string]*minion // by address: the present life
	lives   int
	starts  []startEvent
	late    chan<- lateStart // receives the next start instead of its minion; nil: none is held
}

// lateStart is a start that is on its way.
type lateStart struct {
	minion *minion
	order  order
}

// holdStart keeps the next start from its minion.
func (f *fleet) holdStart(to chan<- lateStart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = to
}

// holdsStart reports whether a start was kept from its minion.
func (m *minion) holdsStart(o order) bool {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	if m.f.late == nil {
		return false
	}
	m.f.c.record.add("run-start of %s run %d is on its way to %s", o.Task, o.RunID, m.id)
	m.f.late <- lateStart{m, o}
	m.f.late = nil
	return true
}

// carryOut carries out a start that was on its way.
func (m *minion) carryOut(o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.FencingToken < m.token {
		m.f.c.record.add("run-start refused: %s run %d on %s: fence", o.Task, o.RunID, m.id)
		return
	}
	m.token = o.FencingToken
	m.runStart(o)
}

// goDark lets a minion answer nothing any more, as one whose machine has lost its power.
func (m *minion) goDark() {
	m.f.c.record.add("minion %s goes dark", m.id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deaf, m.dark = true, true
	for k := range m.running {
		m.noteEnd(k, "crash")
	}
	m.running = map[taskKey]*liveRun{}
}

// startEvent is the start of a run, and its end.
type startEvent struct {
	taskKey
	minion  string
	kind    string    // of the minion
	at, end time.Time // end is zero while the run is in progress
	how     string
}

const minionMemoryMb = 250_000

// life is what a life of a minion begins with.
type life struct {
	id        string        // empty: a new one
	kind      string        // its first label; empty: "a"
	firstBeat time.Duration // after which it sends its first heartbeat
}

// newLife starts a life of the minion at the numbered place.
func (f *fleet) newLife(n int, l life) (*minion, error) {
	f.mu.Lock()
	f.lives++
	if l.id == "" {
		l.id = fmt.Sprintf("i-%04d", f.lives)
	}
	if l.kind == "" {
		l.kind = "a"
	}
	m := &minion{
		f: f, id: l.id, kind: l.kind, address: f.c.address(f.c.ip(minionGroup, n+1), "minion"), zone: zones[n%len(zones)],
		rack: fmt.Sprintf("r%d-%d", n%len(zones), n/len(zones)/8), born: time.Now(), up: true, state: "ready",
		running: map[taskKey]*liveRun{}, stopped: map[string]uint64{}, changed: make(chan struct{}),
	}
	f.minions[m.address] = m
	f.mu.Unlock()
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return nil, err
	}
	m.server = &http.Server{Handler: m}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	go m.server.Serve(listener)
	go m.beat(l.firstBeat)
	f.c.record.add("minion %s of kind %s at %s begins", m.id, m.kind, m.address)
	return m, nil
}

// clock returns the minion's steady clock in ms.
func (m *minion) clock() int64 { return 1000 + time.Since(m.born).Milliseconds() }

// crash ends the life at once. Its connections are reset.
func (m *minion) crash(why string) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	for k := range m.running {
		m.noteEnd(k, why)
	}
	m.running = map[taskKey]*liveRun{}
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.f.c.record.add("minion %s at %s ends: %s", m.id, m.address, why)
	m.server.Close()
	m.client.CloseIdleConnections()
}

// noteEnd records the end of a run. It needs m.mu.
func (m *minion) noteEnd(k taskKey, how string) {
	if r := m.running[k]; r != nil && r.timer != nil {
		r.timer.Stop()
	}
	m.f.c.record.add("run ends: %s run %d on %s: %s", k.task, k.run, m.id, how)
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	for i := range m.f.starts {
		if s := &m.f.starts[i]; s.taskKey == k && s.minion == m.id && s.end.IsZero() {
			s.end, s.how = time.Now(), how
		}
	}
}

// end ends a run and lists its end. It needs m.mu.
func (m *minion) end(k taskKey, how string) {
	if m.running[k] == nil {
		return
	}
	m.noteEnd(k, how)
	delete(m.running, k)
	m.stopped[k.task] = max(m.stopped[k.task], k.run)
	m.ends++
	m.finished = append(m.finished, []any{m.ends, k.task, k.run, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
}

// grant lengthens the lease up to a deadline on the minion's clock. It needs m.mu.
func (m *minion) grant(deadline int64) {
	if deadline == 0 {
		return
	}
	m.deadline = max(m.deadline, min(deadline, m.clock()+holdMaxMs))
	if m.leaseTimer != nil {
		m.leaseTimer.Stop()
	}
	m.leaseTimer = time.AfterFunc(time.Duration(m.deadline-m.clock())*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.up || m.clock() < m.deadline {
			return
		}
		for k := range m.running {
			m.end(k, "lapsed")
		}
	})
}

// order is the body of a call to a minion.
type order struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	m.mu.Lock()
	deaf, up := m.deaf, m.up
	m.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if deaf {
		<-r.Context().Done() // nothing arrives
		return
	}
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/run-start" && m.holdsStart(o) {
		<-r.Context().Done() // without an answer
		return
	}
	m.mu.Lock()
	if o.FencingToken < m.token {
		m.mu.Unlock()
		m.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.token = o.FencingToken
	status, out := http.StatusOK, map[string]any{}
	switch r.URL.Path {
	case "/-/run-start":
		status, out = m.runStart(o)
	case "/-/run-stop":
		k := taskKey{o.Task, o.RunID}
		m.f.c.record.add("run-stop: %s run %d on %s", k.task, k.run, m.id)
		m.stopped[o.Task] = max(m.stopped[o.Task], o.RunID)
		m.end(k, "stopped")
	case "/-/hold":
		m.grant(o.DeadlineMs)
		m.finished = withoutAcknowledged(m.finished, o.AckCursor)
		if len(m.finished) == 0 && o.WaitMs > 0 {
			changed := m.changed
			m.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			m.mu.Lock()
			up, dark := m.up, m.dark
			if !up || dark {
				m.mu.Unlock()
				if up {
					<-r.Context().Done()
				}
				panic(http.ErrAbortHandler) // a crashed minion answers nothing
			}
		}
		out["running"], out["finished"] = m.lists()
	case "/-/pace":
	default:
		status = http.StatusNotFound
	}
	m.mu.Unlock()
	m.reply(w, status, out)
}

func (m *minion) reply(w http.ResponseWriter, status int, out map[string]any) {
	out["clockMs"], out["born"] = m.clock(), m.born.UnixMilli()
	b, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

func withoutAcknowledged(finished [][]any, cursor uint64) [][]any {
	for len(finished) > 0 && finished[0][0].(uint64) <= cursor {
		finished = finished[1:]
	}
	return finished
}

// lists returns the runs in progress and the ends. It needs m.mu.
func (m *minion) lists() (running, finished [][]any) {
	running, finished = [][]any{}, m.finished
	for k, r := range m.running {
		percent := 100
		if r.timer != nil {
			percent = int(min(99, 100*time.Since(r.startedAt)/m.f.length(k.task)))
		}
		running = append(running, []any{k.task, k.run, "", percent, r.cpu})
	}
	if finished == nil {
		finished = [][]any{}
	}
	return running, finished
}

// runStart carries out the start of a run. It needs m.mu.
func (m *minion) runStart(o order) (int, map[string]any) {
	k := taskKey{o.Task, o.RunID}
	refuse := func(reason string) (int, map[string]any) {
		m.f.c.record.add("run-start refused: %s run %d on %s: %s", k.task, k.run, m.id, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if o.DeadlineMs != 0 && o.DeadlineMs <= m.clock() {
		return refuse("late")
	}
	m.grant(o.DeadlineMs)
	if m.running[k] != nil {
		return http.StatusOK, map[string]any{}
	}
	if o.RunID <= m.stopped[o.Task] {
		return refuse("old")
	}
	length := m.f.length(o.Task)
	r := &liveRun{startedAt: time.Now(), cpu: 1000}
	m.running[k] = r
	if length > 0 {
		r.timer = time.AfterFunc(length, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.up {
				m.end(k, "done")
			}
		})
	}
	m.f.c.record.add("run starts: %s run %d on %s at %s", k.task, k.run, m.id, m.address)
	m.f.mu.Lock()
	m.f.starts = append(m.f.starts, startEvent{taskKey: k, minion: m.id, kind: m.kind, at: time.Now()})
	m.f.mu.Unlock()
	if m.f.onStart != nil {
		go m.f.onStart(m, k)
	}
	return http.StatusOK, map[string]any{}
}

// status returns the body of a heartbeat. It needs m.mu.
func (m *minion) status() map[string]any {
	m.sequence++
	out := map[string]any{
		"service": m.f.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": m.f.cpu, "memoryRequestMb": minionMemoryMb, "gpu": 0},
		"labels":   []string{m.kind, m.rack}, "clockMs": m.clock(), "sequence": m.sequence, "born": m.born.UnixMilli(), "machine": "m-" + m.address,
	}
	if m.state == "draining" {
		out["drainRemainingMs"] = drainMs
	}
	return out
}

// beat sends heartbeats while the minion is up, the first one after a pause.
func (m *minion) beat(pause time.Duration) {
	time.Sleep(pause)
	for {
		m.mu.Lock()
		up := m.up && !m.dark
		m.mu.Unlock()
		if !up {
			return
		}
		m.heartbeat()
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}

// heartbeat sends one heartbeat, to another daemon if one doesn't answer. It reports whether one was
// acknowledged.
func (m *minion) heartbeat() bool {
	m.mu.Lock()
	state := m.state
	body, _ := json.Marshal(m.status())
	addresses := m.f.c.addresses("control", "control")
	n := len(m.id) + int(m.id[len(m.id)-1])
	if m.control != "" {
		addresses = append([]string{m.control}, addresses...)
		n = 0
	}
	m.mu.Unlock()
	for i := range addresses {
		a := addresses[(n+i)%len(addresses)]
		answer, ok := m.call(a, "/-/minions/"+m.id+"/heartbeat", body)
		m.mu.Lock()
		if ok && !m.deaf {
			var doc struct {
				HeartbeatAddress string `json:"heartbeatAddress"`
			}
			json.Unmarshal(answer, &doc)
			m.control, m.heardAt = a, time.Now()
			if doc.HeartbeatAddress != "" {
				m.control = doc.HeartbeatAddress
			}
			if state == "draining" && m.draining.IsZero() {
				m.draining = time.Now()
				m.f.c.record.add("minion %s: draining is acknowledged by %s", m.id, a)
			}
			m.mu.Unlock()
			return true
		}
		m.control = ""
		up, deaf := m.up, m.deaf
		m.mu.Unlock()
		if !up || deaf {
			return false
		}
	}
	return false
}

// call sends a call to a daemon and waits up to a second for the answer.
func (m *minion) call(address, path string, body []byte) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := m.client.Do(req)
	if err != nil {
		return nil, false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return b, err == nil && res.StatusCode/100 == 2
}

// startsOf returns the starts of the runs of a job.
func (f *fleet) startsOf(job string) []startEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []startEvent
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, job+".") {
			out = append(out, s)
		}
	}
	return out
}

// place returns the number of the place of a minion.
func (f *fleet) place(m *minion) int {
	host, _, _ := net.SplitHostPort(m.address)
	var a, b, c, n int
	fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &n)
	return n - 1
}

// leaveBody returns the body of the leave message. It needs m.mu.
func (m *minion) leaveBody() []byte {
	b, _ := json.Marshal(m.status())
	return b
}
