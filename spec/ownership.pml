/*
 * Ownership of one backend server over three view epochs.
 *
 * A (0) is the owner at epochs 1 and 3, B (1) at epoch 2. An owner may act late: a paused owner takes no step while the
 * others do. A start may arrive at any time after it was sent, any number of times. Attempt 0 belongs to a task that can
 * be restarted elsewhere; attempt 1 competes with it for the capacity of one task.
 *
 * Broken variants: with NO_EPOCH_CHECK, the server accepts a start with any fence; with UNCONFIRMED, an owner starts work
 * after an attach without reading the view from the store; with ONE_LAG, the lag of two successive owners is counted
 * once. ISOLATED_OWNER and LATE_CALL each remove an assumption; README.md describes the traces and what the code
 * ensures.
 */
#define OWNERS 2
#define ATTEMPTS 2
#define CAPACITY 1
#define EPOCHS 3
#define ATTACHES 2		/* maximum for owner A; owner B sends one fewer */
#define LEASE 1			/* ticks */
#define DRIFT 1			/* clock drift between owner and server over a lease, ticks */
#define LAG 1			/* maximum age of the view while the store is healthy, ticks */
#define WAIT (LEASE + DRIFT + LAG)
/* An earlier owner may renew until it sees the new view. A later owner may attach before this owner sees the next view. */
#ifdef ONE_LAG
#define WAIT_OTHERS WAIT
#else
#define WAIT_OTHERS (WAIT + LAG)
#endif
#define NONE 3

/* States of an attach. After a timeout, the server does not handle it, unless LATE_CALL is set. */
#define UNSENT 0
#define HANDLED 1
#define SENT 2
#define GIVEN_UP 3

#define owner_of(e) ((e + 1) % 2)

byte epoch = 1;
byte view_age;			/* ticks since the view changed */

/* Backend server. A restart loses everything except boot, including the fence. */
byte fence_epoch, fence_owner = NONE, fence_number;
byte lease;			/* remaining ticks; 0 means lapsed */
byte running;			/* one bit per attempt */
byte known;			/* attempts that ended or were stopped before their start, one bit each */
bit boot;
byte drift;			/* ticks by which the server's clock has fallen behind since the last renewal */

/* Messages. A start can be delivered again after its first delivery. */
byte start_epoch[ATTEMPTS], start_owner[ATTEMPTS], start_number[ATTEMPTS];
bool sent[ATTEMPTS];
byte attach_state[4];		/* by slot (owner and number): one of the states above */
byte attach_epoch[4];
byte attach_inventory[4];
bit attach_boot[4];
bool attach_ok[4];

/* Owners. */
byte view[OWNERS];
bool waiting[OWNERS];		/* an attach has no reply yet */
byte number[OWNERS];		/* number of the last attach */
bool unconfirmed[OWNERS];	/* the attach has succeeded, but the store has not confirmed the view since */
bit new_boot[OWNERS];		/* boot in the reply to the unconfirmed attach */
bool attached[OWNERS];		/* the owner may start attempts */
byte used[OWNERS];		/* attempts counted against the capacity, one bit each */
byte until_lapse[OWNERS];		/* ticks until every possible lease has lapsed */
bit seen_boot[OWNERS];		/* boot at the last confirmed attach */
bool reported[OWNERS];		/* an attach was reported in the current view */
bool lapsed[OWNERS];		/* the lapse was reported */

bool elsewhere;			/* the task of attempt 0 was restarted on another backend server */

#define slot(o, n) ((o) * ATTACHES + (n) - 1)
#define fence_is(e, o, n) (fence_epoch == e && fence_owner == o && fence_number == n)
#define stale(e, o, n) (e < fence_epoch || (e == fence_epoch && (o != fence_owner || n < fence_number)))
#define count(x) (((x) & 1) + (((x) >> 1) & 1))

/*
 * Calls of an older view take effect at most LAG ticks after the view changed. This does not hold for an owner that is cut
 * off from the store and from its peers but still reaches the backend server, unless it stops its calls.
 */
#ifdef ISOLATED_OWNER
#define in_time(e) true
#else
#define in_time(e) ((e) == epoch || ((e) + 1 == epoch && view_age <= LAG))
#endif
#ifdef UNCONFIRMED
#define confirms(e) true
#else
#define confirms(e) ((e) == epoch)
#endif
#define arrives(s) (attach_state[s] >= SENT && in_time(attach_epoch[s]))

inline check() {
	assert(count(running) <= CAPACITY);
	assert(!(elsewhere && (running & 1)))
}

inline restart_elsewhere() {
	elsewhere = true;
	check()
}

proctype store() {
end:	do
	:: atomic { epoch < EPOCHS -> epoch++; view_age = 0 }
	od
}

/* The server's clock may miss ticks of the owners' clock, at most DRIFT per lease. */
proctype clock() {
	byte i;
end:	do
	:: atomic {
		if
		:: lease > 0 ->
			if
			:: drift < DRIFT -> drift++
			:: lease--
			fi
		:: else
		fi;
		if
		:: lease == 0 -> known = known | running; running = 0; drift = 0
		:: else
		fi;
		if
		:: epoch > 1 && view_age <= LAG -> view_age++
		:: else
		fi;
		i = 0;
		do
		:: i < OWNERS ->
			if
			:: until_lapse[i] > 0 -> until_lapse[i]--
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0
	}
	od
}

proctype server() {
	byte a, s, o;
end:	do
	:: atomic {		/* a start arrives: in time, late or repeated */
		if
		:: sent[0] -> a = 0
		:: sent[1] -> a = 1
		fi;
		if
#ifndef NO_EPOCH_CHECK
		:: !fence_is(start_epoch[a], start_owner[a], start_number[a]) || lease == 0 ->
			/* Refused: the sender may rely on the attempt never running. */
			o = start_owner[a];
			if
			:: !(running & (1 << a)) && !(known & (1 << a)) ->
				if
				:: used[o] = used[o] & ~(1 << a);
					if
					:: a == 0 -> restart_elsewhere()
					:: else
					fi
				:: skip	/* the reply is lost */
				fi
			:: else
			fi
#endif
		:: else ->
			if
			:: (running | known) & (1 << a)
			:: else -> running = running | (1 << a)
			fi
		fi;
		check(); a = 0; o = 0
	}
	:: atomic {		/* an attach arrives */
		if
		:: arrives(0) -> s = 0
		:: arrives(1) -> s = 1
		:: arrives(2) -> s = 2
		:: arrives(3) -> s = 3
		fi;
		o = s / ATTACHES;
		if
		:: stale(attach_epoch[s], o, s % ATTACHES + 1)
		:: else ->
			fence_epoch = attach_epoch[s]; fence_owner = o; fence_number = s % ATTACHES + 1;
			lease = LEASE; drift = 0;
			if
			:: attach_state[s] == SENT ->
				attach_ok[s] = true; attach_inventory[s] = running; attach_boot[s] = boot
			:: else
			fi
		fi;
		attach_state[s] = HANDLED; attach_epoch[s] = 0;
		s = 0; o = 0
	}
	:: atomic {		/* the server restarts */
		boot == 0 -> boot = 1;
		fence_epoch = 0; fence_owner = NONE; fence_number = 0;
		lease = 0; drift = 0; running = 0; known = 0
	}
	od
}

#ifdef LATE_CALL
#define timed_out GIVEN_UP
#else
#define timed_out HANDLED
#endif

inline give_up(state) {
	if
	:: waiting[me] ->
		waiting[me] = false; s = slot(me, number[me]);
		if
		:: attach_state[s] == SENT -> attach_state[s] = state
		:: else -> attach_inventory[s] = 0; attach_boot[s] = 0; attach_ok[s] = false
		fi;
		s = 0
	:: else
	fi
}

proctype owner(byte me) {
	byte s;
end:	do
	:: atomic {		/* see a newer view, possibly skipping one */
		view[me] < epoch -> view[me] = epoch;
		give_up(GIVEN_UP); attached[me] = false; unconfirmed[me] = false; new_boot[me] = 0; lapsed[me] = false;
		reported[me] = false; seen_boot[me] = 0; used[me] = 0;
		until_lapse[me] = (owner_of(view[me]) == me -> WAIT_OTHERS : 0)
	}
	:: atomic {		/* send an attach */
		owner_of(view[me]) == me && !attached[me] && !waiting[me] && number[me] < ATTACHES - me ->
		number[me]++; s = slot(me, number[me]); unconfirmed[me] = false; new_boot[me] = 0;
		attach_epoch[s] = view[me]; attach_state[s] = SENT; waiting[me] = true; s = 0
	}
	:: atomic {		/* handle the reply */
		waiting[me] && attach_state[slot(me, number[me])] == HANDLED ->
		s = slot(me, number[me]); waiting[me] = false;
		if
		:: attach_ok[s] ->
			until_lapse[me] = WAIT;
			if
			:: reported[me] && seen_boot[me] != attach_boot[s] && sent[0] && start_owner[0] == me ->
				restart_elsewhere()	/* the tasks of the previous boot have ended */
			:: else
			fi;
			used[me] = attach_inventory[s];
			if
			:: reported[me] && seen_boot[me] == attach_boot[s] -> attached[me] = true; lapsed[me] = false
			:: else -> unconfirmed[me] = true; new_boot[me] = attach_boot[s]
			fi
		:: else
		fi;
		attach_inventory[s] = 0; attach_boot[s] = 0; attach_ok[s] = false; s = 0
	}
	:: atomic {		/* confirm with the store that the view of an attach to another boot is still the newest one */
		unconfirmed[me] && confirms(view[me]) ->
		unconfirmed[me] = false; attached[me] = true; lapsed[me] = false; reported[me] = true;
		seen_boot[me] = new_boot[me]; new_boot[me] = 0
	}
	:: atomic {		/* abandon an attach after a timeout */
		waiting[me] -> give_up(timed_out); until_lapse[me] = (until_lapse[me] > WAIT -> until_lapse[me] : WAIT)
	}
	:: atomic {		/* start an attempt within the free capacity */
		attached[me] && count(used[me]) < CAPACITY && (!sent[0] && !elsewhere || !sent[1]) ->
		if
		:: !sent[0] && !elsewhere -> s = 0
		:: !sent[1] -> s = 1
		fi;
		sent[s] = true; start_epoch[s] = view[me]; start_owner[s] = me; start_number[s] = number[me];
		used[me] = used[me] | (1 << s); s = 0
	}
	:: atomic {		/* poll: renews the lease, or is refused because ownership or the lease is lost */
		attached[me] && in_time(view[me]) ->
		if
		:: fence_is(view[me], me, number[me]) && lease > 0 -> lease = LEASE; drift = 0; until_lapse[me] = WAIT
		:: else -> attached[me] = false; used[me] = 0
		fi
	}
	:: atomic {		/* stop: confirms that the attempt is not running and never will be */
		attached[me] && fence_is(view[me], me, number[me]) && used[me] > 0 ->
		if
		:: used[me] & 1 -> s = 0
		:: used[me] & 2 -> s = 1
		fi;
		running = running & ~(1 << s); known = known | (1 << s);
		if
		:: used[me] = used[me] & ~(1 << s);
			if
			:: s == 0 -> restart_elsewhere()
			:: else
			fi
		:: skip		/* the reply is lost */
		fi;
		s = 0
	}
	:: atomic {		/* conclude that every lease has lapsed */
		owner_of(view[me]) == me && !lapsed[me] && until_lapse[me] == 0 && !waiting[me] && in_time(view[me]) ->
		lapsed[me] = true; attached[me] = false; unconfirmed[me] = false; new_boot[me] = 0; used[me] = 0;
		if
		:: sent[0] && start_epoch[0] <= view[me] -> restart_elsewhere()
		:: else
		fi
	}
	:: atomic {		/* report an attempt of an earlier owner as unknown, because the inventory does not have it */
		attached[me] && sent[0] && start_epoch[0] < view[me] && !(used[me] & 1) -> restart_elsewhere()
	}
	od
}

init {
	atomic {
		view[0] = 1; view[1] = 1; until_lapse[0] = WAIT;
		run store(); run clock(); run server(); run owner(0); run owner(1)
	}
}
