package inventory_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gopkg.in/yaml.v3"

	notch "tamaracknotch"
	"tamaracknotch/inventory"
)

// listsCase is a case of testdata/lists.yaml.
type listsCase struct {
	Name  string
	Calls []struct {
		At, Took time.Duration
		Hosts    string
		Failure  string
	}
	Host       string
	Heard, Now time.Duration
	Gone       bool
}

// TestLists guards against a host that counts as gone although lists don't prove it, so that its tasks run twice, and
// against one that is gone and whose tasks wait (LOST).
func TestLists(t *testing.T) {
	b, err := os.ReadFile("testdata/lists.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []listsCase
	if err := yaml.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var l inventory.Lists
			for _, call := range c.Calls {
				asked := notch.Time(call.At)
				l = l.WithCall(asked).WithOutcome(notch.HostsListed{
					AskedAt: asked, ReceivedAt: asked.Add(call.Took), Hosts: strings.Fields(call.Hosts), Failure: call.Failure,
				}, func(inventory.Lists) bool { return false })
			}
			if got := l.Lacks(c.Host, notch.Time(c.Heard), notch.Time(c.Now)); got != c.Gone {
				t.Errorf("%q is gone: got %v, want %v", c.Host, got, c.Gone)
			}
		})
	}
}

// TestDue guards against calls that are more than the inventory takes, and against one whose outcome is lost and that keeps
// others from being made.
func TestDue(t *testing.T) {
	now := notch.Time(time.Hour)
	at := func(d time.Duration) notch.Time { return now.Add(d) }
	failed := notch.HostsListed{AskedAt: now, ReceivedAt: now, Failure: "too many calls"}
	none := func(inventory.Lists) bool { return true }
	var fresh inventory.Lists
	failing := fresh
	for range 20 {
		failing = failing.WithCall(now).WithOutcome(failed, none)
	}
	var hosts []string
	for i := range 2000 {
		hosts = append(hosts, strconv.Itoa(i))
	}
	long := fresh.WithCall(now).WithOutcome(notch.HostsListed{AskedAt: now, ReceivedAt: now, Hosts: hosts}, none)
	for _, c := range []struct {
		name   string
		lists  inventory.Lists
		after  time.Duration
		urgent bool
		want   bool
	}{
		{"the first call", fresh, 0, false, true},
		{"an urgent one, soon", failing, 900 * time.Millisecond, true, false},
		{"an urgent one", failing, time.Second, true, true},
		{"another one, after many failures", failing, 20 * time.Second, false, false},
		{"another one, long after many failures", failing, 32 * time.Second, false, true},
		{"for a new host, after many failures", failing.WithNewHost(), time.Second, false, true},
		{"an urgent one, soon after a long list", long, 3900 * time.Millisecond, true, false},
		{"an urgent one, after a long list", long, 4 * time.Second, true, true},
		{"while a call is under way", fresh.WithCall(now), 3 * time.Second, true, false},
		{"when the outcome of a call is lost", fresh.WithCall(now), 4 * time.Second, true, true},
	} {
		if got := c.lists.Due(at(c.after), c.urgent); got != c.want {
			t.Errorf("%s is due: got %v, want %v", c.name, got, c.want)
		}
	}
}
