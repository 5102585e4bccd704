/* The claim of an idempotency key, the dispatch of the call and its reconciliation: one key, two entries,
 * two attempts, one sidecar. The log of the claims is taken as agreed; see agreement.pml. */

#define ATTEMPTS 3	/* 1 and 2; 0 is not used */
#define FREE 0
#define RUNNING 1
#define RAN 2
#define UNKNOWN 3
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* The quorum: state of the key, the attempt in force, the epoch it was admitted under. */
byte keyState = FREE, keyAttempt = 0;
byte claimEpoch[ATTEMPTS];
/* Messages: a start may be delivered at any time after it was sent, any number of times. */
bool sentStart[ATTEMPTS];
/* The sidecar, without a disk: its epoch, what it remembers of each attempt. */
byte epoch = 1;
bool started[ATTEMPTS], barred[ATTEMPTS];
/* The truth: runs of the call, and attempts of which a caller was told that they did not run. */
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
	/* An entry claims the key for a new attempt, under the epoch that it was told. */
	:: atomic { keyState == FREE && keyAttempt < ATTEMPTS - 1 ->
		keyAttempt++; keyState = RUNNING; claimEpoch[keyAttempt] = epoch }
#ifdef NO_CLAIM
	:: atomic { keyState == RUNNING && keyAttempt < ATTEMPTS - 1 ->
		keyAttempt++; claimEpoch[keyAttempt] = epoch }
#endif
	/* The entry dispatches, now or much later; when it dies between, it never does. */
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
	/* The sidecar restarts and knows nothing; the upstream goes on. */
	:: atomic { restarts < RESTARTS ->
		restarts++; epoch++;
		started[1] = false; started[2] = false; barred[1] = false; barred[2] = false }
	/* Any entry asks the sidecar after the attempt in force, and settles the key with the answer. */
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
		/* The epoch is gone: whether the attempt ran cannot be told. */
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
