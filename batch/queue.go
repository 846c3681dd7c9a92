package batch

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// taskKey orders the queued tasks of a team.
type taskKey struct {
	band int
	seq  uint64
}

type taskKeys struct{}

// Compare implements immutable.Comparer.
func (taskKeys) Compare(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(a.seq, b.seq))
}

// queuedTask is a place in a queue. The band is kept because the estimate that it
// rests on may change while the task waits.
type queuedTask struct {
	id   notch.TaskID
	band int
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

func (q teamQueue) withTask(band int, t notch.Task) teamQueue {
	q.byBand = q.byBand.Set(taskKey{band, t.Seq}, t.ID)
	q.bySeq = q.bySeq.Set(t.Seq, queuedTask{t.ID, band})
	return q
}

func (q teamQueue) withoutTask(t notch.Task) teamQueue {
	place, ok := q.bySeq.Get(t.Seq)
	if !ok {
		return q
	}
	q.byBand = q.byBand.Delete(taskKey{place.band, t.Seq})
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
	band := s.policy.Order.Band(j.Class, s.expected(j))
	s.queues = s.queues.Set(queueName(j), s.queueOf(j).withTask(band, t))
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
