/*
 * Replacement of a leader that loses the store, in discrete ticks.
 *
 * A leads. B and C are the daemons that it knows; D starts later and is known only to daemons that have read the store since. The
 * store may be down for all, and once the daemons may be cut apart: A and B on one side, the store, C and D on the other. C may be
 * removed for good. Only A reaches the backend server, so a successor starts the server's task elsewhere once it counts every lease
 * of A there as expired.
 *
 * Broken variants: with ANY_PEER, the answer of any peer confirms A; with NO_OVERLAP, the successor counts on a leader that stops with
 * its presence lease. UNKNOWN_DAEMON removes an assumption; see README.md.
 */
#define TTL 2			/* presence lease, ticks */
#define OVERLAP 2		/* ticks that A goes on after the last moment at which no other daemon can have led */
#define LEASE 1			/* lease of the server's task, ticks */
#define DRIFT 1			/* ticks by which the server's clock falls behind over a lease */
#ifdef NO_OVERLAP
#define WAIT (LEASE + DRIFT)
#else
#define WAIT (OVERLAP + LEASE + DRIFT)
#endif
#define SETTLE 2		/* ticks for which a daemon must reach the store before it takes over */
#define NEVER 3			/* age of an answer that has not come */

#define A 0
#define B 1
#define C 2
#define D 3

byte leader = A;		/* leader record */
byte presence = TTL;		/* remaining ticks of A's presence lease */
bool down;			/* the store answers nobody */
byte outages;
bool cut, healed;
bool c_beside_a;		/* C is on A's side of the cut */
bool removed;			/* C is gone */
bool d_started;
byte d_settled;			/* ticks for which D has reached the store since its start or the last failure, at most SETTLE */
bool known[4];			/* the daemon knows D */
bool current[4];		/* the daemon has read the store in this tick */

byte until = TTL + OVERLAP;	/* ticks until A must stop */
bool stopped;			/* A knows of its successor */
byte age[4] = NEVER;		/* ticks since A sent the latest answered query, by daemon */

byte lease = LEASE;		/* of the task at the server */
byte drift;
byte wait = WAIT;		/* ticks until the successor counts A's leases as expired */
bool restarted;

#define beside_a(x) ((x) == A || (x) == B || ((x) == C && c_beside_a))
#define reaches_store(x) (!down && !(cut && beside_a(x)))
#define reaches_a(x) (!(cut && !beside_a(x)))
#define alive(x) (((x) != C || !removed) && ((x) != D || d_started))
#define up_to_date(x) (!alive(x) || !reaches_store(x) || current[x])
#define older(x, y) ((x) > (y) -> (x) : (y))
#define younger(x, y) ((x) < (y) -> (x) : (y))
#ifdef ANY_PEER
#define evidence younger(age[B], age[C])
#else
#define evidence older(older(age[B], age[C]), (known[A] -> age[D] : 0))
#endif

inline check() { assert(!(restarted && lease > 0)) }

inline grow(x) {
	if
	:: age[x] < NEVER -> age[x]++
	:: else
	fi
}

/* Daemons that reach the store read it at least once a tick. */
proctype clock() {
end:	do
	:: atomic {
		(stopped || up_to_date(A)) && up_to_date(B) && up_to_date(C) ->
		current[A] = false; current[B] = false; current[C] = false;
		if
		:: presence > 0 -> presence--
		:: presence > 0 && down	/* leases may pause while the store is down */
		:: presence == 0
		fi;
		if
		:: lease > 0 && drift < DRIFT -> drift++
		:: lease > 0 -> lease--
		:: lease == 0
		fi;
		if
		:: until > 0 -> until--
		:: else
		fi;
		if
		:: leader != A && wait > 0 -> wait--
		:: else
		fi;
		if
		:: d_started && reaches_store(D) && d_settled < SETTLE -> d_settled++
		:: else
		fi;
		grow(B); grow(C); grow(D)
	}
	od
}

proctype disturbances() {
end:	do
	:: atomic { !down && outages < 1 -> down = true; outages++; d_settled = 0 }
	:: atomic { down -> down = false }
	:: atomic { !cut && !healed -> cut = true;
		if
		:: c_beside_a = false
#ifdef UNKNOWN_DAEMON
		:: c_beside_a = true
#endif
		fi
	}
	:: atomic { cut -> cut = false; healed = true; c_beside_a = false }
	:: atomic { !removed && leader != C -> removed = true }
	:: atomic { !d_started && reaches_store(D) -> d_started = true; known[D] = true }
	od
}

proctype former() {
	byte x;
end:	do
	:: atomic {		/* renew the presence lease, or create it anew and read the leader record */
		!stopped && reaches_store(A) && leader == A ->
		presence = TTL; until = TTL + OVERLAP; known[A] = d_started; current[A] = true
	}
	:: atomic {		/* read the record of a successor */
		!stopped && reaches_store(A) && leader != A -> stopped = true
	}
	:: atomic {		/* ask a daemon whether it leads */
		!stopped ->
		if
		:: x = B
		:: x = C
		:: known[A] -> x = D
		fi;
		if
		:: alive(x) && reaches_a(x) && leader == x -> stopped = true
		:: alive(x) && reaches_a(x) && leader != x -> age[x] = 0; known[A] = known[A] || known[x]
		:: !alive(x) || !reaches_a(x)
		fi;
		x = 0
	}
	:: atomic {		/* confirm the leadership by the answers */
		!stopped && evidence < OVERLAP && until < OVERLAP - evidence -> until = OVERLAP - evidence
	}
	:: atomic {		/* poll the server, which renews the lease */
		!stopped && until > 0 && lease > 0 -> lease = LEASE; drift = 0; check()
	}
	od
}

proctype other(byte me) {
end:	do
	:: atomic { me != D && alive(me) && reaches_store(me) && !current[me] -> known[me] = d_started; current[me] = true }
	:: atomic {		/* take over */
		alive(me) && reaches_store(me) && leader == A && presence == 0 && (me != D || d_settled == SETTLE) -> leader = me; wait = WAIT
	}
	:: atomic {		/* start the task on another server */
		alive(me) && leader == me && wait == 0 && !restarted -> restarted = true; check()
	}
	od
}

init {
	atomic {
		age[A] = 0;
		run clock(); run disturbances(); run former(); run other(B); run other(C); run other(D)
	}
}
