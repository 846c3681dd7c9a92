package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// size is the capacity of a minion, or what a task requests.
type size struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memoryRequestMb"`
	GPU    int64 `json:"gpu"`
}

// run is a run in progress.
type run struct {
	task   string
	number uint64
	spec   spec
	began  time.Time
}

// spec is what a taskSpec of these cases says. A minion learns the size of a task from it.
type spec struct {
	size
	Ms    int64 `json:"ms"`    // run time; 0: until it is stopped
	Fails bool  `json:"fails"` // every run ends as failed
}

// minion is one life of a stand-in for a minion, as PROTOCOL.md describes it.
type minion struct {
	id, service, address, zone string
	labels                     []string
	capacity                   size
	maxLease                   time.Duration
	cutFile                    string // while this file exists, heartbeats don't arrive
	began                      time.Time

	mu       sync.Mutex
	fence    uint64
	running  map[string]*run
	highest  map[string]uint64 // highest run of a task that was stopped or has ended here
	finished [][]any
	ends     uint64
	deadline time.Time
	changed  chan struct{}
}

type orderBody struct {
	Task       string `json:"task"`
	RunID      uint64 `json:"runId"`
	TaskSpec   string `json:"taskSpec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
}

// clock is the minion's own steady clock in ms.
func (m *minion) clock() int64 { return 1000 + time.Since(m.began).Milliseconds() }

// event prints what happens to a run, for the record of the case.
func (m *minion) event(what, task string, number uint64) {
	fmt.Printf("minion %s at %s: %s %s run %d\n", m.id, m.address, what, task, number)
}

// renew extends the lease of everything that runs here. It never shortens.
func (m *minion) renew(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	left := min(time.Duration(deadlineMs-m.clock())*time.Millisecond, m.maxLease)
	if d := time.Now().Add(left); d.After(m.deadline) {
		m.deadline = d
	}
}

// end ends a run in progress. The caller holds the lock.
func (m *minion) end(r *run, how string) {
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ends++
	m.finished = append(m.finished, []any{m.ends, r.task, r.number, how, ""})
	m.event("ended "+how, r.task, r.number)
	close(m.changed)
	m.changed = make(chan struct{})
}

// work ends the runs that are done, and all of them when the lease ends.
func (m *minion) work() {
	for range time.Tick(10 * time.Millisecond) {
		m.mu.Lock()
		for _, r := range m.running {
			switch {
			case time.Now().After(m.deadline):
				m.end(r, "lapsed")
			case r.spec.Ms > 0 && time.Since(r.began) >= time.Duration(r.spec.Ms)*time.Millisecond:
				how := "done"
				if r.spec.Fails {
					how = "failed"
				}
				m.end(r, how)
			}
		}
		m.mu.Unlock()
	}
}

// start carries out a start and returns the reason of its rejection, or nothing.
func (m *minion) start(o orderBody) string {
	if o.Token < m.fence {
		return "fence"
	}
	m.fence = o.Token
	if o.DeadlineMs != 0 && o.DeadlineMs <= m.clock() {
		return "late"
	}
	m.renew(o.DeadlineMs)
	if o.RunID <= m.highest[o.Task] {
		return "old"
	}
	if r := m.running[o.Task]; r != nil {
		if r.number == o.RunID {
			return ""
		}
		return "old"
	}
	var s spec
	if json.Unmarshal([]byte(o.TaskSpec), &s) != nil {
		return "room"
	}
	free := m.capacity
	for _, r := range m.running {
		free.CPU, free.Memory, free.GPU = free.CPU-r.spec.CPU, free.Memory-r.spec.Memory, free.GPU-r.spec.GPU
	}
	if s.CPU > free.CPU || s.Memory > free.Memory || s.GPU > free.GPU {
		return "room"
	}
	m.running[o.Task] = &run{o.Task, o.RunID, s, time.Now()}
	m.event("started", o.Task, o.RunID)
	return ""
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reason := ""
	lists := false
	switch r.URL.Path {
	case "/-/run-start":
		reason = m.start(o)
	case "/-/run-stop":
		if o.Token < m.fence {
			reason = "fence"
			break
		}
		m.fence = o.Token
		if run := m.running[o.Task]; run != nil && run.number <= o.RunID {
			m.end(run, "stopped")
		}
		m.highest[o.Task] = max(m.highest[o.Task], o.RunID)
	case "/-/pace":
		if o.Token < m.fence {
			reason = "fence"
			break
		}
		m.fence = o.Token
	case "/-/hold":
		if o.Token < m.fence {
			reason = "fence"
			break
		}
		m.fence, lists = o.Token, true
		m.renew(o.DeadlineMs)
		for len(m.finished) > 0 && m.finished[0][0].(uint64) <= o.AckCursor {
			m.finished = m.finished[1:]
		}
		m.await(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	out := map[string]any{"clockMs": m.clock(), "born": m.began.UnixMilli()}
	status := http.StatusOK
	if reason != "" {
		status, out["reason"] = http.StatusConflict, reason
	}
	if lists {
		live := [][]any{}
		for _, r := range m.running {
			percent := 100
			if r.spec.Ms > 0 {
				percent = int(min(99, time.Since(r.began).Milliseconds()*100/r.spec.Ms))
			}
			live = append(live, []any{r.task, r.number, "", percent, r.spec.CPU})
		}
		out["running"], out["finished"] = live, append([][]any{}, m.finished[:min(len(m.finished), 500)]...)
	}
	b, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

// await waits until an end is listed, for d at most. The caller holds the lock, which is given up meanwhile.
func (m *minion) await(d time.Duration) {
	if len(m.finished) > 0 || d <= 0 {
		return
	}
	changed := m.changed
	m.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(d):
	}
	m.mu.Lock()
}

// announce sends the minion's heartbeats.
func (m *minion) announce(control []string, interval time.Duration) {
	client := http.Client{Timeout: time.Second}
	next := ""
	for sequence := 1; ; sequence++ {
		if _, err := os.Stat(m.cutFile); m.cutFile != "" && err == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		b, _ := json.Marshal(map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": m.capacity, "labels": m.labels, "machine": "m-" + m.address, "clockMs": m.clock(), "born": m.began.UnixMilli(), "sequence": sequence,
		})
		acknowledged := false
		for try := 0; try <= len(control) && !acknowledged; try++ {
			to := next
			if to == "" {
				to = control[(sequence+try)%len(control)]
			}
			res, err := client.Post("http://"+to+"/-/minions/"+m.id+"/heartbeat", "application/json", strings.NewReader(string(b)))
			next = ""
			if err != nil {
				continue
			}
			var answer struct {
				HeartbeatAddress string `json:"heartbeatAddress"`
			}
			json.NewDecoder(res.Body).Decode(&answer)
			res.Body.Close()
			acknowledged = res.StatusCode/100 == 2
			if acknowledged {
				next = answer.HeartbeatAddress
			}
		}
		time.Sleep(interval)
	}
}

// runMinion is the command that runs one life of a minion in a process of its own.
func runMinion(args []string) {
	flags := flag.NewFlagSet("minion", flag.ExitOnError)
	m := &minion{running: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{}), began: time.Now()}
	flags.StringVar(&m.id, "id", "", "id")
	flags.StringVar(&m.service, "service", "", "service")
	flags.StringVar(&m.address, "address", "", "address")
	flags.StringVar(&m.zone, "zone", "", "zone")
	labels := flags.String("labels", "", "labels, separated by commas")
	listen := flags.String("listen", "", "address to listen on, if it isn't the minion's address")
	flags.StringVar(&m.cutFile, "cut-file", "", "file that exists while the minion is cut off")
	control := flags.String("control", "", "control addresses, separated by commas")
	maxLease := flags.Int("hold-max-ms", 6000, "longest lease")
	heartbeat := flags.Int("heartbeat-ms", 1500, "time between heartbeats")
	flags.Parse(args)
	m.labels, m.maxLease = strings.Split(*labels, ","), time.Duration(*maxLease)*time.Millisecond
	m.capacity = size{CPU: 64000, Memory: 256000}
	if *listen == "" {
		*listen = m.address
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Println("minion:", err)
		os.Exit(2)
	}
	fmt.Printf("minion %s at %s: ready, born %s\n", m.id, m.address, strconv.FormatInt(m.began.UnixMilli(), 10))
	go m.work()
	go m.announce(strings.Split(*control, ","), time.Duration(*heartbeat)*time.Millisecond)
	fmt.Println(http.Serve(l, m))
	os.Exit(2)
}
