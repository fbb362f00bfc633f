/*
 * Division of one team's limit among members, in a record that is changed only by compare-and-swap.
 *
 * Member A (0) starts with an allocation of the whole limit, moves parts of it to member B (1) and may die at any time. A
 * write of A may take effect late, and its reply may be lost. After A has died, its tasks run until they end or until B
 * adopts them with their backend server.
 *
 * FREE_DEAD_PART is the broken variant: the allocation of a dead member returns to the pool at once.
 */
#define LIMIT 3
#define A 0
#define B 1

/* The record. */
byte recorded[2];			/* allocations in the record */

/* The members. */
byte cached[2];			/* own allocation in the record as last read or written */
byte used[2];			/* tasks counted against the own allocation */
byte adopted;			/* tasks whose allocation B has not moved from A yet */
bool dead;
byte lowered;			/* amount that A gave, or may have given, in a write with an unknown outcome */
bool in_flight;			/* A's write may still take effect */
bool matches;			/* the record still has the revision that A's write expects */
bool known[2];			/* the member knows the current revision */

byte running[2];		/* tasks on the backend servers of A and B */

#define total (running[A] + running[B])
#define pool (LIMIT - recorded[A] - recorded[B])

inline wrote(me) { known[1 - me] = false; known[me] = true; matches = false }

proctype start(byte me) {
end:	do
	:: atomic {		/* reserve and start a task */
		!(me == A && dead) && used[me] + (me == A -> lowered : 0) < cached[me] ->
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
	:: atomic {		/* lower the amount that may be started, then send the write */
		!dead && lowered == 0 && !in_flight && used[A] < cached[A] ->
		lowered = 1; in_flight = true; matches = known[A]
	}
	:: atomic {		/* read the record; at an unchanged revision, another write invalidates the pending one */
		!dead ->
		if
		:: in_flight && matches -> in_flight = false; wrote(A)
		:: else -> in_flight = false
		fi;
		known[A] = true; matches = false; cached[A] = recorded[A]; lowered = 0
	}
	:: atomic { !dead -> dead = true; used[A] = 0; cached[A] = 0; lowered = 0 }
	od
}

proctype store() {
end:	do
	:: atomic {		/* A's write takes effect or fails; its reply may be lost */
		in_flight -> in_flight = false;
		if
		:: matches && recorded[A] > 0 ->
			recorded[A]--; recorded[B]++; known[B] = false; known[A] = false; matches = false;
			if
			:: !dead -> known[A] = true; cached[A] = recorded[A]; lowered = 0
			:: true
			fi
		:: else
		fi
	}
	od
}

proctype taker() {
end:	do
	:: atomic { !known[B] -> cached[B] = recorded[B]; known[B] = true }
	:: atomic {		/* take from the pool */
		known[B] && pool > 0 -> recorded[B]++; wrote(B); cached[B] = recorded[B]
	}
	:: atomic {		/* adopt a running task of the dead member */
		dead && running[A] > 0 -> running[A]--; running[B]++; used[B]++; adopted++
	}
	:: atomic {		/* move the allocation of an adopted task */
		dead && adopted > 0 && recorded[A] > 0 && known[B] ->
		recorded[A]--; recorded[B]++; adopted--; wrote(B); cached[B] = recorded[B]
	}
	:: atomic {		/* the own allocation covers the adopted tasks, so A's is left alone */
		adopted > 0 && used[B] <= cached[B] -> adopted = 0
	}
	:: atomic {		/* a task of the dead member ends before it is adopted */
		dead && running[A] > 0 -> running[A]--
	}
	:: atomic {		/* the allocation of the dead member returns to the pool */
		(dead && recorded[A] > 0 && known[B]
#ifndef FREE_DEAD_PART
		&& running[A] == 0 && adopted == 0 && used[B] <= cached[B]
#endif
		) -> recorded[A] = 0; wrote(B)
	}
	od
}

init {
	atomic { recorded[A] = LIMIT; cached[A] = LIMIT; known[A] = true; run giver(); run store(); run taker(); run start(A); run start(B) }
}
