package flow

import (
	"time"

	notch "tamaracknotch"
)

// startWindow is the age from which on a start without an answer no longer counts as under way: its
// agent is silent, and others answer meanwhile.
const startWindow = 250 * time.Millisecond

// The limit of starts under way follows the time that their answers take. With more of them than this
// leader and what lies between it and the agents can carry, each start waits behind the others, and so
// does each step of a short workflow, whatever the order of the plans.
const (
	maxStartsUnderWay = 500
	minStartsUnderWay = 300                    // with which a leader that can carry more still finds that out
	answerTimeGoal    = 120 * time.Millisecond // in which a plan is made and committed
	maxLimitGrowth    = 1.25                   // from window to window
	maxLimitCut       = 0.5
	minAnswersToCut   = 30 // in a window; a few slow agents say nothing about the leader
)

// startsUnderWay counts the starts of the last moments that aren't answered yet, and limits them.
type startsUnderWay struct {
	since    notch.Time    // when the present window began
	recent   int           // starts sent in the present window
	earlier  int           // starts sent in the window before
	answered int           // in the present window
	waited   time.Duration // in total, for these answers
	below    int           // maxStartsUnderWay less the limit
	binds    bool          // a plan had to wait for answers in the present window
	bound    bool          // the same, in the window before
}

// at returns u with the windows at the given time.
func (u startsUnderWay) at(now notch.Time) startsUnderWay {
	age := now.Sub(u.since)
	if age < startWindow {
		return u
	}
	next := startsUnderWay{since: now, below: maxStartsUnderWay - u.nextLimit()}
	if age < 2*startWindow {
		next.since, next.earlier, next.bound = u.since.Add(startWindow), u.recent, u.binds
	}
	return next
}

// nextLimit returns the limit for the window after the present one.
func (u startsUnderWay) nextLimit() int {
	factor := maxLimitGrowth
	if u.answered > 0 && u.waited > 0 {
		goal := float64(answerTimeGoal) * float64(u.answered)
		factor = min(max(goal/float64(u.waited), maxLimitCut), maxLimitGrowth)
		if u.answered < minAnswersToCut {
			factor = max(factor, 1)
		}
	}
	return min(max(int(float64(u.limit())*factor), minStartsUnderWay), maxStartsUnderWay)
}

// withSent returns u after a start was sent.
func (u startsUnderWay) withSent(now notch.Time) startsUnderWay {
	u = u.at(now)
	u.recent++
	return u
}

// withAnswered returns u after the answer to a start that was sent at the given time.
func (u startsUnderWay) withAnswered(sentAt, now notch.Time) startsUnderWay {
	u = u.withoutAnswer(sentAt, now)
	u.answered++
	u.waited += now.Sub(sentAt)
	return u
}

// withoutAnswer returns u after a start that was sent at the given time has ended without an answer. It
// says nothing about the leader: its agent is silent.
func (u startsUnderWay) withoutAnswer(sentAt, now notch.Time) startsUnderWay {
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

// limit returns how many starts may be under way.
func (u startsUnderWay) limit() int { return maxStartsUnderWay - u.below }

// withPlanHeldBack returns u after a plan had to wait for answers.
func (u startsUnderWay) withPlanHeldBack() startsUnderWay {
	u.binds = true
	return u
}

// overloaded reports whether more starts are asked for than can be answered in time. A limit that has
// fallen isn't enough: nothing may be waiting for it.
func (u startsUnderWay) overloaded() bool { return u.below > 0 && (u.binds || u.bound) }

// room returns how many more starts may be sent.
func (u startsUnderWay) room() int { return u.limit() - u.count() }
