package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// The names of a case's queue.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	serviceName = "huvo11a"
)

// configuration returns the document of the operator. It has one queue and some idle routes.
func configuration(version, maxAttempts int) string {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
			"priority": 0, "service": serviceName, "maxAttempts": maxAttempts, "stretchFactor": 1.5,
		}
	}
	routes := []map[string]any{route("r-3hwrr6x", routePrefix)}
	for i := range 20 {
		routes = append(routes, route(fmt.Sprintf("idle-%d", i), fmt.Sprintf("/idle%d/", i)))
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "connectionLimit": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return string(b)
}

// caller sends the calls of clients and of the operator.
type caller struct {
	c *cluster
	n int
}

// call sends one call to an address and returns the status, 0 if none came, and the body.
func (k *caller) call(method, address, path, body string) (int, []byte) {
	const deadline = 3000 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}

// next returns the next address of a role.
func (k *caller) next(role, use string) string {
	k.n++
	a := k.c.addresses(role, use)
	return a[k.n%len(a)]
}

// configure sends a configuration until it is acknowledged.
func (k *caller) configure(document string, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		status, _ := k.call(http.MethodPost, k.next("control", "control"), "/-/configuration/replace", document)
		if status == http.StatusOK {
			k.c.record.add("the configuration is acknowledged")
			return true
		}
	}
	return false
}

// submit sends a job until it is accepted. After 503 and 429 it waits before it asks again.
func (k *caller) submit(id, body string, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		a := k.next("entry", "frontend")
		status, answer := k.call(http.MethodPost, a, routePrefix+id, body)
		k.c.record.add("POST job %s to %s: %d %s", id, a, status, answer)
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// state returns the state of a job, or an empty string if no daemon tells it. Gone reports an answer 410.
func (k *caller) state(id string) (state string, gone bool) {
	a := k.next("entry", "frontend")
	status, answer := k.call(http.MethodGet, a, routePrefix+id, "")
	var doc struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &doc) == nil {
		state = doc.State
	}
	k.c.record.add("GET job %s from %s: %d %s", id, a, status, answer)
	return state, status == http.StatusGone
}
