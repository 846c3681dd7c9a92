// Package drive runs the reducers of many daemons in virtual time, as a
// discrete-event simulation around notch.Step. It simulates links that delay, lose
// or block messages, and disks that lose unsynced writes. Scripted tests, randomized
// tests and experiments use it. The same seed gives the same run.
package drive

import (
	"container/heap"
	"math/rand/v2"
	"time"

	notch "tamaracknotch"
)

// tickPeriod is the interval between ticks, the same as in the engine.
const tickPeriod = 50 * time.Millisecond

// Network holds the properties of the links and the disks.
type Network struct {
	Delay      func(from, to *Node) time.Duration // one-way delay
	Jitter     float64                            // greatest random delay that is added, as a fraction of Delay
	Loss       float64                            // fraction of messages that are lost
	Duplicates float64                            // fraction of messages that are sent twice
	SyncTime   time.Duration                      // duration of a sync
	Size       func(notch.Message) int            // encoded size in bytes; needed if a node has a bandwidth
}

// BuildFunc returns the initial states of a daemon. Storage is the identity of its
// data folder; zero if it has none.
type BuildFunc func(self notch.Daemon, storage uint64) (control notch.State, lanes []notch.State)

// Node is one simulated daemon.
type Node struct {
	Self    notch.Daemon
	Control notch.State
	Lanes   []notch.State
	Up      bool
	Drift   float64 // relative error of its clock: with 0.01 it runs 1% fast
	Disk    *Disk   // nil if the daemon has no data folder
	Hello   notch.Hello
	// Bandwidth of the node's own link for messages to it, in bytes a second; 0: unlimited.
	// Messages wait for those sent to the node before them, whoever sent them.
	Bandwidth int

	linkFreeAt        time.Duration // when the messages sent to the node have passed its link
	build             BuildFunc
	generation        int            // grows at every start and kill; the ticks and timers of an earlier one are dropped
	linkedGenerations map[string]int // by peer: its generation when the link was established; 0: no link
	mailbox           mailbox
}

// Simulator runs a set of daemons in virtual time.
type Simulator struct {
	Rand *rand.Rand
	Net  Network
	// OnEffect is called for every effect that the simulator doesn't carry out itself.
	OnEffect func(n *Node, f notch.Effect)
	// StepTime returns how long the control loop of a daemon takes to reduce an event. Events
	// that arrive in that time wait. If it is nil, steps take no time.
	StepTime StepTimeFunc
	// MessagesSent counts the messages between daemons, including lost ones.
	MessagesSent int
	// Steps counts the calls of notch.Step.
	Steps int

	now      time.Duration
	queue    events
	seq      int
	nodes    map[string]*Node
	names    []string
	cutLinks map[[2]string]bool
}

// startTime is the reading of every clock when virtual time is zero.
const startTime = notch.Time(1_000_000_000_000)

// New returns a simulator without daemons.
func New(seed uint64) *Simulator {
	return &Simulator{
		Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), nodes: map[string]*Node{}, cutLinks: map[[2]string]bool{},
		OnEffect: func(*Node, notch.Effect) {},
		Net: Network{
			Delay: func(*Node, *Node) time.Duration { return 5 * time.Millisecond }, Jitter: 0.2, SyncTime: 2 * time.Millisecond,
		},
	}
}

// Now returns the virtual time since the start of the simulation.
func (sim *Simulator) Now() time.Duration { return sim.now }

// clockTime returns the reading of the node's clock at a virtual time.
func (n *Node) clockTime(now time.Duration) notch.Time {
	return startTime.Add(time.Duration(float64(now) * (1 + n.Drift)))
}

// Time returns the current reading of a node's clock.
func (sim *Simulator) Time(n *Node) notch.Time { return n.clockTime(sim.now) }

// unixMilli returns the current virtual time as Unix time in ms.
func (sim *Simulator) unixMilli() int64 { return startTime.Add(sim.now).Std().UnixMilli() }

// Node returns the named node, or nil.
func (sim *Simulator) Node(name string) *Node { return sim.nodes[name] }

// Nodes returns all nodes in the order in which they were added.
func (sim *Simulator) Nodes() []*Node {
	var out []*Node
	for _, name := range sim.names {
		out = append(out, sim.nodes[name])
	}
	return out
}

// Add adds a daemon without starting it.
func (sim *Simulator) Add(name, domain string, replica bool, build BuildFunc) *Node {
	n := &Node{Self: notch.Daemon{Name: name, Address: name, Domain: domain, Replica: replica}, build: build}
	if replica {
		n.Disk = NewDisk(sim.Rand.Uint64() | 1)
	}
	sim.nodes[name] = n
	sim.names = append(sim.names, name)
	return n
}

// Start starts a new incarnation of a daemon with the content of its disk.
func (sim *Simulator) Start(n *Node) {
	n.Up = true
	n.generation++
	n.mailbox, n.linkFreeAt = mailbox{}, 0
	n.linkedGenerations = map[string]int{}
	n.Self.Incarnation++
	storage := uint64(0)
	if n.Disk != nil {
		storage = n.Disk.Storage
		n.Disk.Failing = false
	}
	n.Hello = notch.Hello{Daemon: n.Self, Storage: storage}
	n.Control, n.Lanes = n.build(n.Self, storage)
	if n.Disk != nil {
		sim.Post(n, n.Disk.Recover())
	}
	sim.scheduleTicks(n, n.generation)
	sim.updateLinks(n, n.generation)
}

// Kill crashes a daemon: it sends no more messages and loses its unsynced writes.
func (sim *Simulator) Kill(n *Node) {
	n.Up = false
	n.generation++
	if n.Disk != nil {
		n.Disk.DropPending()
	}
}

// Wipe replaces the disk of a stopped daemon by an empty one.
func (sim *Simulator) Wipe(n *Node) { n.Disk = NewDisk(sim.Rand.Uint64() | 1) }

// Cut blocks messages from a to b, including those in flight, until Heal.
func (sim *Simulator) Cut(a, b string) { sim.cutLinks[[2]string{a, b}] = true }

// Heal unblocks all links.
func (sim *Simulator) Heal() { clear(sim.cutLinks) }

// Connected reports whether messages from a can reach b.
func (sim *Simulator) Connected(a, b string) bool {
	return !sim.cutLinks[[2]string{a, b}] && sim.nodes[b].Up
}

// scheduleTicks posts a tick to all states of a daemon in every period, until the
// daemon is killed.
func (sim *Simulator) scheduleTicks(n *Node, generation int) {
	sim.After(tickPeriod, func() {
		if n.generation != generation {
			return
		}
		sim.Post(n, notch.Tick{})
		for i := range n.Lanes {
			sim.PostLane(n, i, notch.Tick{})
		}
		sim.scheduleTicks(n, generation)
	})
}

// linkCheckPeriod is the interval in which a daemon notices lost links and
// establishes possible ones.
const linkCheckPeriod = 500 * time.Millisecond

// updateLinks compares the links of a daemon with those that are possible now, and
// posts PeerDown and PeerUp for the differences. It repeats until the daemon is
// killed. A peer that was killed and started again gets a new link.
func (sim *Simulator) updateLinks(n *Node, generation int) {
	if n.generation != generation {
		return
	}
	for _, name := range sim.names {
		other := sim.nodes[name]
		if other == n {
			continue
		}
		possible := sim.Connected(n.Self.Name, name) && sim.Connected(name, n.Self.Name)
		before := n.linkedGenerations[name]
		if before != 0 && (!possible || before != other.generation) {
			sim.Post(n, notch.PeerDown{Name: name})
			n.linkedGenerations[name] = 0
		}
		if possible && before != other.generation {
			sim.Post(n, notch.PeerUp{Hello: other.Hello})
			n.linkedGenerations[name] = other.generation
		}
	}
	sim.After(linkCheckPeriod, func() { sim.updateLinks(n, generation) })
}

// Post delivers an event and a flush to a daemon's control state, now or when its control
// loop has reduced the events before it. It does nothing if the daemon is down.
func (sim *Simulator) Post(n *Node, b notch.Body) {
	if !n.Up {
		return
	}
	if sim.StepTime != nil {
		n.mailbox.put(b)
		if !n.mailbox.busy {
			sim.reduceNext(n)
		}
		return
	}
	for _, body := range []notch.Body{b, notch.Flush{}} {
		for _, f := range sim.step(n, body) {
			sim.runEffect(n, f)
		}
	}
}

// step reduces an event of a daemon's control state and returns the effects.
func (sim *Simulator) step(n *Node, b notch.Body) (effects []notch.Effect) {
	sim.Steps++
	n.Control, effects = notch.Step(n.Control, notch.Event{At: sim.Time(n), UnixMilli: sim.unixMilli(), Seed: sim.Rand.Uint64(), Body: b})
	return effects
}

// PostLane delivers an event to a lane of a daemon now. It does nothing if the
// daemon is down.
func (sim *Simulator) PostLane(n *Node, lane int, b notch.Body) {
	if !n.Up {
		return
	}
	var effects []notch.Effect
	sim.Steps++
	n.Lanes[lane], effects = notch.Step(n.Lanes[lane], notch.Event{At: sim.Time(n), UnixMilli: sim.unixMilli(), Seed: sim.Rand.Uint64(), Body: b})
	for _, f := range effects {
		if wake, ok := f.(notch.Wake); ok {
			sim.afterUnlessKilled(n, wake.After, func() { sim.PostLane(n, lane, wake.Body) })
			continue
		}
		sim.runEffect(n, f)
	}
}

// runEffect carries out an effect of a daemon or passes it to OnEffect.
func (sim *Simulator) runEffect(n *Node, f notch.Effect) {
	switch f := f.(type) {
	case notch.Send:
		sim.send(n, f)
	case notch.ToControl:
		sim.afterUnlessKilled(n, 0, func() { sim.Post(n, f.Body) })
	case notch.ToLanes:
		for i := range n.Lanes {
			sim.afterUnlessKilled(n, 0, func() { sim.PostLane(n, i, f.Body) })
		}
	case notch.SetHello:
		n.Hello = f.Hello
	case notch.Persist, notch.SaveSnapshot:
		sim.startSync(n, f)
	default:
		sim.OnEffect(n, f)
	}
}

// afterUnlessKilled calls f after d unless n is killed before.
func (sim *Simulator) afterUnlessKilled(n *Node, d time.Duration, f func()) {
	generation := n.generation
	sim.After(d, func() {
		if n.generation == generation {
			f()
		}
	})
}

// send delivers a message, with the delay, loss and duplication of the network.
// Messages of a daemon to itself arrive at once and are never lost.
func (sim *Simulator) send(n *Node, f notch.Send) {
	to := sim.nodes[f.To]
	if to == nil {
		return
	}
	if to == n {
		sim.afterUnlessKilled(n, 0, func() { sim.Post(n, notch.MessageReceived{From: n.Self.Name, Message: f.Message}) })
		return
	}
	sim.MessagesSent++
	copies := 1
	if sim.Rand.Float64() < sim.Net.Duplicates {
		copies = 2
	}
	for range copies {
		if sim.Rand.Float64() < sim.Net.Loss {
			continue
		}
		delay := sim.Net.Delay(n, to)
		delay += time.Duration(sim.Net.Jitter * sim.Rand.Float64() * float64(delay))
		if to.Bandwidth > 0 {
			delay = sim.passLink(to, delay, sim.Net.Size(f.Message))
		}
		sim.After(delay, func() {
			if !sim.cutLinks[[2]string{n.Self.Name, f.To}] {
				sim.Post(to, notch.MessageReceived{From: n.Self.Name, Message: f.Message})
			}
		})
	}
}

// passLink returns the delay of a message, with the time that it waits for a node's own link
// and passes it.
func (sim *Simulator) passLink(to *Node, delay time.Duration, size int) time.Duration {
	start := max(sim.now+delay, to.linkFreeAt)
	to.linkFreeAt = start + time.Duration(size)*time.Second/time.Duration(to.Bandwidth)
	return to.linkFreeAt - sim.now
}

// After calls f when d of virtual time has passed.
func (sim *Simulator) After(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + d, seq: sim.seq, f: f})
}

// Run lets d of virtual time pass and handles the events that are due in it.
func (sim *Simulator) Run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.f()
	}
	sim.now = end
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

// events is a heap ordered by due time. Events due at the same time keep the order
// of insertion.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
