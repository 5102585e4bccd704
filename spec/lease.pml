/* Leases on the configuration: one process, a leader of control and its successor, and a clock that counts ticks.
 * All clocks run at the same rate. The code allows for a bounded difference in rate by a margin on the lease. */

#define LEASE 2		/* length of a lease in ticks, counted from the request of the process */
#define MAXTIME 6
#define MAXREV 3

byte now = 0;
/* Control: the accepted revision, the revision reported as in force, and the end of the process's lease. */
byte accepted = 1, reported = 1;
byte leaseEnd = 0;
byte holds = 1;			/* revision that the process has acknowledged */
byte leaders = 1, electedAt = 0;
/* One request and one reply may be in flight, each for any length of time. */
bool isAsked = false;
byte askedAt, askedRev;
bool isReplied = false;
byte replyAsked, replyRev;
bool isOldReplied = false;	/* an older reply that a later one may overtake */
byte oldAsked, oldRev;
/* The process. */
byte revision = 1, actUntil = 0, highest = 1;
bool hasActed = false;

#ifdef FROM_REPLY
#define UNTIL(asked) (now + LEASE)
#else
#define UNTIL(asked) ((asked) + LEASE)
#endif

#ifdef NO_EXPIRY
#define MAY_ACT (now <= MAXTIME)
#else
#define MAY_ACT (now < actUntil)
#endif

#ifdef NO_WAIT
#define IS_EXPIRED (true)
#else
#define IS_EXPIRED (now >= leaseEnd)
#endif

#ifdef NO_LEADER_WAIT
#define IS_LEASE_KNOWN (true)
#else
#define IS_LEASE_KNOWN (leaders == 1 || now >= electedAt + LEASE)
#endif

inline take(asked, rev) {
#ifdef TAKE_OLDER
	revision = rev;
#else
	if
	:: rev > revision -> revision = rev
	:: else
	fi;
#endif
	/* The lease in a reply covers the revision in that reply and no older one. */
	if
	:: rev >= revision && UNTIL(asked) > actUntil && UNTIL(asked) > now -> actUntil = UNTIL(asked)
	:: else
	fi;
	assert(revision >= highest);
	highest = revision
}

active proctype system() {
end:	do
	:: atomic { now < MAXTIME -> now++;
		/* All times in the past are equivalent; storing them as 0 reduces the number of states. */
		if
		:: actUntil <= now -> actUntil = 0
		:: else
		fi;
		if
		:: leaseEnd <= now -> leaseEnd = 0
		:: else
		fi }
	/* Control accepts a revision. It reports it as in force when the process has acknowledged it or can no longer act. */
	:: atomic { accepted < MAXREV -> accepted++ }
	:: atomic { reported < accepted && (holds == accepted || (IS_EXPIRED && IS_LEASE_KNOWN)) -> reported = accepted }
	/* A new leader has the log, but neither the leases nor the acknowledgements. */
	:: atomic { leaders < 2 -> leaders++; electedAt = now; leaseEnd = 0; holds = 1 }
	/* The process requests a lease. Control counts the lease from the arrival, which is not before the request. */
	:: atomic { !isAsked -> isAsked = true; askedAt = now; askedRev = revision }
	:: atomic { isAsked ->
		/* The request arrives. It acknowledges the revision of the process and renews the lease. */
		isAsked = false;
		if
		:: askedRev > holds -> holds = askedRev
		:: else
		fi;
		leaseEnd = now + LEASE;
		if
		:: isReplied -> isOldReplied = true; oldAsked = replyAsked; oldRev = replyRev
		:: else
		fi;
		isReplied = true; replyAsked = askedAt; replyRev = accepted;
		askedAt = 0; askedRev = 0 }
	:: atomic { isAsked -> isAsked = false; askedAt = 0; askedRev = 0 }
	:: atomic { isReplied -> isReplied = false; take(replyAsked, replyRev); replyAsked = 0; replyRev = 0 }
	:: atomic { isReplied -> isReplied = false; replyAsked = 0; replyRev = 0 }
	:: atomic { isOldReplied -> isOldReplied = false; take(oldAsked, oldRev); oldAsked = 0; oldRev = 0 }
	/* The process acts on its revision, which must not be older than the one reported as in force. */
	:: atomic { MAY_ACT -> assert(revision >= reported);
#ifdef REACH
		hasActed = true
#endif
		}
#ifdef REACH
	:: hasActed && reported == MAXREV && leaders == 2 && now < MAXTIME -> assert(false)
#endif
	od
}
