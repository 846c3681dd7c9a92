package engine

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
)

// planKind is the kind of an event of which the time went into a plan.
const planKind = "plan"

// maxListedKinds limits the kinds that a log message lists.
const maxListedKinds = 6

// kindStats holds the number of events of one kind and the time spent on them.
type kindStats struct {
	name                      string // in kebab case
	eventsMetric, spentMetric string
	events                    int64         // since the last report
	spent                     time.Duration // since the last report
	spentBefore               time.Duration // in the interval that the last report ended
}

func newKindStats(name string) *kindStats {
	return &kindStats{name: name, eventsMetric: metricEventsPrefix + name, spentMetric: metricTimePrefix + name}
}

// kindTable holds the stats of all kinds of event that occurred.
type kindTable struct {
	byType map[reflect.Type]*kindStats
	plans  *kindStats
	all    []*kindStats
}

func newKindTable() kindTable {
	plans := newKindStats(planKind)
	return kindTable{byType: map[reflect.Type]*kindStats{}, plans: plans, all: []*kindStats{plans}}
}

// of returns the stats of an event's kind. A message from another daemon has the kind of the
// message.
func (t *kindTable) of(b notch.Body) *kindStats {
	kind := reflect.TypeOf(b)
	if r, ok := b.(notch.MessageReceived); ok {
		kind = reflect.TypeOf(r.Message)
	}
	k := t.byType[kind]
	if k == nil {
		k = newKindStats(kebabCase(kind.Name()))
		t.byType[kind] = k
		t.all = append(t.all, k)
	}
	return k
}

// report passes the figures since the last report to the sink.
func (t *kindTable) report(sink Sink) {
	for _, k := range t.all {
		if k.events > 0 {
			sink.Count(k.eventsMetric, k.events)
			sink.Count(k.spentMetric, k.spent.Microseconds())
		}
		k.events, k.spent, k.spentBefore = 0, 0, k.spent
	}
}

// longest lists the kinds that took most time since the report before the last one.
func (t *kindTable) longest() string {
	spent := func(k *kindStats) time.Duration { return k.spentBefore + k.spent }
	kinds := slices.SortedStableFunc(slices.Values(t.all), func(a, b *kindStats) int { return cmp.Compare(spent(b), spent(a)) })
	var out []string
	for _, k := range kinds[:min(len(kinds), maxListedKinds)] {
		if spent(k) > 0 {
			out = append(out, fmt.Sprintf("%s %v", k.name, spent(k).Round(time.Millisecond)))
		}
	}
	return strings.Join(out, ", ")
}

// KindOf returns the kind of a message, the name of its type in kebab case.
func KindOf(m notch.Message) string { return kebabCase(reflect.TypeOf(m).Name()) }

// kebabCase converts the name of a Go type.
func kebabCase(name string) string {
	var out strings.Builder
	for i, c := range name {
		if 'A' <= c && c <= 'Z' {
			if i > 0 {
				out.WriteByte('-')
			}
			c += 'a' - 'A'
		}
		out.WriteRune(c)
	}
	return out.String()
}
