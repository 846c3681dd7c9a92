package main

import (
	"fmt"
	"strings"
	"time"
)

// tenMinions starts ten minions, of which those from an index on alone have the label b, and each of these alone the label of
// its rack. These are behind proxies.
func (c *cluster) tenMinions(from int) ([]*proxy, error) {
	var proxies []*proxy
	for i := range 10 {
		labels := fmt.Sprintf("a,r%d", i%3+1)
		if i >= from {
			labels = fmt.Sprintf("b,r%d", i)
		}
		h := newHost(i+1, c.zones[i%3], labels)
		if i >= from {
			p, err := newProxy(c, h)
			if err != nil {
				return nil, err
			}
			proxies = append(proxies, p)
		}
		if err := c.startMinion(h); err != nil {
			return nil, err
		}
	}
	return proxies, nil
}

// awaitHeld waits until one of the proxies holds n orders, and returns that proxy.
func awaitHeld(proxies []*proxy, n int) (*proxy, error) {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, p := range proxies {
			if len(p.heldOrders()) >= n {
				return p, nil
			}
		}
	}
	return nil, fmt.Errorf("the orders to leave unanswered weren't sent")
}

func isStart(path string, _ orderBody) bool { return path == "/-/run-start" }

// reborn cuts a minion off, lets it crash behind the cut and start again under its id.
func (c *cluster) reborn(p *proxy) error {
	p.setCut(true)
	c.record.printf("trouble: the minion at %s crashes behind the cut", p.h.address)
	p.h.process.kill()
	time.Sleep(500 * time.Millisecond)
	return c.startMinion(p.h)
}

// overlaps returns two runs of one task that were in progress at the same time, by the order of the lines.
func (c *cluster) overlaps(id string) string {
	running := map[string]string{}
	for _, l := range c.lines(id) {
		switch {
		case l.what == "started" && running[l.task] != "" && running[l.task] != l.minion:
			return fmt.Sprintf("%s runs on %s while run %s starts on %s", l.task, running[l.task], l.run, l.minion)
		case l.what == "started":
			running[l.task] = l.minion
		case strings.HasPrefix(l.what, "ended") && running[l.task] == l.minion:
			delete(running, l.task)
		}
	}
	return ""
}

// lateLasting leaves the start of a task that lasts unanswered (applied_late); the minion is cut off, crashes behind the cut and
// starts again (node_cut), and carries the start out then. It checks that the task doesn't run twice at a time.
func lateLasting(c *cluster, trouble bool) (string, error) {
	proxies, err := c.tenMinions(8)
	if err != nil {
		return "", err
	}
	if err := c.configure(configuration(7, true)); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, p := range proxies {
			p.hold(isStart)
		}
	}
	id, s := newID(), spec{size: size{CPU: 4000, Memory: 8000}}
	if err := c.submit(id, job(s, step(1, s, map[string]any{"longRunning": true, "requirements": "b"}))); err != nil {
		return "", err
	}
	if trouble {
		p, err := awaitHeld(proxies, 1)
		if err != nil {
			return "", err
		}
		for _, p := range proxies {
			p.hold(nil)
		}
		began := time.Now()
		if err := c.reborn(p); err != nil {
			return "", err
		}
		time.Sleep(time.Until(began.Add(7500 * time.Millisecond)))
		p.carryOut(p.heldOrders()[0])
		time.Sleep(time.Until(began.Add(8 * time.Second)))
		p.setCut(false)
	}
	time.Sleep(12 * time.Second)
	if twice := c.overlaps(id); twice != "" {
		return "TWICE: " + twice, nil
	}
	return "", nil
}
