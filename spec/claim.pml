/*
 * Claims of one non-idempotent request over one view change.
 *
 * Members 0, 1 and 2 are the holders of the claim at epoch 1. At epoch 2, member 3 replaces member 0, which has left the
 * view but may still act. Claimers 0 and 1 run in members 0 and 1. A vote is one atomic step at a holder; a claimer may
 * pause between any two of its steps. One holder may crash and lose its votes. It does not come back, because a new
 * incarnation of it would not be a holder of epoch 1.
 *
 * ONE_VOTE is the broken variant: one vote is enough for a grant.
 */
#define HOLDERS 4
#define CLAIMERS 2

#ifdef ONE_VOTE
#define QUORUM 1
#else
#define QUORUM 2
#endif

byte epoch = 1;
byte view[HOLDERS];		/* epoch of the view that a member has entered */
bool dead[HOLDERS];
bool crashed;
byte votes[HOLDERS];		/* claims that the holder keeps, one bit per claimer */
bool transferred[HOLDERS];		/* the transfer to this member has finished: its claims have arrived, unless uncertain is set */
bool uncertain[HOLDERS];	/* a claim of an earlier epoch may have been lost */
byte asked[HOLDERS];		/* members that have answered the transfer, one bit each */
byte asked_from[CLAIMERS];	/* number of holders asked; claimer 0 asks in ascending order, claimer 1 in descending order */
byte granted[CLAIMERS];		/* votes that the claimer has received */
byte at[CLAIMERS];		/* epoch at which the claimer asks */
bool unsure[CLAIMERS];		/* a vote came from an uncertain holder */
bool abandoned[CLAIMERS];	/* the claimer has released the votes and never uses the claim again */
bool dispatched[CLAIMERS];
byte dispatches;

#define holds(h, e) ((e) == 1 && (h) < 3 || (e) == 2 && (h) > 0)
#define fetches(h) (!dead[me] && view[me] == 2 && !transferred[me] && me != h && !(asked[me] & (1 << h)) && !dead[h] && view[h] == 2)
#define ones(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1) + (((x) >> 3) & 1))

proctype store() {
end:	atomic { epoch == 1 -> epoch = 2 }
}

proctype crash() {
	byte h;
end:	atomic {
		!crashed -> crashed = true;
		if
		:: h = 1
		:: h = 2
		:: h = 3
		fi;
		dead[h] = true; votes[h] = 0; view[h] = 0; asked[h] = 0; transferred[h] = false; uncertain[h] = false; h = 0
	}
}

proctype holder(byte me) {
	byte from;
end:	do
	:: atomic {		/* enter the new view; the member no longer votes at the old epoch */
		!dead[me] && me > 0 && view[me] == 1 && epoch == 2 ->
		view[me] = 2; transferred[me] = false; asked[me] = 1 << me
	}
	:: atomic {		/* fetch the claims of a member that has entered the view too */
		if
		:: fetches(1) -> from = 1
		:: fetches(2) -> from = 2
		:: fetches(3) -> from = 3
		fi;
		votes[me] = votes[me] | votes[from]; asked[me] = asked[me] | (1 << from); from = 0
	}
	:: atomic {		/* finish the transfer; answers of two of the three holders of epoch 1 intersect every quorum */
		!dead[me] && view[me] == 2 && !transferred[me] &&
		((asked[me] | (dead[1] << 1) | (dead[2] << 2) | (dead[3] << 3)) & 14) == 14 ->
		transferred[me] = true; uncertain[me] = (ones(asked[me] & 7) < 2); asked[me] = 0
	}
	od
}

proctype claimer(byte me) {
	byte h;
end:	do
	:: atomic {		/* begin at the epoch that its member has entered */
		!dead[me] && at[me] == 0 -> at[me] = view[me]
	}
	:: atomic {		/* ask the next holder for its vote */
		!dead[me] && at[me] > 0 && !dispatched[me] && !abandoned[me] && asked_from[me] < HOLDERS ->
		h = (me == 0 -> asked_from[me] : HOLDERS - 1 - asked_from[me]);
		asked_from[me]++;
		if
		:: !dead[h] && holds(h, at[me]) && view[h] == at[me] && transferred[h] && (votes[h] == 0 || votes[h] == (1 << me)) ->
			votes[h] = 1 << me;
			if
			:: granted[me]++; unsure[me] = unsure[me] || uncertain[h]
			:: skip	/* the reply is lost */
			fi
		:: else
		fi;
		h = 0
	}
	:: atomic {		/* abandon the claim and release the votes */
		!dead[me] && at[me] > 0 && !dispatched[me] && !abandoned[me] ->
		abandoned[me] = true; granted[me] = 0; unsure[me] = false; asked_from[me] = 0;
		votes[0] = votes[0] & ~(1 << me); votes[1] = votes[1] & ~(1 << me);
		votes[2] = votes[2] & ~(1 << me); votes[3] = votes[3] & ~(1 << me)
	}
	:: atomic {		/* validate the grant and dispatch the request to a backend server */
		!dead[me] && !dispatched[me] && granted[me] >= QUORUM && !unsure[me] && !abandoned[me] && view[me] == at[me] ->
		dispatched[me] = true; dispatches++;
		granted[me] = 0; asked_from[me] = 0;
		assert(dispatches <= 1)
	}
	od
}

init {
	atomic {
		view[0] = 1; view[1] = 1; view[2] = 1; view[3] = 1;
		transferred[0] = true; transferred[1] = true; transferred[2] = true;
		run store(); run crash();
		run holder(0); run holder(1); run holder(2); run holder(3);
		run claimer(0); run claimer(1)
	}
}
