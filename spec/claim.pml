/* The claim of an idempotency key, the dispatch of the call and its reconciliation, with one key, two entries, two
 * attempts and one sidecar. The model assumes consensus on the log of claims; agreement.pml models that. */

#define ATTEMPTS 3	/* attempts 1 and 2; 0 is unused */
#define FREE 0
#define RUNNING 1
#define RAN 2
#define UNKNOWN 3
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* The durable state: the state of the key, the current attempt, and the epoch under which each attempt was claimed. */
byte keyState = FREE, keyAttempt = 0;
byte claimEpoch[ATTEMPTS];
/* Messages: a start may be delivered at any time after it was sent, and any number of times. */
bool sentStart[ATTEMPTS];
/* The sidecar, which has no disk: its epoch, and which attempts it has started or barred. */
byte epoch = 1;
bool started[ATTEMPTS], barred[ATTEMPTS];
/* What really happened: the runs of the call, and the attempts that were reported to a caller as not run. */
byte runs = 0, runsOf[ATTEMPTS];
bool toldNotRun[ATTEMPTS], toldRan = false;
byte restarts = 0;
byte a;

inline execute(x) {
	runs++; runsOf[x]++;
	assert(runs <= 1);
	assert(!toldNotRun[x])
}

#ifdef NO_EPOCH
#define IS_ADMITTED(x) (true)
#else
#define IS_ADMITTED(x) (claimEpoch[x] == epoch)
#endif

#ifdef NO_MEMORY
#define IS_NEW(x) (!barred[x])
#else
#define IS_NEW(x) (!started[x] && !barred[x])
#endif

active proctype system() {
end:	do
	/* An entry claims the key for a new attempt under the sidecar's epoch that it knows. */
	:: atomic { keyState == FREE && keyAttempt < ATTEMPTS - 1 ->
		keyAttempt++; keyState = RUNNING; claimEpoch[keyAttempt] = epoch }
#ifdef NO_CLAIM
	:: atomic { keyState == RUNNING && keyAttempt < ATTEMPTS - 1 ->
		keyAttempt++; claimEpoch[keyAttempt] = epoch }
#endif
	/* The entry dispatches the attempt at any later time, or never when it crashes first. */
	:: atomic { keyAttempt > 0 ->
		if
		:: a = 1
		:: keyAttempt > 1 -> a = 2
		fi;
		sentStart[a] = true; a = 0 }
	/* A start arrives at the sidecar. */
	:: atomic {
		if
		:: a = 1
		:: a = 2
		fi;
		if
		:: sentStart[a] && IS_ADMITTED(a) && IS_NEW(a) -> started[a] = true; execute(a)
		:: else
		fi;
		a = 0 }
	/* The sidecar restarts and loses its state. The upstream continues. */
	:: atomic { restarts < RESTARTS ->
		restarts++; epoch++;
		started[1] = false; started[2] = false; barred[1] = false; barred[2] = false }
	/* Any entry queries the sidecar for the current attempt and resolves the key with the answer. */
	:: atomic { keyState == RUNNING ->
		if
		:: claimEpoch[keyAttempt] == epoch && !started[keyAttempt] ->
#ifndef NO_BAR
			barred[keyAttempt] = true;
#endif
			toldNotRun[keyAttempt] = true; keyState = FREE;
			assert(runsOf[keyAttempt] == 0)
		:: claimEpoch[keyAttempt] == epoch && started[keyAttempt] -> keyState = RAN; toldRan = true;
			assert(runs == 1)
		/* The sidecar has restarted since the claim: whether the attempt ran is unknown. */
		:: claimEpoch[keyAttempt] != epoch -> keyState = UNKNOWN
#ifdef EPOCH_IS_NOTRUN
		:: claimEpoch[keyAttempt] != epoch -> keyState = FREE; toldNotRun[keyAttempt] = true;
			assert(runsOf[keyAttempt] == 0)
#endif
#ifdef TIMEOUT_IS_NOTRUN
		:: keyState = FREE; toldNotRun[keyAttempt] = true
#endif
		fi }
#ifdef REACH
	:: toldRan && toldNotRun[1] && runsOf[2] == 1 -> assert(false)
#endif
	od
}
