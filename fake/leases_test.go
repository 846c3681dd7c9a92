package fake

import (
	"fmt"
	"os"
	"regexp"
	"testing"
	"time"

	notch "tamaracknotch"
)

// replicaOutage is a loss of all replicas, without the election after it.
const replicaOutage = 3500 * time.Millisecond

// TestRunsOutlastLossOfReplicas guards against leases that end while all replicas are lost for a few seconds: every task in
// the pool is started again then, the long-running ones first, and for seconds nothing else is (SHORT).
func TestRunsOutlastLossOfReplicas(t *testing.T) {
	for _, agents := range []int{600, 1800} { // of many, each is asked less often
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			t.Parallel()
			testLossOfReplicas(t, agents)
		})
	}
}

func testLossOfReplicas(t *testing.T, agents int) {
	load := readAgentLoad(t, "testdata/agent-starts-day.yaml")
	load.Cores, load.Length, load.Lease, load.Agents.Count = 0.45, 8*time.Second, shippedAgentLease(t), agents
	for i := range load.Routes {
		load.Routes[i].RunTime = time.Minute
	}
	l := newLoadTest(t, load, *firstSeed)
	l.start()
	l.runFor(3 * time.Second)
	for _, n := range l.replicas {
		l.Kill(n)
		l.After(replicaOutage, func() { l.Start(n) })
	}
	l.runFor(load.Length)
	if got := l.Counters["runs-"+string(notch.RunLeaseExpired)]; got != 0 {
		t.Errorf("got %d runs whose lease expired, want none", got)
	}
}

// shippedAgentLease returns the agents' lease in the deploy file.
func shippedAgentLease(t testing.TB) time.Duration {
	data, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`NOTCH_AGENT_LEASE = "(.*)"`).FindSubmatch(data)
	if match == nil {
		t.Fatal("the deploy file has no NOTCH_AGENT_LEASE")
	}
	d, err := time.ParseDuration(string(match[1]))
	if err != nil {
		t.Fatal(err)
	}
	return d
}
