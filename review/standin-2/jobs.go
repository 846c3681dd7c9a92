package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// The routes of the cases.
const (
	clientHost = "nony24.example"
	photos     = "/photos/"
)

// configuration returns a configuration with one service and its routes.
func configuration(version int, guards bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-photos", "host": clientHost, "pathPrefix": photos, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
			"priority": 0, "service": "sale-svc", "maxAttempts": 4, "stretchFactor": 1.5,
		}},
		"services": []any{map[string]any{
			"name": "sale-svc", "healthPath": "/health", "connectionLimit": 64, "protocol": "h1", "tls": false, "enforcesCapacity": guards, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step returns a step of count tasks whose size is that of s.
func step(count int, s spec, more map[string]any) map[string]any {
	out := map[string]any{"count": count, "cpu": s.CPU, "memoryRequestMb": s.Memory, "estimatedMs": max(s.Ms, 100)}
	for key, value := range more {
		out[key] = value
	}
	return out
}

// job returns the body of a job.
func job(s spec, steps ...any) map[string]any {
	text, _ := json.Marshal(s)
	return map[string]any{"taskSpec": string(text), "steps": steps}
}

// submit hands a job in until it is accepted.
func (c *cluster) submit(id string, body any) error {
	if status, _ := c.try(10*time.Second, "POST", clientHost, photos+id, body, 200); status != 200 {
		return fmt.Errorf("job %s wasn't accepted: status %d", id, status)
	}
	return nil
}

// state asks for the state of a job.
func (c *cluster) state(id string) string {
	status, answer := c.try(5*time.Second, "GET", clientHost, photos+id, nil, 200, 410)
	if status == 410 {
		return "410"
	}
	text, _ := answer["state"].(string)
	return text
}

// awaitState asks for the state of a job until it is one of those given, or the time is over.
func (c *cluster) awaitState(id string, d time.Duration, states ...string) string {
	for until := time.Now().Add(d); ; time.Sleep(500 * time.Millisecond) {
		state := c.state(id)
		for _, s := range states {
			if s == state {
				return state
			}
		}
		if time.Now().After(until) {
			return state
		}
	}
}

// minionLine is a line of the record that a minion has printed about a task.
type minionLine struct{ minion, address, what, task, run string }

// lines returns what minions have printed about the tasks of a job.
func (c *cluster) lines(id string) []minionLine {
	all, _ := c.record.since(0)
	var out []minionLine
	for _, line := range all {
		_, text, ok := strings.Cut(line, "  minion ")
		if !ok || !strings.Contains(text, " "+id+".") {
			continue
		}
		who, rest, _ := strings.Cut(text, ": ")
		minion, address, _ := strings.Cut(who, " at ")
		what, rest, _ := strings.Cut(rest, " "+id)
		task, run, _ := strings.Cut(rest, " run ")
		out = append(out, minionLine{minion, address, what, id + task, run})
	}
	return out
}

// count returns how many runs of a job ended so.
func (c *cluster) count(id, what string) int {
	n := 0
	for _, l := range c.lines(id) {
		if l.what == what {
			n++
		}
	}
	return n
}
