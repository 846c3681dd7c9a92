package fake

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
)

// rebornTest is a randomized test of agents that restart under their ids, with starts under way to
// them, and are cut off soon after.
type rebornTest struct {
	*workflowTest
	rebornCase
}

// rebornCase describes what delays the orders to the agents of a rebornTest.
type rebornCase struct {
	Name       string               // in testdata/reborn.yaml
	MaxRestart time.Duration        `yaml:"max-restart"` // from a crash to the next incarnation
	LateShare  float64              `yaml:"late-share"`  // of the orders that are carried out late
	LateKind   notch.AgentOrderKind `yaml:"late-kind"`   // the only kind of orders that are late; empty: each kind
	TwoKills   bool                 `yaml:"two-kills"`   // two leaders are killed after each crash
	Seeds      []uint64             // on which a rule was broken
	Share      int                  // of the seeds of a test, one in so many is played
}

const (
	rebornAgents       = 12
	rebornDisruptions  = 3
	maxDisruptedAgents = 5                       // so that most of the pool stays
	maxFirstReport     = 1200 * time.Millisecond // from the start of an agent to its first announcement
	minTimeToCut       = 100 * time.Millisecond  // from the restart of an agent to the cut
	maxTimeToCut       = 2 * time.Second
	maxOneWayCut       = 300 * time.Millisecond // for which orders still arrive while no answer does
	minCutTime         = 6 * time.Second
	maxCutTime         = 12 * time.Second
	maxClockLead       = 20 * time.Second // of the next incarnation's clock
	maxTimeToKill      = 14 * time.Second // from the crash of the agents to that of the leader
	minTimeToNextKill  = 5 * time.Second  // from that one to the kill of the next leader
	maxTimeToNextKill  = 9 * time.Second
	minLongRunTime     = 10 * time.Second // beyond a lease
	maxLongRunTime     = 25 * time.Second
	meanShortRunTime   = 1500 * time.Millisecond
	rebornCalm         = 90 * time.Second // at the end, in which every workflow ends
)

func newRebornTest(t *testing.T, seed uint64, c rebornCase) *rebornTest {
	r := &rebornTest{newWorkflowTest(t, seed), c}
	for len(r.agents) < rebornAgents {
		r.agents = append(r.agents, r.addAgent(len(r.agents)))
	}
	for _, a := range r.agents {
		a.RunTime = r.runTime
		a.Fails = func(ref notch.RunRef) bool { return ref.Task.Index%4 == 3 && r.Rand.IntN(2) == 0 }
		a.LateShare, a.LateKind = c.LateShare, c.LateKind
	}
	return r
}

// runTime returns the duration of a run: some last beyond their agent's lease.
func (r *rebornTest) runTime(notch.TaskRef) time.Duration {
	if r.Rand.IntN(3) == 0 {
		return r.between(minLongRunTime, maxLongRunTime)
	}
	return time.Duration(r.Rand.ExpFloat64() * float64(meanShortRunTime))
}

// between returns a random duration.
func (r *rebornTest) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Rand.Int64N(int64(high-low)))
}

// submitSome submits workflows for a while.
func (r *rebornTest) submitSome(d time.Duration) {
	for end := r.Now() + d; r.Now() < end; r.Run(time.Duration(r.Rand.IntN(800)) * time.Millisecond) {
		st := notch.Stage{Count: 1 + r.Rand.IntN(5), Estimate: time.Second, Size: notch.Resources{MilliCPU: int64(300 + r.Rand.IntN(700)), MemoryMB: 500}}
		id := fmt.Sprintf("f%d", len(r.ids))
		r.ids = append(r.ids, id)
		r.submit(r.entries[r.Rand.IntN(len(r.entries))], notch.Workflow{ID: id, Route: "sort", Pool: "sorters", Spec: id, Stages: []notch.Stage{st}})
	}
}

// disrupt restarts some agents and cuts them off, and kills the leader meanwhile once in two times, or two
// leaders. It returns how long this takes at most.
func (r *rebornTest) disrupt() time.Duration {
	r.Rand.Shuffle(len(r.agents), func(i, j int) { r.agents[i], r.agents[j] = r.agents[j], r.agents[i] })
	toCut, cut := r.between(minTimeToCut, maxTimeToCut), r.between(minCutTime, maxCutTime)
	for _, a := range r.agents[:2+r.Rand.IntN(maxDisruptedAgents-1)] {
		r.restartAndCut(a, toCut, cut)
	}
	switch {
	case r.TwoKills:
		r.After(r.between(0, maxTimeToKill), func() {
			r.killLeader()
			r.After(r.between(minTimeToNextKill, maxTimeToNextKill), r.killLeader)
		})
	case r.Rand.IntN(2) == 0:
		r.After(r.between(0, maxTimeToKill), r.killLeader)
	}
	return r.MaxRestart + toCut + maxOneWayCut + cut
}

// restartAndCut crashes an agent, which comes back soon, and cuts it off for a while. Then it runs on. Once in three times,
// its runs fail meanwhile.
func (r *rebornTest) restartAndCut(a *Agent, toCut, cut time.Duration) {
	restart := r.restartSoon(a)
	oneWay, fails := r.between(0, maxOneWayCut), r.Rand.IntN(3) == 0
	r.cutLater(a, restart+toCut, oneWay, cut, fails)
}

// restartSoon crashes an agent, which comes back soon. It returns how long that takes.
func (r *rebornTest) restartSoon(a *Agent) time.Duration {
	a.Dark = r.Rand.IntN(2) == 0
	a.ClockStart = r.nextClock(a)
	a.FirstReport = r.between(0, maxFirstReport)
	r.logEvent(a, "crashes, dark=%v", a.Dark)
	r.KillAgent(a)
	restart := r.between(0, r.MaxRestart)
	r.After(restart, func() {
		if a.NewID {
			r.renameAgent(a)
		}
		r.StartAgent(a)
		r.logEvent(a, "starts with clock %v, announces itself %v later", a.ClockStart, a.FirstReport)
	})
	return restart
}

// cutLater cuts an agent off for a while. Its answers are lost first, oneWay before its orders are.
func (r *rebornTest) cutLater(a *Agent, after, oneWay, cut time.Duration, fails bool) {
	r.After(after, func() {
		a.AnswersLost = true
		r.logEvent(a, "answers are lost")
	})
	r.After(after+oneWay, func() {
		a.CutOff, a.Broken = true, fails
		r.logEvent(a, "is cut off, runs fail=%v", fails)
	})
	r.After(after+oneWay+cut, func() {
		a.CutOff, a.AnswersLost, a.Broken = false, false, false
		r.logEvent(a, "is connected again")
	})
}

// logEvent adds what happens to an agent to the log messages.
func (r *rebornTest) logEvent(a *Agent, format string, args ...any) {
	r.LogMessages = append(r.LogMessages, fmt.Sprintf("%v agent=%s (incarnation %d): %s", r.Now(), a.ID, a.Born, fmt.Sprintf(format, args...)))
}

// nextClock returns what the clock of an agent's next incarnation reads first: less than that of the present one,
// or more.
func (r *rebornTest) nextClock(a *Agent) time.Duration {
	now := time.Duration(r.agentClock(a)) * time.Millisecond
	switch r.Rand.IntN(3) {
	case 0:
		return 0
	case 1:
		return r.between(0, now+1)
	}
	return now + r.between(0, maxClockLead)
}

// killLeader kills the leader, if there is one, which comes back seconds later.
func (r *rebornTest) killLeader() {
	for _, n := range r.Up() {
		if r.IsLeader(n) {
			r.LogMessages = append(r.LogMessages, fmt.Sprintf("%v %s: killed, it leads", r.Now(), n.Self.Name))
			r.Kill(n)
			r.After(r.between(time.Second, 3*time.Second), func() { r.Start(n) })
			return
		}
	}
}

// run plays the disruptions, and checks the end of the workflows.
func (r *rebornTest) run(t *testing.T) {
	r.submitSome(6 * time.Second)
	for range rebornDisruptions {
		r.submitSome(r.disrupt() + r.between(0, 5*time.Second))
	}
	r.end(t)
}

// end lets all workflows end, and checks that they have, and that their ends are acknowledged.
func (r *rebornTest) end(t *testing.T) {
	for _, a := range r.agents {
		a.LateShare = 0
	}
	r.Run(rebornCalm)
	r.checkAcknowledged()
	for _, e := range r.workflowChecker.earlyStarts {
		t.Log("start before an acknowledgement:", e)
	}
	if errs := r.checkResults(); len(errs) > 0 {
		t.Fatalf("%s\n%s", strings.Join(errs[:min(len(errs), 12)], "\n"), r.describe(errs))
	}
}

// checkAcknowledged checks that no end waits for its acknowledgement.
func (r *rebornTest) checkAcknowledged() {
	for _, a := range r.agents {
		if len(a.ends) > 0 {
			r.reportViolation("acks: %d ends on %s aren't acknowledged", len(a.ends), a.ID)
		}
	}
}

// describe returns the runs of the tasks that errors name, and the log messages about them and their agents.
func (r *rebornTest) describe(errs []string) string {
	var out strings.Builder
	for t := range r.workflowChecker.history {
		if !strings.Contains(strings.Join(errs, " ")+" ", t.String()+" ") {
			continue
		}
		fmt.Fprintf(&out, "%v:\n%s", t, r.workflowChecker.history.describe(t))
		for _, m := range r.LogMessages {
			if r.concerns(m, t) {
				fmt.Fprintln(&out, "  ", m)
			}
		}
	}
	return out.String()
}

// concerns reports whether a log message is about a task, about the leader, or about an agent in general that ran
// the task.
func (r *rebornTest) concerns(message string, t notch.TaskRef) bool {
	if strings.Contains(message, "task="+t.String()+" ") || strings.Contains(message, ": leads") || strings.Contains(message, ": killed") {
		return true
	}
	if strings.Contains(message, "task=") {
		return false
	}
	for _, run := range r.workflowChecker.history[t] {
		if strings.Contains(message+" ", "agent="+run.agent.Agent+" ") {
			return true
		}
	}
	return false
}

// readRebornCase returns a case of testdata/reborn.yaml.
func readRebornCase(t *testing.T, name string) rebornCase {
	var cases []rebornCase
	readYAML(t, "testdata/reborn.yaml", &cases)
	i := slices.IndexFunc(cases, func(c rebornCase) bool { return c.Name == name })
	if i < 0 {
		t.Fatalf("testdata/reborn.yaml has no case %q", name)
	}
	return cases[i]
}

// testReborn plays a case with a number of seeds, and with those on which a rule was broken.
func testReborn(t *testing.T, name string) {
	c := readRebornCase(t, name)
	play := func(t *testing.T, seed uint64) { newRebornTest(t, seed, c).run(t) }
	playSeeds(t, *seeds/c.Share, play)
	for _, seed := range c.Seeds {
		t.Run(fmt.Sprint("broken before ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// TestRandomWorkflowsReborn guards against tasks that run twice or too often after agents came back under their
// old ids and were cut off (docs/incidents/reborn-agents.md).
func TestRandomWorkflowsReborn(t *testing.T) { testReborn(t, "soon") }

// TestRandomWorkflowsRebornLate is TestRandomWorkflowsReborn with orders that agents carry out late.
func TestRandomWorkflowsRebornLate(t *testing.T) { testReborn(t, "late") }

// TestRandomWorkflowsRebornDark guards against tasks that run twice because a start waits at a silent host for
// longer than the leader waits for its answer, and the next incarnation of the agent carries it out.
func TestRandomWorkflowsRebornDark(t *testing.T) { testReborn(t, "dark") }

// TestRandomWorkflowsRebornLateRenewals guards against tasks that run twice because a renewal that is late grants a
// lease to the next incarnation of an agent, or forgets ends of it that nobody has read.
func TestRandomWorkflowsRebornLateRenewals(t *testing.T) { testReborn(t, "late-renewals") }

// TestRandomWorkflowsRebornLateStarts guards against tasks that run again because a start that is late is carried
// out by the next incarnation of an agent, after a repeated one was.
func TestRandomWorkflowsRebornLateStarts(t *testing.T) { testReborn(t, "late-starts") }

// TestRandomWorkflowsRebornLateStops guards against tasks that run twice because a stop that is late was taken for
// one of the next incarnation of an agent.
func TestRandomWorkflowsRebornLateStops(t *testing.T) { testReborn(t, "late-stops") }

// TestRandomWorkflowsRebornTwoKills guards against tasks that run twice because the next leaders don't know which starts and
// stops former ones sent, and a late one is carried out by the next incarnation of an agent.
func TestRandomWorkflowsRebornTwoKills(t *testing.T) { testReborn(t, "two-kills") }
