package engine

import (
	"errors"
	"sync"
	"testing"
	"time"

	notch "tamaracknotch"
)

// hookClock is a clock that calls hook before its first reading.
type hookClock struct {
	once sync.Once
	hook func()
}

func (c *hookClock) Now() notch.Time {
	c.once.Do(c.hook)
	return notch.Time(time.Hour)
}

func (c *hookClock) UnixMilli() int64 { return 0 }

// Guards against an answer by the old tables under the lease of a grant that arrives,
// with later tables, while the request is handled.
func TestLeasedTablesDuringGrant(t *testing.T) {
	clock := &hookClock{}
	e := &Engine{cfg: Config{Clock: clock}}
	e.tables.Store(&notch.Tables{Revision: 1})
	clock.hook = func() {
		e.postToLanes(notch.TablesInForce{Tables: notch.Tables{Revision: 2}})
		e.postToLanes(notch.LeaseExtended{Until: notch.Time(2 * time.Hour)})
	}
	tables, err := e.LeasedTables()
	if got, want := tables.Revision, uint64(2); err != nil || got != want {
		t.Errorf("got revision %d (error %v), want %d", got, err, want)
	}
}

// Guards against an entry that answers callers by tables of any age while it holds no lease.
func TestLeasedTablesWithoutLease(t *testing.T) {
	clock := &hookClock{hook: func() {}}
	e := &Engine{cfg: Config{Clock: clock}}
	e.tables.Store(&notch.Tables{Revision: 1})
	if _, got := e.LeasedTables(); !errors.Is(got, notch.ErrNoLease) {
		t.Errorf("got error %v, want %v", got, notch.ErrNoLease)
	}
}
