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
const maxListedKinds = 8

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
	byKind map[eventKind]*kindStats
	plans  *kindStats
	all    []*kindStats
}

func newKindTable() kindTable {
	plans := newKindStats(planKind)
	return kindTable{byKind: map[eventKind]*kindStats{}, plans: plans, all: []*kindStats{plans}}
}

// of returns the stats of an event's kind. A message from another daemon has the kind of the
// message, and an agent's answer that of the order.
func (t *kindTable) of(b notch.Body) *kindStats {
	kind := eventKind{event: reflect.TypeOf(b)}
	switch b := b.(type) {
	case notch.MessageReceived:
		kind.event = reflect.TypeOf(b.Message)
	case notch.AgentAnswered:
		kind.order = b.Order.Kind
	}
	k := t.byKind[kind]
	if k == nil {
		k = newKindStats(kind.String())
		t.byKind[kind] = k
		t.all = append(t.all, k)
	}
	return k
}

// eventKind identifies a kind of event.
type eventKind struct {
	event reflect.Type
	order notch.AgentOrderKind // of an agent's answer
}

// String returns the name of the kind in kebab case.
func (k eventKind) String() string {
	name := kebabCase(k.event.Name())
	if k.order != "" {
		name += "-" + string(k.order)
	}
	return name
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
	return t.list(spent, func(k *kindStats) string { return fmt.Sprintf("%s %v", k.name, spent(k).Round(time.Millisecond)) })
}

// work lists the kinds that took most time since the last report, with their numbers of events.
func (t *kindTable) work() string {
	spent := func(k *kindStats) time.Duration { return k.spent }
	return t.list(spent, func(k *kindStats) string {
		return fmt.Sprintf("%d %s %v", k.events, k.name, k.spent.Round(time.Millisecond))
	})
}

// list describes the kinds that took most time, the longest first.
func (t *kindTable) list(spent func(*kindStats) time.Duration, describe func(*kindStats) string) string {
	kinds := slices.SortedStableFunc(slices.Values(t.all), func(a, b *kindStats) int { return cmp.Compare(spent(b), spent(a)) })
	var out []string
	for _, k := range kinds[:min(len(kinds), maxListedKinds)] {
		if spent(k) > 0 {
			out = append(out, describe(k))
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
