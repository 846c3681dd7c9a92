package batch

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// taskKey is the position of a queued task in the queue of its team.
type taskKey struct {
	class notch.Class
	band  int
	seq   uint64
}

type taskKeyComparer struct{}

// Compare implements immutable.Comparer.
func (taskKeyComparer) Compare(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.band, b.band), cmp.Compare(a.seq, b.seq))
}

// queuedTask is an element of a queue. It stores the key because the key can't be
// recomputed: the estimated run time may change while the task waits.
type queuedTask struct {
	id  notch.TaskID
	key taskKey
}

// teamQueue holds the queued tasks of one team in one pool and the sum of the team's
// reservations.
type teamQueue struct {
	used  notch.Resources
	byKey *immutable.SortedMap[taskKey, notch.TaskID]
	bySeq *immutable.SortedMap[uint64, queuedTask]
}

func newTeamQueue() teamQueue {
	return teamQueue{
		byKey: immutable.NewSortedMap[taskKey, notch.TaskID](taskKeyComparer{}),
		bySeq: immutable.NewSortedMap[uint64, queuedTask](nil),
	}
}

func (q teamQueue) withTask(key taskKey, id notch.TaskID) teamQueue {
	q.byKey = q.byKey.Set(key, id)
	q.bySeq = q.bySeq.Set(key.seq, queuedTask{id, key})
	return q
}

func (q teamQueue) withoutTask(t notch.Task) teamQueue {
	queued, ok := q.bySeq.Get(t.Seq)
	if !ok {
		return q
	}
	q.byKey = q.byKey.Delete(queued.key)
	q.bySeq = q.bySeq.Delete(t.Seq)
	return q
}

// queueName returns the key of the job's queue in Part.queues.
func queueName(j notch.Job) string { return j.Pool + "/" + j.Team }

func (s *stepper) queueOf(j notch.Job) teamQueue {
	q, ok := s.queues.Get(queueName(j))
	if !ok {
		q = newTeamQueue()
	}
	return q
}

func (s *stepper) enqueue(j notch.Job, t notch.Task) {
	key := taskKey{class: j.Class, band: s.policy.Order.Band(s.expectedRunTime(j)), seq: t.Seq}
	s.queues = s.queues.Set(queueName(j), s.queueOf(j).withTask(key, t.ID))
}

func (s *stepper) dequeue(j notch.Job, t notch.Task) {
	s.queues = s.queues.Set(queueName(j), s.queueOf(j).withoutTask(t))
}

// addToUsed adds delta, which may be negative, to the reservations of the job's team.
func (s *stepper) addToUsed(j notch.Job, delta notch.Resources) {
	q := s.queueOf(j)
	q.used = q.used.Plus(delta)
	s.queues = s.queues.Set(queueName(j), q)
}

// minRunTimeSamples is the number of measured run times from which the mean of a kind
// replaces the run time that the job declares.
const minRunTimeSamples = 3

// expectedRunTime returns the estimated run time of a task of the job; zero if it is
// unknown.
func (s *stepper) expectedRunTime(j notch.Job) time.Duration {
	if rt, ok := s.runTimes.Get(j.Kind); ok && rt.Count >= minRunTimeSamples {
		return time.Duration(rt.Mean * float64(time.Second))
	}
	return j.Expected
}
