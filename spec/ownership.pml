/*
 * Ownership of one backend server over three view epochs.
 *
 * Owner A (0) is named by epochs 1 and 3, owner B (1) by epoch 2. Every owner may act late, so a pause is an owner that
 * takes no step while the others do. A start may arrive at any time after it was sent, any number of times. Attempt 0
 * belongs to a task that can be restarted elsewhere; attempt 1 competes with it for the only room.
 *
 * Broken variants: NO_EPOCH_CHECK, the server accepts a start under any fence; UNCONFIRMED, an owner starts work after an
 * attach without a read of the view from the store; ONE_LAG, the lag of two successive owners is counted once.
 * ISOLATED_OWNER and LATE_CALL each drop an assumption that the code does not ensure; README.md has the traces.
 */
#define OWNERS 2
#define ATTEMPTS 2
#define CAPACITY 1
#define EPOCHS 3
#define ATTACHES 2		/* of owner A; owner B sends one less */
#define LEASE 1			/* ticks */
#define DRIFT 1			/* clock difference of owner and server over a lease, ticks */
#define LAG 1			/* age of the view while the store is healthy, ticks */
#define WAIT (LEASE + DRIFT + LAG)
/* An earlier owner may renew until it sees the new view, and a later one before this owner sees the next view. */
#ifdef ONE_LAG
#define WAIT_OTHERS WAIT
#else
#define WAIT_OTHERS (WAIT + LAG)
#endif
#define NONE 3

/* States of an attach. One that timed out is not handled later, unless LATE_CALL is set. */
#define UNSENT 0
#define HANDLED 1
#define SENT 2
#define GIVEN_UP 3

#define owner_of(e) ((e + 1) % 2)

byte epoch = 1;
byte old;			/* ticks since the last change of the view */

/* Backend server. A restart loses everything but boot, the fence included. */
byte fence_epoch, fence_owner = NONE, fence_number;
byte lease;			/* ticks left; 0 means lapsed */
byte running;			/* bit per attempt */
byte known;			/* bit per attempt that ended or was stopped before its start */
bit boot;
byte lead;			/* ticks by which the server's clock is behind since the last renewal */

/* Messages. A start stays deliverable after its first delivery. */
byte start_epoch[ATTEMPTS], start_owner[ATTEMPTS], start_number[ATTEMPTS];
bool sent[ATTEMPTS];
byte attach_state[4];		/* per owner and number: one of the states below */
byte attach_epoch[4];
byte attach_inventory[4];
bit attach_boot[4];
bool attach_ok[4];

/* Owners. */
byte view[OWNERS];
bool waiting[OWNERS];		/* for the reply to the last attach */
byte number[OWNERS];		/* attaches sent */
bool unconfirmed[OWNERS];	/* attached, but the store hasn't confirmed the view since */
bit new_boot[OWNERS];		/* of that attach */
bool attached[OWNERS];
byte used[OWNERS];		/* bit per attempt counted against the room */
byte over[OWNERS];		/* ticks until the last possible lease is certainly over */
bit seen_boot[OWNERS];
bool reported[OWNERS];
bool lapsed[OWNERS];

bool elsewhere;			/* the task of attempt 0 was restarted on another backend server */

#define slot(o, n) ((o) * ATTACHES + (n) - 1)
#define fence_is(e, o, n) (fence_epoch == e && fence_owner == o && fence_number == n)
#define stale(e, o, n) (e < fence_epoch || (e == fence_epoch && (o != fence_owner || n < fence_number)))
#define count(x) (((x) & 1) + (((x) >> 1) & 1))

/*
 * Calls of an older view take effect at most LAG after the view changed. The code doesn't ensure this for an owner that
 * is cut off from the store and from its peers, but not from the backend server.
 */
#ifdef ISOLATED_OWNER
#define in_time(e) true
#else
#define in_time(e) ((e) == epoch || ((e) + 1 == epoch && old <= LAG))
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
	:: atomic { epoch < EPOCHS -> epoch++; old = 0 }
	od
}

/* A tick may pass at the server later than at the owners, by at most DRIFT per lease. */
proctype clock() {
	byte i;
end:	do
	:: atomic {
		if
		:: lease > 0 ->
			if
			:: lead < DRIFT -> lead++
			:: lease--
			fi
		:: else
		fi;
		if
		:: lease == 0 -> known = known | running; running = 0; lead = 0
		:: else
		fi;
		if
		:: epoch > 1 && old <= LAG -> old++
		:: else
		fi;
		i = 0;
		do
		:: i < OWNERS ->
			if
			:: over[i] > 0 -> over[i]--
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
	:: atomic {		/* a start arrives, early, late or again */
		if
		:: sent[0] -> a = 0
		:: sent[1] -> a = 1
		fi;
		if
#ifndef NO_EPOCH_CHECK
		:: !fence_is(start_epoch[a], start_owner[a], start_number[a]) || lease == 0 ->
			/* Refused: the sender may count on it that the attempt never runs. */
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
			lease = LEASE; lead = 0;
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
		lease = 0; lead = 0; running = 0; known = 0
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
	:: atomic {		/* sees a newer view, maybe skipping one */
		view[me] < epoch -> view[me] = epoch;
		give_up(GIVEN_UP); attached[me] = false; unconfirmed[me] = false; new_boot[me] = 0; lapsed[me] = false; reported[me] = false; seen_boot[me] = 0; used[me] = 0;
		over[me] = (owner_of(view[me]) == me -> WAIT_OTHERS : 0)
	}
	:: atomic {		/* sends an attach */
		owner_of(view[me]) == me && !attached[me] && !waiting[me] && number[me] < ATTACHES - me ->
		number[me]++; s = slot(me, number[me]); unconfirmed[me] = false; new_boot[me] = 0;
		attach_epoch[s] = view[me]; attach_state[s] = SENT; waiting[me] = true; s = 0
	}
	:: atomic {		/* reads the reply */
		waiting[me] && attach_state[slot(me, number[me])] == HANDLED ->
		s = slot(me, number[me]); waiting[me] = false;
		if
		:: attach_ok[s] ->
			over[me] = WAIT;
			if
			:: reported[me] && seen_boot[me] != attach_boot[s] && sent[0] && start_owner[0] == me ->
				restart_elsewhere()	/* all tasks of the previous boot ended */
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
	:: atomic {		/* reads from the store that the view of an attach to another boot is still the last one */
		unconfirmed[me] && confirms(view[me]) -> unconfirmed[me] = false; attached[me] = true; lapsed[me] = false; reported[me] = true;
		seen_boot[me] = new_boot[me]; new_boot[me] = 0
	}
	:: atomic {		/* gives an attach up */
		waiting[me] -> give_up(timed_out); over[me] = (over[me] > WAIT -> over[me] : WAIT)
	}
	:: atomic {		/* starts an attempt within the free room */
		attached[me] && count(used[me]) < CAPACITY && (!sent[0] && !elsewhere || !sent[1]) ->
		if
		:: !sent[0] && !elsewhere -> s = 0
		:: !sent[1] -> s = 1
		fi;
		sent[s] = true; start_epoch[s] = view[me]; start_owner[s] = me; start_number[s] = number[me];
		used[me] = used[me] | (1 << s); s = 0
	}
	:: atomic {		/* a poll renews the lease; a refusal shows the loss of ownership or of the lease */
		attached[me] && in_time(view[me]) ->
		if
		:: fence_is(view[me], me, number[me]) && lease > 0 -> lease = LEASE; lead = 0; over[me] = WAIT
		:: else -> attached[me] = false; used[me] = 0
		fi
	}
	:: atomic {		/* a stop confirms that the attempt doesn't run and never will */
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
	:: atomic {		/* concludes that no lease can be left */
		owner_of(view[me]) == me && !lapsed[me] && over[me] == 0 && !waiting[me] && in_time(view[me]) ->
		lapsed[me] = true; attached[me] = false; unconfirmed[me] = false; new_boot[me] = 0; used[me] = 0;
		if
		:: sent[0] && start_epoch[0] <= view[me] -> restart_elsewhere()
		:: else
		fi
	}
	:: atomic {		/* answers for the attempt of an earlier owner, which its inventory lacks */
		attached[me] && sent[0] && start_epoch[0] < view[me] && !(used[me] & 1) -> restart_elsewhere()
	}
	od
}

init {
	atomic {
		view[0] = 1; view[1] = 1; over[0] = WAIT;
		run store(); run clock(); run server(); run owner(0); run owner(1)
	}
}
