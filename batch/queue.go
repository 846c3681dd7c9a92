package batch

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// taskKey orders the queued tasks of a team.
type taskKey struct {
	class notch.Class
	band  int
	seq   uint64
}

type taskKeys struct{}

// Compare implements immutable.Comparer.
func (taskKeys) Compare(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.band, b.band), cmp.Compare(a.seq, b.seq))
}

// queuedTask is a place in a queue. The key is kept because the estimate that it
// rests on may change while the task waits.
type queuedTask struct {
	id  notch.TaskID
	key taskKey
}

// teamQueue is the queued work and the reservations of one team in one pool.
type teamQueue struct {
	used   notch.Resources
	byBand *immutable.SortedMap[taskKey, notch.TaskID]
	bySeq  *immutable.SortedMap[uint64, queuedTask]
}

func newTeamQueue() teamQueue {
	return teamQueue{
		byBand: immutable.NewSortedMap[taskKey, notch.TaskID](taskKeys{}),
		bySeq:  immutable.NewSortedMap[uint64, queuedTask](nil),
	}
}

func (q teamQueue) withTask(key taskKey, id notch.TaskID) teamQueue {
	q.byBand = q.byBand.Set(key, id)
	q.bySeq = q.bySeq.Set(key.seq, queuedTask{id, key})
	return q
}

func (q teamQueue) withoutTask(t notch.Task) teamQueue {
	place, ok := q.bySeq.Get(t.Seq)
	if !ok {
		return q
	}
	q.byBand = q.byBand.Delete(place.key)
	q.bySeq = q.bySeq.Delete(t.Seq)
	return q
}

func queueName(j notch.Job) string { return j.Pool + "/" + j.Team }

func (s *stepper) queueOf(j notch.Job) teamQueue {
	q, ok := s.queues.Get(queueName(j))
	if !ok {
		q = newTeamQueue()
	}
	return q
}

func (s *stepper) enqueue(j notch.Job, t notch.Task) {
	key := taskKey{class: j.Class, band: s.policy.Order.Band(s.expected(j)), seq: t.Seq}
	s.queues = s.queues.Set(queueName(j), s.queueOf(j).withTask(key, t.ID))
}

func (s *stepper) dequeue(j notch.Job, t notch.Task) {
	s.queues = s.queues.Set(queueName(j), s.queueOf(j).withoutTask(t))
}

func (s *stepper) useQuota(j notch.Job, delta notch.Resources) {
	q := s.queueOf(j)
	q.used = q.used.Plus(delta)
	s.queues = s.queues.Set(queueName(j), q)
}

// minTimes is the number of run times from which a kind's history counts more
// than what the job declares.
const minTimes = 3

// expected is the run time to reckon with.
func (s *stepper) expected(j notch.Job) time.Duration {
	if rt, ok := s.times.Get(j.Kind); ok && rt.Count >= minTimes {
		return time.Duration(rt.Mean * float64(time.Second))
	}
	return j.Expected
}
