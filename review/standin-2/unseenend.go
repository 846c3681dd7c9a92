package main

import (
	"fmt"
	"strings"
	"time"
)

// soleRack is the label of the rack that only the last minion is in.
const soleRack = "r9"

// unseenEnd leaves an acknowledgement of ends and the start after it unanswered (applied_late); the minion is cut off, crashes
// behind the cut and starts again (node_cut), and carries both out then. The run of that start ends as failed. It checks that
// the job isn't shown as completed, as no run of its only task has ended as done.
func unseenEnd(c *cluster, trouble bool) (string, error) {
	proxies, err := c.tenMinions(9)
	if err != nil {
		return "", err
	}
	if err := c.configure(configuration(7, true)); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	p := proxies[len(proxies)-1]
	first, second := newID(), newID()
	if trouble {
		p.hold(func(path string, o orderBody) bool {
			return path == "/-/hold" && o.AckCursor > 0 || path == "/-/run-start" && strings.HasPrefix(o.Task, second)
		})
	}
	s := spec{size: size{CPU: 4000, Memory: 8000}, Ms: 300}
	requires := map[string]any{"requirements": soleRack}
	if err := c.submit(first, job(s, step(1, s, requires))); err != nil {
		return "", err
	}
	if trouble {
		if _, err := awaitHeld(proxies, 1); err != nil { // the acknowledgement of that job's end
			return "", err
		}
	} else if state := c.awaitState(first, 10*time.Second, "completed"); state != "completed" {
		return "", fmt.Errorf("the first job is %s", state)
	}
	s.Fails = true
	if err := c.submit(second, job(s, step(1, s, requires))); err != nil {
		return "", err
	}
	if trouble {
		if _, err := awaitHeld(proxies, 2); err != nil { // the start of the second job's task
			return "", err
		}
		p.hold(nil)
		began := time.Now()
		if err := c.reborn(p); err != nil {
			return "", err
		}
		held := p.heldOrders()
		time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
		p.carryOut(held[1])
		time.Sleep(time.Until(began.Add(3500 * time.Millisecond)))
		p.carryOut(held[0])
		time.Sleep(time.Until(began.Add(4 * time.Second)))
		p.setCut(false)
	}
	state := c.awaitState(second, 40*time.Second, "completed", "failed", "cancelled")
	c.record.printf("job %s is %s; its runs: %d ended done, %d ended failed", second, state, c.count(second, "ended done"), c.count(second, "ended failed"))
	if state == "completed" && c.count(second, "ended done") == 0 {
		return fmt.Sprintf("MIXED: job %s is shown as completed, and no run of its only task has ended as done", second), nil
	}
	if state != "failed" {
		return "", fmt.Errorf("the second job is %q, which says nothing", state)
	}
	return "", nil
}
