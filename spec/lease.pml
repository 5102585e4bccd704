/* Leases on the configuration: one process, a leader of control and its successor, a clock of ticks.
 * Clocks run at the same rate; that they may differ by a bounded rate is a margin on the lease in the code. */

#define LEASE 2		/* ticks for which a process acts, from its request on */
#define MAXTIME 6
#define MAXREV 3

byte now = 0;
/* Control: revision accepted, revision reported to be in force, when the lease of the process ends. */
byte accepted = 1, reported = 1;
byte leaseEnd = 0;
byte holds = 1;			/* revision that the process acknowledged */
byte leaders = 1, electedAt = 0;
/* One request and one reply may be under way, each as old as it likes. */
bool isAsked = false;
byte askedAt, askedRev;
bool isReplied = false;
byte replyAsked, replyRev;
bool isOldReplied = false;	/* a reply that is overtaken by a later one */
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
	/* The lease of a reply covers the revision that it carried, no older one. */
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
		/* Ends that have passed are all alike. */
		if
		:: actUntil <= now -> actUntil = 0
		:: else
		fi;
		if
		:: leaseEnd <= now -> leaseEnd = 0
		:: else
		fi }
	/* Control accepts a revision, and reports it in force when the process holds it or cannot act. */
	:: atomic { accepted < MAXREV -> accepted++ }
	:: atomic { reported < accepted && (holds == accepted || (IS_EXPIRED && IS_LEASE_KNOWN)) -> reported = accepted }
	/* A new leader knows the log, and neither leases nor acknowledgements. */
	:: atomic { leaders < 2 -> leaders++; electedAt = now; leaseEnd = 0; holds = 1 }
	/* The process asks; control grants from the arrival on, which is later than the request. */
	:: atomic { !isAsked -> isAsked = true; askedAt = now; askedRev = revision }
	:: atomic { isAsked ->
		/* The request arrives: what the process holds is acknowledged, the lease runs anew. */
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
	/* The process acts on its revision. */
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
