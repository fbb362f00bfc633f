/*
 * Replacement of a leader that loses the store, in discrete ticks.
 *
 * A leads. B and C are the daemons that it knows; D starts later and is known only to daemons that have read the store since. The
 * store may be down for all, and once the daemons may be cut apart: A and B on one side, the store, C and D on the other. C may be
 * removed for good. Only A reaches the backend server with the task, so a successor starts the task elsewhere once it counts every lease
 * of A there as expired.
 *
 * The other backend servers are on both sides of the cut. Without the store A goes on only while it reaches at least half of all servers,
 * and after TIED ticks more than half. A successor that A may not know counts the time that A goes on from when it has reached more than
 * half of them, with its higher fencing token; with half of them or fewer it waits until A certainly doesn't go on any more.
 *
 * Broken variants: with ANY_PEER, the answer of any peer confirms A; with NO_OVERLAP, the successor counts on a leader that stops with
 * its presence lease; with UNKNOWN_DAEMON, neither side counts servers; with SERVERS_BY_LEADER only A does, and with
 * SERVERS_BY_SUCCESSOR only the successor.
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
#define TIED 3			/* ticks for which A goes on without the store if it reaches half of the servers */
#define ISOLATION 4		/* the same if it reaches more than half */

#define FEWER 0			/* than half of the servers are beside A in a cut */
#define HALF 1
#define MORE 2

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

byte split;			/* share of the servers beside A in a cut */
bool fenced_beside_a, fenced_beyond;	/* the servers on either side have accepted the successor's fencing token */
byte half_age = NEVER;		/* ticks since A sent the latest calls that half of the servers answered */
byte more_age = NEVER;		/* the same for more than half */
byte silence;			/* ticks since the store last confirmed A, at most ISOLATION + 1 */
byte led;			/* ticks since the takeover, at most ISOLATION */
bool doubt;			/* A may go on for longer than OVERLAP after the takeover */

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
#define peer_evidence younger(age[B], age[C])
#else
#define peer_evidence older(older(age[B], age[C]), (known[A] -> age[D] : 0))
#endif
#if defined(UNKNOWN_DAEMON) || defined(SERVERS_BY_SUCCESSOR)
#define evidence peer_evidence
#else
#define server_evidence (silence <= TIED -> half_age : (silence <= ISOLATION -> more_age : NEVER))
#define evidence older(peer_evidence, server_evidence)
#endif
#if defined(UNKNOWN_DAEMON) || defined(SERVERS_BY_LEADER)
#define unaware(x) false
#else
#define unaware(x) ((x) == D && !known[A])
#endif

inline check() { assert(!(restarted && lease > 0)) }

/* A has learned of its successor. What it knew doesn't matter any more, so that fewer states differ. */
inline stop() {
	stopped = true; until = 0; silence = 0; half_age = NEVER; more_age = NEVER; age[B] = NEVER; age[C] = NEVER; age[D] = NEVER;
	known[A] = false; current[A] = false
}

inline grow(x) {
	if
	:: x < NEVER -> x++
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
		:: leader != A && wait > 0 && !doubt -> wait--
		:: else
		fi;
		if
		:: doubt && led < ISOLATION -> led++
		:: else
		fi;
		if
		:: !stopped && silence <= ISOLATION -> silence++
		:: else
		fi;
		if
		:: d_started && reaches_store(D) && d_settled < SETTLE -> d_settled++
		:: else
		fi;
		grow(age[B]); grow(age[C]); grow(age[D]); grow(half_age); grow(more_age)
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
		:: c_beside_a = true
		fi;
		if
		:: split = FEWER
		:: split = HALF
		:: split = MORE
		fi;
		fenced_beside_a = fenced_beside_a && split != FEWER	/* only the server with the task may be there */
	}
	:: atomic { cut -> cut = false; healed = true; c_beside_a = false; split = FEWER }
	:: atomic { !removed && leader != C -> removed = true }
	:: atomic { !d_started && reaches_store(D) -> d_started = true; known[D] = true }
	od
}

proctype former() {
	byte x;
end:	do
	:: atomic {		/* renew the presence lease, or create it anew and read the leader record */
		!stopped && reaches_store(A) && leader == A ->
		presence = TTL; until = TTL + OVERLAP; known[A] = d_started; current[A] = true; silence = 0
	}
	:: atomic {		/* read the record of a successor */
		!stopped && reaches_store(A) && leader != A -> stop()
	}
	:: atomic {		/* ask a daemon whether it leads */
		!stopped ->
		if
		:: x = B
		:: x = C
		:: known[A] -> x = D
		fi;
		if
		:: alive(x) && reaches_a(x) && leader == x -> stop()
		:: alive(x) && reaches_a(x) && leader != x -> age[x] = 0; known[A] = known[A] || known[x]
		:: !alive(x) || !reaches_a(x)
		fi;
		x = 0
	}
	:: atomic {		/* call the servers; one that has accepted a higher fencing token tells of the successor */
		!stopped ->
		if
		:: fenced_beyond && !cut || fenced_beside_a -> stop()
		:: else ->
			if
			:: !cut || split != FEWER -> half_age = 0
			:: else
			fi;
			if
			:: !cut || split == MORE -> more_age = 0
			:: else
			fi
		fi
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
		alive(me) && reaches_store(me) && leader == A && presence == 0 && (me != D || d_settled == SETTLE) ->
		leader = me; wait = WAIT; doubt = unaware(me)
	}
	:: atomic {		/* call the servers */
		alive(me) && leader == me && doubt && (!cut || !beside_a(me)) ->
		fenced_beyond = true;
		fenced_beside_a = fenced_beside_a || !cut;
		doubt = cut && split != FEWER && !(split == HALF && led >= TIED);
		led = (doubt -> led : 0)
	}
	:: atomic { leader == me && doubt && led == ISOLATION -> doubt = false; led = 0 }
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
