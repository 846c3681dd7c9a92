package fake

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// lateOrdersCase is a case of testdata/late-orders.yaml.
type lateOrdersCase struct {
	Name        string
	LateShare   float64              `yaml:"late-share"`   // of the orders, which get no answer and are carried out late
	LateKind    notch.AgentOrderKind `yaml:"late-kind"`    // the only kind of orders that are late; empty: each kind
	LateUntil   time.Duration        `yaml:"late-until"`   // after the end of the load
	LostLeaders []timeRange          `yaml:"lost-leaders"` // the first one after the end of the load, each other after the one before
	LeaderLoss  leaderLoss           `yaml:"leader-loss"`  // empty: they are killed
	Crash       crashMoment          // of some agents; empty: none crash
	OtherIDs    bool                 `yaml:"other-ids"` // under which the crashed agents come back on their hosts
	KnownRed    bool                 `yaml:"known-red"`
	Share       int                  // of the seeds of a test, one in so many is played
}

// timeRange is a range from which a random time is drawn.
type timeRange struct{ From, To time.Duration }

// leaderLoss is how a leader is lost.
type leaderLoss string

const (
	leaderCutOff leaderLoss = "cut-off"
	leaderFrozen leaderLoss = "frozen"
)

// crashMoment is when agents crash.
type crashMoment string

const (
	crashBeforeEnd       crashMoment = "before-end"        // of the load
	crashAfterLastRepeat crashMoment = "after-last-repeat" // of a start that got no answer, before the stop
	crashBeforeCut       crashMoment = "before-cut"        // by which the agent is cut off when it is back
)

// The load and the failures of a lateOrdersTest.
const (
	lateOrdersLoad    = 12 * time.Second
	lateOrdersTime    = 8 * time.Second // at the end of the load, in which orders are late
	lateOrdersCalm    = time.Minute     // after finishTime, in which every workflow ends
	maxSubmitInterval = 1600 * time.Millisecond
	resubmitDelay     = time.Second
	longRunShare      = 0.08
	leaderLossTime    = 4 * time.Second // for which a leader is cut off or frozen
	maxTimeBeforeEnd  = 1500 * time.Millisecond
	startCopies       = 4                       // a start and its repeats, before a crashAfterLastRepeat
	maxTimeToStop     = 1200 * time.Millisecond // after the last one
	crashBeforeCutAt  = lateOrdersLoad - 4*time.Second
	minShortCut       = 3 * time.Second
	maxShortCut       = 5 * time.Second
)

// lateOrdersTest is a randomized test of tasks whose starts get no answer for a while.
type lateOrdersTest struct {
	*rebornTest
	lateOrdersCase
	acceptedAt map[string]time.Duration        // by workflow
	pauses     map[*drive.Node]time.Duration   // of the next step of a daemon that is frozen
	finishedAt map[notch.TaskRef]time.Duration // when the run that counts ended as done
}

func newLateOrdersTest(t *testing.T, seed uint64, c lateOrdersCase) *lateOrdersTest {
	l := &lateOrdersTest{
		rebornTest: newCrashLateTest(t, seed), lateOrdersCase: c,
		acceptedAt: map[string]time.Duration{}, pauses: map[*drive.Node]time.Duration{}, finishedAt: map[notch.TaskRef]time.Duration{},
	}
	if l.OtherIDs {
		l.NameHosts()
	}
	for _, a := range l.agents {
		a.RunTime, a.NewID, a.Dark = l.mostlyShortRunTime, l.OtherIDs, false
	}
	if l.LeaderLoss == leaderFrozen {
		l.StepTime = l.takePause
	}
	return l
}

// mostlyShortRunTime returns the duration of a run: few last beyond their agent's lease, so that most of the room is free.
func (l *lateOrdersTest) mostlyShortRunTime(notch.TaskRef) time.Duration {
	if l.Rand.Float64() < longRunShare {
		return l.between(minLongRunTime, maxLongRunTime)
	}
	return time.Duration(l.Rand.ExpFloat64() * float64(meanShortRunTime))
}

// takePause is the StepTime of daemons that take no time for a step unless they are frozen.
func (l *lateOrdersTest) takePause(n *drive.Node, _ notch.Body, _ []notch.Effect) time.Duration {
	d := l.pauses[n]
	delete(l.pauses, n)
	return d
}

// run plays the load and the failures, and checks that no task waits once finishTime has passed since its end.
func (l *lateOrdersTest) run(t *testing.T) {
	end := l.Now() + lateOrdersLoad
	l.scheduleLateOrders(end)
	l.scheduleLostLeaders(end)
	l.scheduleCrashes(end)
	l.submitStages(end)
	l.Run(end + finishTime - l.Now())
	l.checkRoom(t)
	l.Run(lateOrdersCalm)
	l.checkAcknowledged()
	errs := append(l.checkResults(), l.waits(end)...)
	if len(errs) > 0 {
		t.Fatalf("%s\nend of the load: %v\n%s", strings.Join(errs[:min(len(errs), 12)], "\n"), end, l.describe(errs))
	}
}

// scheduleLateOrders makes orders late for a while.
func (l *lateOrdersTest) scheduleLateOrders(end time.Duration) {
	l.After(end-lateOrdersTime-l.Now(), func() {
		for _, a := range l.agents {
			a.LateShare, a.LateKind = l.LateShare, l.LateKind
		}
	})
	l.After(end+l.LateUntil-l.Now(), func() {
		for _, a := range l.agents {
			a.LateShare = 0
		}
	})
}

// scheduleLostLeaders lets leaders be lost, one after the other.
func (l *lateOrdersTest) scheduleLostLeaders(end time.Duration) {
	at := end
	for _, r := range l.LostLeaders {
		at += l.between(r.From, r.To)
		l.After(at-l.Now(), l.loseLeader)
	}
}

// loseLeader lets the leader be lost for seconds, if there is one.
func (l *lateOrdersTest) loseLeader() {
	i := slices.IndexFunc(l.replicas, l.IsLeader)
	if i < 0 {
		return
	}
	n := l.replicas[i]
	switch l.LeaderLoss {
	case leaderFrozen:
		l.pauses[n] = leaderLossTime
	case leaderCutOff:
		l.cutOff(n)
		l.After(leaderLossTime, l.Heal)
	default:
		l.killLeader()
		return
	}
	l.LogMessages = append(l.LogMessages, fmt.Sprintf("%v %s: %s, it leads", l.Now(), n.Self.Name, l.LeaderLoss))
}

// cutOff cuts a daemon off from all others.
func (l *lateOrdersTest) cutOff(n *drive.Node) {
	for _, other := range l.Nodes() {
		if other != n {
			l.Cut(n.Self.Name, other.Self.Name)
			l.Cut(other.Self.Name, n.Self.Name)
		}
	}
}

// scheduleCrashes lets some agents crash and come back.
func (l *lateOrdersTest) scheduleCrashes(end time.Duration) {
	toCrash := l.agents[:lostAgents]
	switch l.Crash {
	case crashBeforeEnd:
		for _, a := range toCrash {
			l.After(lateOrdersLoad-l.between(0, maxTimeBeforeEnd), func() { l.crashLogged(a) })
		}
	case crashBeforeCut:
		for _, a := range toCrash {
			l.After(crashBeforeCutAt, func() {
				restart := l.restartSoon(a)
				l.cutLater(a, restart+l.between(minTimeToCut, time.Second), l.between(0, maxOneWayCut), l.between(minShortCut, maxShortCut), false)
			})
		}
	case crashAfterLastRepeat:
		l.crashAfterLastRepeats(end + l.LateUntil)
	}
}

// crashAfterLastRepeats lets the agents of some starts crash whose repeats got no answer either, until the given time.
func (l *lateOrdersTest) crashAfterLastRepeats(until time.Duration) {
	handle := l.OnEffect
	copies, crashed := map[notch.RunRef]int{}, map[string]bool{} // by address
	l.OnEffect = func(n *drive.Node, f notch.Effect) {
		handle(n, f)
		call, ok := f.(notch.CallAgent)
		if !ok || call.Order.Kind != notch.AgentStart || l.Now() > until {
			return
		}
		copies[call.Order.Run]++
		a := l.Agents[call.Agent.ID]
		if copies[call.Order.Run] == startCopies && len(crashed) < lostAgents && a != nil && !crashed[a.Address] {
			crashed[a.Address] = true
			l.After(l.between(0, maxTimeToStop), func() { l.crashLogged(a) })
		}
	}
}

// crashLogged crashes an agent, which comes back.
func (l *lateOrdersTest) crashLogged(a *Agent) {
	l.logEvent(a, "crashes")
	l.crashAgent(a)
}

// submitStages submits workflows of one or more stages until the given time.
func (l *lateOrdersTest) submitStages(end time.Duration) {
	for l.Now() < end {
		w := notch.Workflow{ID: fmt.Sprintf("f%d", len(l.ids)), Route: "sort", Pool: "sorters", Spec: fmt.Sprint(len(l.ids))}
		for i := range 1 + l.Rand.IntN(3) {
			st := notch.Stage{Count: 1 + l.Rand.IntN(3), Estimate: time.Second, Size: notch.Resources{MilliCPU: int64(300 + l.Rand.IntN(700)), MemoryMB: 500}}
			if i > 0 {
				st.After = []int{i - 1}
			}
			w.Stages = append(w.Stages, st)
		}
		l.ids = append(l.ids, w.ID)
		l.submitUntilAccepted(w)
		l.Run(min(l.between(0, maxSubmitInterval), end-l.Now()))
	}
}

// submitUntilAccepted submits a workflow, and again until it is accepted.
func (l *lateOrdersTest) submitUntilAccepted(w notch.Workflow) {
	n := l.entries[l.Rand.IntN(len(l.entries))]
	l.SubmitWorkflow(n, w, maxTaskFailures, submitTimeout, func(a notch.Answer) {
		r, ok := a.Result.(notch.WorkflowResult)
		if !ok || r.Outcome != notch.WorkflowAccepted {
			l.After(resubmitDelay, func() { l.submitUntilAccepted(w) })
			return
		}
		l.accepted[w.ID], l.acceptedAt[w.ID] = true, l.Now()
	})
}

// testLateOrders plays the cases of testdata/late-orders.yaml that are known to fail, or the others.
func testLateOrders(t *testing.T, knownRed bool) {
	var cases []lateOrdersCase
	readYAML(t, "testdata/late-orders.yaml", &cases)
	for _, c := range cases {
		if c.KnownRed != knownRed {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			playSeeds(t, *seeds/c.Share, func(t *testing.T, seed uint64) { newLateOrdersTest(t, seed, c).run(t) })
		})
	}
}

// TestTasksOfLateOrdersRunAgainSoon guards against jobs that have nothing running long after the end of the load (LOST), as the
// starts of their runs got no answer and the runs were stopped, and each leader waits anew for late copies of them.
func TestTasksOfLateOrdersRunAgainSoon(t *testing.T) { testLateOrders(t, false) }

// TestTasksOfLateOrdersToRestartedAgentsRunAgainSoon is TestTasksOfLateOrdersRunAgainSoon with agents that crash
// meanwhile and come back under their ids.
func TestTasksOfLateOrdersToRestartedAgentsRunAgainSoon(t *testing.T) { testLateOrders(t, true) }
