// Package drive runs reducers in virtual time: a queue of timed events around
// notch.Step, with links that delay, lose and cut, and disks that forget what
// wasn't synced. It serves scripts, randomized tests and experiments. The same
// seed gives the same run.
package drive

import (
	"container/heap"
	"math/rand/v2"
	"time"

	notch "tamaracknotch"
)

// tickEvery is the period of ticks, as in the engine.
const tickEvery = 50 * time.Millisecond

// Network holds the properties of links.
type Network struct {
	Delay     func(from, to *Node) time.Duration // one way
	Jitter    float64                            // relative, on top of Delay
	Loss      float64                            // share of messages lost
	Duplicate float64                            // share of messages that arrive twice
	Sync      time.Duration                      // of a disk
}

// Build returns the states of a daemon that starts, for the identity of its
// data folder; storage is zero without one.
type Build func(self notch.Daemon, storage uint64) (control notch.State, lanes []notch.State)

// Node is one daemon.
type Node struct {
	Self    notch.Daemon
	Control notch.State
	Lanes   []notch.State
	Up      bool
	Drift   float64 // of its clock: 0.01 runs 1% fast
	Disk    *Disk   // nil without a data folder
	Hello   notch.Hello

	build  Build
	starts int            // events meant for an earlier start are dropped
	linked map[string]int // start of each daemon that the link stands to
}

// World is a set of daemons in virtual time.
type World struct {
	Rand *rand.Rand
	Net  Network
	// OnEffect sees every effect that the world itself doesn't carry out.
	OnEffect func(n *Node, f notch.Effect)
	// Sent counts messages.
	Sent int
	// Steps counts reductions.
	Steps int

	now   time.Duration
	queue events
	seq   int
	nodes map[string]*Node
	names []string
	cut   map[[2]string]bool
}

// epoch is the instant at which virtual time begins.
const epoch = notch.Time(1_000_000_000_000)

// New returns an empty world.
func New(seed uint64) *World {
	return &World{
		Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), nodes: map[string]*Node{}, cut: map[[2]string]bool{},
		OnEffect: func(*Node, notch.Effect) {},
		Net: Network{
			Delay: func(*Node, *Node) time.Duration { return 5 * time.Millisecond }, Jitter: 0.2, Sync: 2 * time.Millisecond,
		},
	}
}

// Now returns the virtual time since the beginning.
func (w *World) Now() time.Duration { return w.now }

// Time returns the time of a node's clock.
func (n *Node) time(now time.Duration) notch.Time {
	return epoch.Add(time.Duration(float64(now) * (1 + n.Drift)))
}

// Time returns the present time of a node's clock.
func (w *World) Time(n *Node) notch.Time { return n.time(w.now) }

// wall returns the virtual time as Unix time in ms.
func (w *World) wall() int64 { return epoch.Add(w.now).Std().UnixMilli() }

// Node returns the named node, or nil.
func (w *World) Node(name string) *Node { return w.nodes[name] }

// Nodes returns all nodes in the order of their addition.
func (w *World) Nodes() []*Node {
	var out []*Node
	for _, name := range w.names {
		out = append(out, w.nodes[name])
	}
	return out
}

// Add adds a daemon that isn't started yet.
func (w *World) Add(name, domain string, replica bool, build Build) *Node {
	n := &Node{Self: notch.Daemon{Name: name, Address: name, Domain: domain, Replica: replica}, build: build}
	if replica {
		n.Disk = NewDisk(w.Rand.Uint64() | 1)
	}
	w.nodes[name] = n
	w.names = append(w.names, name)
	return n
}

// Start starts a daemon from its disk.
func (w *World) Start(n *Node) {
	n.Up = true
	n.starts++
	n.linked = map[string]int{}
	n.Self.Incarnation++
	storage := uint64(0)
	if n.Disk != nil {
		storage = n.Disk.Storage
		n.Disk.Failing = false
	}
	n.Hello = notch.Hello{Daemon: n.Self, Storage: storage}
	n.Control, n.Lanes = n.build(n.Self, storage)
	if n.Disk != nil {
		w.Post(n, n.Disk.Recover())
	}
	w.ticking(n, n.starts)
	w.linking(n, n.starts)
}

// Kill ends a daemon without a word. What its disk hadn't synced is lost.
func (w *World) Kill(n *Node) {
	n.Up = false
	n.starts++
	if n.Disk != nil {
		n.Disk.Forget()
	}
}

// Wipe replaces the disk of a daemon that is down by an empty one.
func (w *World) Wipe(n *Node) { n.Disk = NewDisk(w.Rand.Uint64() | 1) }

// Cut drops what a sends to b from now on.
func (w *World) Cut(a, b string) { w.cut[[2]string{a, b}] = true }

// Heal ends every cut.
func (w *World) Heal() { clear(w.cut) }

// Connected reports whether messages from a reach b.
func (w *World) Connected(a, b string) bool { return !w.cut[[2]string{a, b}] && w.nodes[b].Up }

func (w *World) ticking(n *Node, start int) {
	w.After(tickEvery, func() {
		if n.starts != start {
			return
		}
		w.Post(n, notch.Tick{})
		for i := range n.Lanes {
			w.PostLane(n, i, notch.Tick{})
		}
		w.ticking(n, start)
	})
}

// relinkEvery is how soon a link that can stand does, and one that can't is
// noticed.
const relinkEvery = 500 * time.Millisecond

func (w *World) linking(n *Node, start int) {
	if n.starts != start {
		return
	}
	for _, name := range w.names {
		other := w.nodes[name]
		if other == n {
			continue
		}
		stands := w.Connected(n.Self.Name, name) && w.Connected(name, n.Self.Name)
		before := n.linked[name]
		if before != 0 && (!stands || before != other.starts) {
			w.Post(n, notch.PeerDown{Name: name})
			n.linked[name] = 0
		}
		if stands && before != other.starts {
			w.Post(n, notch.PeerUp{Hello: other.Hello})
			n.linked[name] = other.starts
		}
	}
	w.After(relinkEvery, func() { w.linking(n, start) })
}

// Post gives a daemon's control state an event now.
func (w *World) Post(n *Node, b notch.Body) {
	if !n.Up {
		return
	}
	for _, body := range []notch.Body{b, notch.Flush{}} {
		var effects []notch.Effect
		w.Steps++
		n.Control, effects = notch.Step(n.Control, notch.Event{At: w.Time(n), Wall: w.wall(), Seed: w.Rand.Uint64(), Body: body})
		for _, f := range effects {
			w.run(n, f)
		}
	}
}

// PostLane gives a lane an event now.
func (w *World) PostLane(n *Node, lane int, b notch.Body) {
	if !n.Up {
		return
	}
	var effects []notch.Effect
	w.Steps++
	n.Lanes[lane], effects = notch.Step(n.Lanes[lane], notch.Event{At: w.Time(n), Wall: w.wall(), Seed: w.Rand.Uint64(), Body: b})
	for _, f := range effects {
		if wake, ok := f.(notch.Wake); ok {
			w.sameStart(n, wake.After, func() { w.PostLane(n, lane, wake.Body) })
			continue
		}
		w.run(n, f)
	}
}

func (w *World) run(n *Node, f notch.Effect) {
	switch f := f.(type) {
	case notch.Send:
		w.send(n, f)
	case notch.ToControl:
		w.sameStart(n, 0, func() { w.Post(n, f.Body) })
	case notch.ToLanes:
		for i := range n.Lanes {
			w.sameStart(n, 0, func() { w.PostLane(n, i, f.Body) })
		}
	case notch.SetHello:
		n.Hello = f.Hello
	case notch.Persist, notch.SaveSnapshot:
		w.sync(n, f)
	default:
		w.OnEffect(n, f)
	}
}

// sameStart calls f after d, unless n was killed meanwhile.
func (w *World) sameStart(n *Node, d time.Duration, f func()) {
	start := n.starts
	w.After(d, func() {
		if n.starts == start {
			f()
		}
	})
}

func (w *World) send(n *Node, f notch.Send) {
	to := w.nodes[f.To]
	if to == nil {
		return
	}
	if to == n {
		w.sameStart(n, 0, func() { w.Post(n, notch.MessageReceived{From: n.Self.Name, Message: f.Message}) })
		return
	}
	w.Sent++
	copies := 1
	if w.Rand.Float64() < w.Net.Duplicate {
		copies = 2
	}
	for range copies {
		if w.Rand.Float64() < w.Net.Loss {
			continue
		}
		delay := w.Net.Delay(n, to)
		delay += time.Duration(w.Net.Jitter * w.Rand.Float64() * float64(delay))
		w.After(delay, func() {
			if !w.cut[[2]string{n.Self.Name, f.To}] {
				w.Post(to, notch.MessageReceived{From: n.Self.Name, Message: f.Message})
			}
		})
	}
}

// After calls f at d from now.
func (w *World) After(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, f: f})
}

// Run lets d pass.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = end
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

// events is a heap by time, then by the order of insertion.
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
