/*
 * Split of one team's limit in a record that is changed by compare-and-swap only.
 *
 * Member A (0) starts with the whole limit, gives parts to member B (1) and may die at any time. A write of A may take
 * effect late or lose its reply. Tasks of a dead A run on until B adopts them with their backend server or they end.
 *
 * FREE_DEAD_PART is the broken variant: the part of a dead member returns to the pool at once.
 */
#define LIMIT 3
#define A 0
#define B 1

/* The record. */
byte part[2];

/* The members. */
byte share[2];			/* own part read or written last */
byte used[2];
byte adopted;			/* tasks whose part B has not moved from A yet */
bool dead;
byte lowered;			/* what A has given, or may have given, in a write that is not settled */
bool in_flight;			/* A's write may still take effect */
bool matches;			/* nobody wrote since the revision that it expects */
bool known[2];			/* a member knows the present revision */

byte running[2];		/* tasks on the backend servers of A and B */

#define total (running[A] + running[B])
#define pool (LIMIT - part[A] - part[B])

inline wrote(me) { known[1 - me] = false; known[me] = true; matches = false }

proctype start(byte me) {
end:	do
	:: atomic {		/* reserves and starts a task */
		!(me == A && dead) && used[me] + (me == A -> lowered : 0) < share[me] ->
		used[me]++; running[me]++;
		assert(total <= LIMIT)
	}
	:: atomic {		/* a task ends */
		!(me == A && dead) && running[me] > 0 && used[me] > 0 -> running[me]--; used[me]--
	}
	od
}

proctype giver() {
end:	do
	:: atomic {		/* lowers its own use, then sends the write */
		!dead && lowered == 0 && !in_flight && used[A] < share[A] ->
		lowered = 1; in_flight = true; matches = known[A]
	}
	:: atomic {		/* reads the record; an unchanged revision excludes the open write by another write */
		!dead ->
		if
		:: in_flight && matches -> in_flight = false; wrote(A)
		:: else -> in_flight = false
		fi;
		known[A] = true; matches = false; share[A] = part[A]; lowered = 0
	}
	:: atomic { !dead -> dead = true; used[A] = 0; share[A] = 0; lowered = 0 }
	od
}

proctype store() {
end:	do
	:: atomic {		/* A's write arrives; its reply may be lost */
		in_flight -> in_flight = false;
		if
		:: matches && part[A] > 0 ->
			part[A]--; part[B]++; known[B] = false; known[A] = false; matches = false;
			if
			:: !dead -> known[A] = true; share[A] = part[A]; lowered = 0
			:: true
			fi
		:: else
		fi
	}
	od
}

proctype taker() {
end:	do
	:: atomic { !known[B] -> share[B] = part[B]; known[B] = true }
	:: atomic {		/* takes from the pool */
		known[B] && pool > 0 -> part[B]++; wrote(B); share[B] = part[B]
	}
	:: atomic {		/* adopts a running task of the dead member */
		dead && running[A] > 0 -> running[A]--; running[B]++; used[B]++; adopted++
	}
	:: atomic {		/* moves the part of adopted tasks */
		dead && adopted > 0 && part[A] > 0 && known[B] ->
		part[A]--; part[B]++; adopted--; wrote(B); share[B] = part[B]
	}
	:: atomic {		/* what others reserve is left to them once the adopted tasks fit */
		adopted > 0 && used[B] <= share[B] -> adopted = 0
	}
	:: atomic {		/* a task of the dead member ends unadopted */
		dead && running[A] > 0 -> running[A]--
	}
	:: atomic {		/* the part of the dead member returns to the pool */
		(dead && part[A] > 0 && known[B]
#ifndef FREE_DEAD_PART
		&& running[A] == 0 && adopted == 0 && used[B] <= share[B]
#endif
		) -> part[A] = 0; wrote(B)
	}
	od
}

init {
	atomic { part[A] = LIMIT; share[A] = LIMIT; known[A] = true; run giver(); run store(); run taker(); run start(A); run start(B) }
}
