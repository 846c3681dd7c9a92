package flow

import (
	"time"

	notch "tamaracknotch"
)

// startWindow is the age from which on a start without an answer no longer counts as under way: its
// agent is silent, and others answer meanwhile.
const startWindow = 250 * time.Millisecond

// startsUnderWay counts the starts of the last moments that aren't answered yet. Many of them say that
// this leader, or what lies between it and the agents, is behind.
type startsUnderWay struct {
	since   notch.Time // when the present window began
	recent  int        // starts sent in the present window
	earlier int        // starts sent in the window before
}

// at returns u with the windows at the given time.
func (u startsUnderWay) at(now notch.Time) startsUnderWay {
	switch age := now.Sub(u.since); {
	case age < startWindow:
		return u
	case age < 2*startWindow:
		return startsUnderWay{since: u.since.Add(startWindow), earlier: u.recent}
	}
	return startsUnderWay{since: now}
}

// withSent returns u after a start was sent.
func (u startsUnderWay) withSent(now notch.Time) startsUnderWay {
	u = u.at(now)
	u.recent++
	return u
}

// withAnswered returns u after the answer to a start that was sent at the given time.
func (u startsUnderWay) withAnswered(sentAt, now notch.Time) startsUnderWay {
	u = u.at(now)
	if sentAt.Before(u.since) {
		u.earlier = max(0, u.earlier-1)
	} else {
		u.recent = max(0, u.recent-1)
	}
	return u
}

// count returns how many starts are under way.
func (u startsUnderWay) count() int { return u.recent + u.earlier }
