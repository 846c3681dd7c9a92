package main

import (
	"fmt"
	"strings"
	"time"
)

// thirdLife leaves the start of a task unanswered (applied_late). The minion crashes and is back under its id (srv_crash), so that
// the system starts the task elsewhere. Then the minion is cut off, crashes behind the cut and starts again (node_cut), and carries
// the start out. It checks that the task doesn't run twice at a time.
func thirdLife(c *cluster, trouble bool) (string, error) {
	proxies, err := c.tenMinions(0)
	if err != nil {
		return "", err
	}
	if err := c.configure(configuration(7, true)); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	for range 3 { // until the second run isn't on the same machine
		id, s := newID(), spec{size: size{CPU: 4000, Memory: 8000}, Ms: 15_000}
		if trouble {
			for _, p := range proxies {
				p.hold(func(path string, o orderBody) bool {
					return path == "/-/run-start" && strings.HasPrefix(o.Task, id) && o.RunID == 1
				})
			}
		}
		if err := c.submit(id, job(s, step(1, s, nil))); err != nil {
			return "", err
		}
		if !trouble {
			if state := c.awaitState(id, 25*time.Second, "completed"); state != "completed" {
				return "", fmt.Errorf("the job is %q", state)
			}
			return c.twice(id)
		}
		p, err := awaitHeld(proxies, 1)
		if err != nil {
			return "", err
		}
		began := time.Now()
		c.record.printf("trouble: the minion at %s crashes, and starts again after 0.3 s", p.h.address)
		p.h.process.kill()
		time.Sleep(300 * time.Millisecond)
		if err := c.startMinion(p.h); err != nil {
			return "", err
		}
		time.Sleep(time.Until(began.Add(3 * time.Second)))
		second := c.lines(id)
		if len(second) == 0 || second[0].address == p.h.address {
			c.record.printf("run 2 isn't on another minion, so the case is played again")
			for _, o := range p.takeHeld() {
				p.carryOut(o)
			}
			continue
		}
		if err := c.reborn(p); err != nil {
			return "", err
		}
		time.Sleep(time.Until(began.Add(6 * time.Second)))
		p.carryOut(p.heldOrders()[0])
		time.Sleep(time.Second)
		p.setCut(false)
		time.Sleep(3 * time.Second)
		return c.twice(id)
	}
	return "", fmt.Errorf("run 2 was three times on the minion of run 1")
}

// twice returns the rule TWICE with two runs of a task that were in progress at the same time, or nothing.
func (c *cluster) twice(id string) (string, error) {
	if twice := c.overlaps(id); twice != "" {
		return "TWICE: " + twice, nil
	}
	return "", nil
}
