package main

import (
	"fmt"
	"time"
)

// crashedHost lets one minion of ten crash four times (srv_crash) while a job runs on it that requires its label, and checks
// that the job isn't shown as failed, as none of its runs ends as failed.
func crashedHost(c *cluster, trouble bool) (string, error) {
	var hosts []*host
	for i := range 10 {
		labels := fmt.Sprintf("a,r%d", i%3+1)
		if i == 9 {
			labels = "b,r1"
		}
		h := newHost(i+1, c.zones[i%3], labels)
		hosts = append(hosts, h)
		if err := c.startMinion(h); err != nil {
			return "", err
		}
	}
	crashing := hosts[9]
	if err := c.configure(configuration(7, true)); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	id, s := newID(), spec{size: size{CPU: 4000, Memory: 8000}, Ms: 4000}
	if err := c.submit(id, job(s, step(1, s, map[string]any{"requirements": "b"}))); err != nil {
		return "", err
	}
	began := time.Now()
	for _, at := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 17 * time.Second} {
		time.Sleep(time.Until(began.Add(at)))
		if !trouble {
			continue
		}
		c.record.printf("trouble: the minion at %s crashes, and starts again after 0.7 s", crashing.address)
		crashing.process.kill()
		time.Sleep(700 * time.Millisecond)
		if err := c.startMinion(crashing); err != nil {
			return "", err
		}
	}
	state := c.awaitState(id, 60*time.Second, "completed", "failed", "cancelled")
	if failed := c.count(id, "ended failed"); state == "failed" && failed == 0 {
		return fmt.Sprintf("LOST: job %s is shown as failed, %d of its runs ended as failed", id, failed), nil
	}
	c.record.printf("job %s is %s", id, state)
	return "", nil
}
