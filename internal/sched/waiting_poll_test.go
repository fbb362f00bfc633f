package sched

import "time"

// sendWaitingPoll delivers a poll whose reply waits until a run ends. At random, the poll or its reply is lost, and the reply of a
// server that ends meanwhile never comes.
func (l *serverLosses) sendWaitingPoll(cmd PollCommand, sent sendTime) {
	s, fence := l.s, l.epoch
	fail := func() { l.s.PollFailed(l.leaderNow(), cmd.Server.ID, cmd.Serial) }
	l.after(cmd.Timeout, l.toSender(s, fail))
	delay := time.Duration(1+l.random.IntN(int(maxOneWayDelay/time.Millisecond))) * time.Millisecond
	chance := l.random.IntN(100)
	if l.calm() {
		chance = 50
	}
	if chance < 3 {
		return
	}
	reply := func(answer func()) {
		if answer != nil && chance >= 6 {
			l.after(delay, l.toSender(s, answer))
		}
	}
	l.after(delay, func() {
		v, elsewhere := l.reach(cmd.Server, fail)
		if v == nil {
			reply(elsewhere)
			return
		}
		if answer := l.poll(fence, cmd, sent); answer == nil || fence < v.fence {
			reply(answer)
			return
		}
		incarnation, until := v.info.Incarnation, l.now.Add(cmd.Wait)
		list := cmd
		list.Server.Incarnation, list.Deadline = incarnation, 0
		var await func()
		await = func() {
			switch {
			case !l.alive(v) || v.info.Incarnation != incarnation:
				if l.random.IntN(2) == 0 {
					reply(fail) // the connection is reset
				}
			case len(v.finished) == 0 && l.now.Before(until):
				l.after(10*time.Millisecond, await)
			default:
				reply(l.poll(fence, list, sent))
			}
		}
		await()
	})
}
