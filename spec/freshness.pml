/*
 * Withdrawal of a key by configuration version 2 under network partitions, in discrete ticks.
 *
 * Members 0, 1 and 2 have version 1; member 0 publishes version 2. Any member may be cut off from the store and from its
 * peers at any time, and be reconnected. Member 1 may restart once and lose its memory.
 *
 * NO_WAIT is the broken variant: a publish is accepted without waiting until silent members can no longer be fresh.
 */
#define MEMBERS 3
#define MAJORITY 2
#define BOUND 2			/* freshness bound, ticks */

byte store_version = 1;
byte version[MEMBERS];
byte left[MEMBERS];		/* ticks until the confirmation expires */
bool was_fresh[MEMBERS];		/* the member has been fresh since its start */
bool cut[MEMBERS];		/* cut off from the store and the peers */
bool asking[MEMBERS];		/* a request or its reply is in flight */
byte answer[MEMBERS];		/* the reply says that no version above this one exists; 0 means no reply */
byte waited[MEMBERS];		/* ticks since the request */
bool seen;			/* the publisher has seen version 2 on a majority */
byte silence;			/* ticks since the publisher saw the majority */
bool accepted;
bool restarted;

#define admits_withdrawn(m) (version[m] == 1 && left[m] > 0)
#define has(m) (version[m] == 2 && was_fresh[m] && !cut[m] && !cut[0])
#define cannot_admit(m) (has(m) || cut[m] && seen && silence > BOUND)

inline check() {
	assert(!(accepted && (admits_withdrawn(0) || admits_withdrawn(1) || admits_withdrawn(2))))
}

inline adopt(m, v) {
	assert(v >= version[m]);
	version[m] = v; left[m] = 0
}

proctype clock() {
	byte i;
end:	do
	:: atomic {
		i = 0;
		do
		:: i < MEMBERS ->
			if
			:: left[i] > 0 -> left[i]--
			:: else
			fi;
			if
			:: asking[i] && waited[i] < BOUND -> waited[i]++
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		if
		:: seen && silence <= BOUND -> silence++
		:: else
		fi
	}
	od
}

proctype member(byte me) {
	byte p;
end:	do
	:: atomic { cut[me] = !cut[me] }
	:: atomic {		/* send a request to the store */
		!cut[me] && !asking[me] -> asking[me] = true; waited[me] = 0; answer[me] = store_version
	}
	:: atomic {		/* send a request to a peer; a member that has not been fresh since its start does not count */
		!cut[me] && !asking[me] ->
		if
		:: p = (me + 1) % MEMBERS
		:: p = (me + 2) % MEMBERS
		fi;
		if
		:: !cut[p] && version[p] > version[me] -> adopt(me, version[p])
		:: !cut[p] && version[p] <= version[me] && was_fresh[p] && was_fresh[me] ->
			asking[me] = true; waited[me] = 0; answer[me] = version[me]
		:: else
		fi;
		p = 0
	}
	:: atomic {		/* handle the reply; the confirmation counts from the request */
		asking[me] -> asking[me] = false;
		if
		:: answer[me] > version[me] -> adopt(me, answer[me])
		:: answer[me] == version[me] && left[me] < BOUND - waited[me] ->
			left[me] = BOUND - waited[me]; was_fresh[me] = true
		:: else
		fi;
		answer[me] = 0; waited[me] = 0; check()
	}
	:: atomic {
		me == 1 && !restarted -> restarted = true;
		version[me] = 0; left[me] = 0; was_fresh[me] = false; asking[me] = false; answer[me] = 0; waited[me] = 0
	}
	od
}

proctype publisher() {
	atomic { !cut[0] && version[0] == 1 -> store_version = 2; version[0] = 2; left[0] = 0 }
	atomic { has(0) + has(1) + has(2) >= MAJORITY -> seen = true }
	atomic {
#ifdef NO_WAIT
		(has(0) + has(1) + has(2) >= MAJORITY)
#else
		(has(0) + has(1) + has(2) >= MAJORITY) && cannot_admit(0) && cannot_admit(1) && cannot_admit(2)
#endif
		-> accepted = true; check()
	}
}

init {
	atomic {
		version[0] = 1; version[1] = 1; version[2] = 1;
		was_fresh[0] = true; was_fresh[1] = true; was_fresh[2] = true;
		run clock(); run publisher(); run member(0); run member(1); run member(2)
	}
}
