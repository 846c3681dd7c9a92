package main

import (
	"fmt"
	"sync"
	"time"
)

// minionCount is the number of minions. Three of them are an eighth, less than the share of 0.14 that
// the site names for minions that crash at once.
const minionCount = 24

// crashAfter is how long after the start of the watched task its minion crashes.
const crashAfter = time.Second

// crasher crashes the minion of a task some time after each of its first starts.
type crasher struct {
	p       *play
	job     string
	replace bool // another life begins at the address at once
	most    int  // number of crashes

	mu        sync.Mutex
	crashes   int
	crashedAt time.Time // the latest
}

func (c *crasher) onStart(m *minion, k taskKey) {
	if !c.p.trouble || k.task != c.job+".0.0.0" {
		return
	}
	c.mu.Lock()
	if c.crashes >= c.most {
		c.mu.Unlock()
		return
	}
	c.crashes++
	c.mu.Unlock()
	time.Sleep(crashAfter)
	m.crash("crash")
	c.mu.Lock()
	c.crashedAt = time.Now()
	c.mu.Unlock()
	if c.replace {
		time.Sleep(500 * time.Millisecond)
		c.p.fleet.newLife(c.p.fleet.place(m), life{})
	}
}

func (c *crasher) count() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes, c.crashedAt
}

const jobID = "5c0e7a21d94b36f8"

// playGivenUp crashes three minions, one after the other, each a second after it has started the only
// task of a job. No run of the task ends failed. LOST: the job is shown as failed without cause.
func playGivenUp(p *play) (string, error) {
	c := &crasher{p: p, job: jobID, replace: true, most: 3}
	if err := p.begin(minionCount, 4, func(string) time.Duration { return 6 * time.Second }, c.onStart); err != nil {
		return "", err
	}
	if !p.caller.submit(jobID, `{"taskSpec":"sort","steps":[{"count":1,"cpu":4600,"memoryRequestMb":9200,"estimatedMs":6000}]}`, 10*time.Second) {
		return "", fmt.Errorf("the job wasn't accepted")
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		switch state, _ := p.caller.state(jobID); state {
		case "completed":
			return "", nil
		case "failed":
			return fmt.Sprintf("the job is shown as failed; its task had %d runs, of which none ended failed", len(p.fleet.startsOf(jobID))), nil
		}
	}
	return "", fmt.Errorf("the job didn't end")
}

// playHeldBack loses three minions for good, one after the other, each a second after it has started
// the only task of a job that lasts. LOST: from 6 s after its last run, with the 3 s and the 4 s before
// them calm, the task doesn't run although there is room for it.
func playHeldBack(p *play) (string, error) {
	c := &crasher{p: p, job: jobID, most: 3}
	if err := p.begin(minionCount, 4, func(string) time.Duration { return 0 }, c.onStart); err != nil {
		return "", err
	}
	body := `{"taskSpec":"watch","steps":[{"count":1,"cpu":13000,"memoryRequestMb":26000,"estimatedMs":1000,"longRunning":true,"image":"w","targetMs":125}]}`
	if !p.caller.submit(jobID, body, 10*time.Second) {
		return "", fmt.Errorf("the job wasn't accepted")
	}
	if !p.trouble {
		time.Sleep(15 * time.Second)
		if starts := p.fleet.startsOf(jobID); len(starts) != 1 || !starts[0].end.IsZero() {
			return "", fmt.Errorf("the task has %d runs, want 1 in progress", len(starts))
		}
		return "", nil
	}
	// Calm begins contactMs after the crash. So the first span of 4 s and 3 s of calm ends this long after it.
	const bound = contactMs*time.Millisecond + 7*time.Second
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		crashes, at := c.count()
		starts := p.fleet.startsOf(jobID)
		switch {
		case len(starts) > 3:
			idle := starts[3].at.Sub(at)
			p.record.add("the task starts again %v after the last crash", idle)
			if idle > bound {
				return fmt.Sprintf("the task that lasts had no run for %v after the last crash, want at most %v, with %d of %d minions empty", idle.Round(time.Millisecond), bound, minionCount-3, minionCount), nil
			}
			return "", nil
		case crashes == 3 && !at.IsZero() && time.Since(at) > 30*time.Second && len(starts) == 3:
			return "the task that lasts had no run for 30 s after the last crash", nil
		}
	}
	return "", fmt.Errorf("the task had only %d starts", len(p.fleet.startsOf(jobID)))
}

// playLeaving empties a minion while a task runs there that can't be moved. When it says that it
// leaves, nothing that is sent to it arrives any more, so it ends some seconds later, as the pages say.
// TWICE: two runs of the task at the same time, on minions that are up.
func playLeaving(p *play) (string, error) {
	started := make(chan *minion, 1)
	onStart := func(m *minion, k taskKey) {
		select {
		case started <- m:
		default:
		}
	}
	if err := p.begin(minionCount, 4, func(string) time.Duration { return 20 * time.Second }, onStart); err != nil {
		return "", err
	}
	if !p.caller.submit(jobID, `{"taskSpec":"sort","steps":[{"count":1,"cpu":4600,"memoryRequestMb":9200,"estimatedMs":20000}]}`, 10*time.Second) {
		return "", fmt.Errorf("the job wasn't accepted")
	}
	var m *minion
	select {
	case m = <-started:
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("the task didn't start")
	}
	time.Sleep(2 * time.Second)
	if err := m.leave(p.trouble); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	starts := p.fleet.startsOf(jobID)
	for i, a := range starts {
		for _, b := range starts[i+1:] {
			if end := a.end; a.taskKey.task == b.taskKey.task && (end.IsZero() || end.After(b.at)) {
				return fmt.Sprintf("run %d of %s began on %s %v before run %d ended (%s) on %s", b.run, b.task, b.minion, end.Sub(b.at).Round(time.Millisecond), a.run, a.how, a.minion), nil
			}
		}
	}
	if len(starts) < 2 {
		return "", fmt.Errorf("the task wasn't started again")
	}
	return "", nil
}

// leave empties a minion and ends it. If it is cut off, what is sent to it doesn't arrive from shortly
// before its leave message on.
func (m *minion) leave(cutOff bool) error {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.f.c.record.add("minion %s drains", m.id)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		m.mu.Lock()
		acknowledged := !m.draining.IsZero()
		m.mu.Unlock()
		if acknowledged {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("draining wasn't acknowledged")
		}
	}
	time.Sleep(drainMs*time.Millisecond + time.Second) // it serves on for drainMs and a little longer
	// The leave message needs a connection that is open already, as no answer arrives that could open
	// another one. So the cut begins after a heartbeat, and the message is sent before the next one.
	for !m.heardWithin(100 * time.Millisecond) {
		time.Sleep(20 * time.Millisecond)
	}
	if cutOff {
		m.mu.Lock()
		m.deaf = true
		m.mu.Unlock()
		m.f.c.record.add("what is sent to minion %s doesn't arrive any more", m.id)
	}
	time.Sleep(500 * time.Millisecond)
	m.mu.Lock()
	body, address := m.leaveBody(), m.control
	m.mu.Unlock()
	_, ok := m.call(address, "/-/minions/"+m.id+"/deregister", body)
	m.f.c.record.add("minion %s sends its leave message to %s; the answer arrives: %v", m.id, address, ok && !cutOff)
	if cutOff {
		time.Sleep(4 * time.Second) // without an acknowledgement it ends some seconds later
	}
	m.crash("it has left")
	return nil
}

// heardWithin reports whether a heartbeat was acknowledged within a time.
func (m *minion) heardWithin(d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.heardAt) < d
}

// playOtherKind crashes the only minion of the kind that a task requires. It starts again under its id,
// as one of another kind, and sends its first heartbeat within the usual interval. ROUTE: a start on a
// minion without the label in requirements.
func playOtherKind(p *play) (string, error) {
	started := make(chan *minion, 1)
	onStart := func(m *minion, k taskKey) {
		select {
		case started <- m:
		default:
		}
	}
	if err := p.begin(minionCount, 4, func(string) time.Duration { return 6 * time.Second }, onStart); err != nil {
		return "", err
	}
	if _, err := p.fleet.newLife(minionCount, life{kind: "g"}); err != nil {
		return "", err
	}
	time.Sleep(contactMs * time.Millisecond)
	body := `{"taskSpec":"sort","steps":[{"count":1,"cpu":4600,"memoryRequestMb":9200,"estimatedMs":6000,"requirements":"g"}]}`
	if !p.caller.submit(jobID, body, 10*time.Second) {
		return "", fmt.Errorf("the job wasn't accepted")
	}
	var m *minion
	select {
	case m = <-started:
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("the task didn't start")
	}
	if p.trouble {
		time.Sleep(2 * time.Second)
		m.crash("crash")
		time.Sleep(300 * time.Millisecond)
		if _, err := p.fleet.newLife(minionCount, life{id: m.id, kind: "a", firstBeat: heartbeatMs * time.Millisecond}); err != nil {
			return "", err
		}
		time.Sleep(8 * time.Second)
		if _, err := p.fleet.newLife(minionCount+1, life{kind: "g"}); err != nil { // where the task may run
			return "", err
		}
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, s := range p.fleet.startsOf(jobID) {
			if s.kind != "g" {
				return fmt.Sprintf("run %d of %s, which requires the label g, began on %s, whose labels are of kind %s", s.run, s.task, s.minion, s.kind), nil
			}
		}
		if state, _ := p.caller.state(jobID); state == "completed" {
			return "", nil
		}
	}
	return "", fmt.Errorf("the job didn't end")
}
