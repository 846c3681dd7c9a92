package flow

import (
	"maps"
	"slices"
	"time"

	notch "tamaracknotch"
)

// startWindow is the age from which on a start without an answer no longer counts as under way: its
// agent is silent, and others answer meanwhile. Answers that wait for the control loop make it longer.
const startWindow = 100 * time.Millisecond

// As many starts are under way as are answered in the time of a lone call and queueTimeGoal. With more of them
// each start waits behind the others, and so does each step of a short workflow, whatever the order of the
// plans; with fewer the leader is idle while it waits for answers.
const (
	maxStartsUnderWay = 500
	minStartsUnderWay = 32                    // with which a leader that can carry more still finds that out
	queueTimeGoal     = 20 * time.Millisecond // that a start and its answer wait behind others
	rateWindows       = 10                    // of which the one with the most answers counts, as stalls say nothing about the rate
	fastestGrowth     = 1.01                  // from window to window, as the network may get slower
)

// The starts that are placed and not answered yet are those under way and those that are queued meanwhile. A
// queue must last until the next plan is made and committed, and hold little more, as what is placed no longer
// makes way for what is more urgent among the starts of equal priority.
const (
	maxStartsPlaced = 500
	minStartsQueued = 100
	queueLength     = 100 * time.Millisecond // of starts, at the rate at which they were answered
)

// startsUnderWay counts the starts of the last moments that aren't answered yet, and limits them.
type startsUnderWay struct {
	since     notch.Time       // when the present window began
	sent      [rateWindows]int // starts without an answer, by the window in which they were sent, the present one first
	behind    time.Duration    // that the latest answer of an agent waited for the control loop
	answers   [rateWindows]int // in the present window and those before
	took      time.Duration    // in total, in the present window
	alone     time.Duration    // the same, for as many lone calls
	meanTook  time.Duration    // of an answer in the latest window with answers before the present one
	meanAlone time.Duration    // the same, for a lone call
	fastest   fastestCalls
}

// fastestCalls holds about how long a start and its answer take that wait behind no others, by the agents' failure
// domain. It is never modified.
type fastestCalls map[string]time.Duration

// with returns f after a call to a failure domain has taken d.
func (f fastestCalls) with(domain string, d time.Duration) fastestCalls {
	if before, ok := f[domain]; ok && d >= before {
		return f
	}
	out := maps.Clone(f)
	if out == nil {
		out = fastestCalls{}
	}
	out[domain] = d
	return out
}

// slower returns f with somewhat longer times.
func (f fastestCalls) slower() fastestCalls {
	out := make(fastestCalls, len(f))
	for domain, d := range f {
		out[domain] = time.Duration(float64(d) * fastestGrowth)
	}
	return out
}

// at returns u with the windows at the given time.
func (u startsUnderWay) at(now notch.Time) startsUnderWay {
	for range rateWindows {
		if now.Sub(u.since) < startWindow {
			return u
		}
		u = u.nextWindow()
	}
	if now.Sub(u.since) >= startWindow {
		u.since = now // nothing was sent or answered for longer than any window tells
	}
	return u
}

// nextWindow returns u with the window after the present one.
func (u startsUnderWay) nextWindow() startsUnderWay {
	next := startsUnderWay{
		since: u.since.Add(startWindow), behind: u.behind, meanTook: u.meanTook, meanAlone: u.meanAlone, fastest: u.fastest.slower(),
	}
	copy(next.sent[1:], u.sent[:])
	copy(next.answers[1:], u.answers[:])
	if n := u.answers[0]; n > 0 {
		next.meanTook, next.meanAlone = u.took/time.Duration(n), u.alone/time.Duration(n)
	}
	return next
}

// withSent returns u after a start was sent.
func (u startsUnderWay) withSent(now notch.Time) startsUnderWay {
	u = u.at(now)
	u.sent[0]++
	return u
}

// withAnswered returns u after the answer to a start that was sent to an agent of a failure domain and received at
// the given times.
func (u startsUnderWay) withAnswered(domain string, sentAt, receivedAt, now notch.Time) startsUnderWay {
	u = u.withoutAnswer(sentAt, now)
	u.fastest = u.fastest.with(domain, receivedAt.Sub(sentAt))
	u.answers[0]++
	u.took += now.Sub(sentAt)
	u.alone += u.fastest[domain]
	return u
}

// withoutAnswer returns u after a start that was sent at the given time has ended without an answer. It
// says nothing about the leader: its agent is silent.
func (u startsUnderWay) withoutAnswer(sentAt, now notch.Time) startsUnderWay {
	u = u.at(now)
	if i := u.windowOf(sentAt); i < rateWindows {
		u.sent[i] = max(0, u.sent[i]-1)
	}
	return u
}

// windowOf returns how many windows before the present one a time lies.
func (u startsUnderWay) windowOf(at notch.Time) int {
	return int(max(0, u.since.Sub(at)+startWindow-1) / startWindow)
}

// withWait returns u after an answer that was received at the given time and has waited for the control loop since.
func (u startsUnderWay) withWait(receivedAt, now notch.Time) startsUnderWay {
	u.behind = now.Sub(receivedAt)
	return u
}

// count returns how many starts are under way. While the control loop is behind, a start without an answer isn't one to a
// silent agent: the leader would send without a limit then, and stay behind.
func (u startsUnderWay) count() int {
	windows := 2 + int((u.behind+startWindow-1)/startWindow)
	n := 0
	for _, sent := range u.sent[:min(windows, rateWindows)] {
		n += sent
	}
	return n
}

// answersIn returns how many answers come in a duration while as many starts are sent as can be carried. It
// returns maxStartsUnderWay if that isn't known.
func (u startsUnderWay) answersIn(d time.Duration) int {
	most := slices.Max(u.answers[:])
	if most == 0 {
		return maxStartsUnderWay
	}
	return int(float64(most) * float64(d) / float64(startWindow))
}

// limit returns how many starts may be under way.
func (u startsUnderWay) limit() int {
	return min(max(u.answersIn(u.meanAlone+queueTimeGoal), minStartsUnderWay), maxStartsUnderWay)
}

// room returns how many more starts may be sent.
func (u startsUnderWay) room() int { return u.limit() - u.count() }

// placedLimit returns how many starts may be placed and not answered.
func (u startsUnderWay) placedLimit() int {
	return min(u.limit()+max(u.answersIn(queueLength), minStartsQueued), maxStartsPlaced)
}
