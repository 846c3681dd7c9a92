package main

import (
	"fmt"
	"time"
)

// lateCopy leaves the start of a task unanswered (applied_late). The system sends it again, and the task is done. Then the minion
// is cut off, crashes behind the cut and starts again (node_cut), and carries the first copy out. It checks that no run starts
// after the end was taken note of.
func lateCopy(c *cluster, trouble bool) (string, error) {
	proxies, err := c.tenMinions(9)
	if err != nil {
		return "", err
	}
	if err := c.configure(configuration(7, true)); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	p := proxies[len(proxies)-1]
	if trouble {
		p.hold(isStart)
	}
	id, s := newID(), spec{size: size{CPU: 4000, Memory: 8000}, Ms: 300}
	if err := c.submit(id, job(s, step(1, s, map[string]any{"requirements": soleRack}))); err != nil {
		return "", err
	}
	began := time.Now()
	if trouble {
		if _, err := awaitHeld(proxies, 1); err != nil {
			return "", err
		}
		p.hold(nil)
	}
	if state := c.awaitState(id, 8*time.Second, "completed"); state != "completed" {
		return "", fmt.Errorf("the job is %q", state)
	}
	time.Sleep(time.Second) // until the end is acknowledged
	if trouble {
		if err := c.reborn(p); err != nil {
			return "", err
		}
		time.Sleep(max(time.Second, time.Until(began.Add(5*time.Second))))
		p.carryOut(p.heldOrders()[0])
		time.Sleep(time.Second)
		p.setCut(false)
	}
	time.Sleep(4 * time.Second)
	done := false
	for _, l := range c.lines(id) {
		if l.what == "started" && done {
			return fmt.Sprintf("TWICE: run %s of %s starts after a run of it has ended as done", l.run, l.task), nil
		}
		done = done || l.what == "ended done"
	}
	return "", nil
}
