/* The switch of a group's expert map with the orders hold, arm and go (Release in the Go code). There are two ranks and
 * the leaders of two terms; the first leader may continue after the second has begun. An order that was sent is
 * executed at any later time, once, or never. See README.md. */

#define RANKS 2
#ifndef MAXSTEP
#define MAXSTEP 5
#endif
/* The number of passes between arming a switch and the switch. */
#define LEAD 2

#define PREPARE 1
#define ARM 2
#define DISARM 3
#define HOLD 4
#define GO 5

/* The orders of one leader: it settles the state of an earlier leader, makes its own switch, and settles again when its
 * hold got no answer. */
#define FENCES 0		/* and 1 */
#define SETTLE_HOLD 2
#define DISARMS 3		/* and 4 */
#define SETTLE_GO 5		/* and 6 */
#define PREPARES 7		/* and 8 */
#define SWITCH_HOLD 9
#define ARMS 10			/* and 11 */
#define SWITCH_GO 12
#define AGAIN 13		/* settling again: seven orders, in the same order as from FENCES to SETTLE_GO */
#define ORDERS 20

/* A version that no map uses. */
#define NO_VERSION 9

#define UNSENT 0
#define SENT 1
#define DONE 2
#define UNFIT 3
#define FENCED 4

/* The fencing token of an order, which grows with its term and its number. Without fencing all tokens are equal. */
#ifdef NO_FENCE
#define TOKEN(i) 1
#else
#define TOKEN(i) ((i) + 1)
#endif

/* The state of the group. */
byte step = 0;
byte fence[RANKS], mapping[RANKS], prepared[RANKS], newest[RANKS], armed[RANKS], armedStep[RANKS], held[RANKS];

/* The state of the orders. The first ORDERS belong to leader 1, the others to leader 2. */
byte state[2 * ORDERS], kind[2 * ORDERS], rank[2 * ORDERS], version[2 * ORDERS], atStep[2 * ORDERS];

inline send(i, k, r, v, s) {
	kind[i] = k; rank[i] = r; version[i] = v; atStep[i] = s; state[i] = SENT
}

/* A rank executes an order. */
inline carryOut(i) {
	if
	:: TOKEN(i) < fence[rank[i]] -> state[i] = FENCED
	:: else ->
		fence[rank[i]] = TOKEN(i);
		if
		:: kind[i] == PREPARE && version[i] > newest[rank[i]] && armed[rank[i]] == 0 ->
			prepared[rank[i]] = version[i]; newest[rank[i]] = version[i]; state[i] = DONE
		:: kind[i] == ARM && prepared[rank[i]] == version[i] && atStep[i] > step ->
			armed[rank[i]] = version[i]; armedStep[rank[i]] = atStep[i]; state[i] = DONE
		:: kind[i] == DISARM && mapping[rank[i]] != version[i] ->
			if
			:: armed[rank[i]] == version[i] -> armed[rank[i]] = 0; armedStep[rank[i]] = 0
			:: else
			fi;
			state[i] = DONE
		:: kind[i] == HOLD && held[rank[i]] == 0 && atStep[i] > step -> held[rank[i]] = atStep[i]; state[i] = DONE
		:: kind[i] == GO && held[rank[i]] == atStep[i] -> held[rank[i]] = 0; state[i] = DONE
		:: else -> state[i] = UNFIT
		fi
	fi
}

#define CARRY(i) :: d_step { state[i] == SENT -> carryOut(i) }
#define CARRY4(i) CARRY(i) CARRY((i) + 1) CARRY((i) + 2) CARRY((i) + 3)
#define CARRY20(i) CARRY4(i) CARRY4((i) + 4) CARRY4((i) + 8) CARRY4((i) + 12) CARRY4((i) + 16)

active proctype Network() {
end:
	do
	CARRY20(0)
	CARRY20(20)
	od
}

active proctype Group() {
end:
	do
	:: atomic {
		step < MAXSTEP && held[0] != step + 1 && held[1] != step + 1 ->
		step++;
		if
		:: armed[0] != 0 && armedStep[0] == step -> mapping[0] = armed[0]; armed[0] = 0; armedStep[0] = 0
		:: else
		fi;
		if
		:: armed[1] != 0 && armedStep[1] == step -> mapping[1] = armed[1]; armed[1] = 0; armedStep[1] = 0
		:: else
		fi;
		assert(mapping[0] == mapping[1]);
#ifdef REACH
		assert(!(mapping[0] == 2 && mapping[1] == 2))
#endif
	}
	od
}

/* A waiting leader may also stop, because it crashes or gives up. */
#define AWAIT(condition) if :: condition :: goto stopped fi

/* Removes what an earlier leader left behind; base is the index of the first order. First, every rank gets an order of
 * this term that changes nothing. After that, orders of earlier terms have no effect. */
inline settle(base) {
#ifdef DELAYED_STATE
	atomic { early = armed[1]; earlyStep = armedStep[1] };
#endif
	who = 0;
	do
	:: atomic { who < RANKS ->
		at = NO_VERSION;
#ifdef FENCE_BY_DISARM
		at = prepared[who];
#endif
		send(base + FENCES + who, DISARM, who, at, 0) };
		AWAIT(state[base + FENCES + who] == DONE || state[base + FENCES + who] == UNFIT);
		who++
	:: else -> break
	od;
	/* The leader reads the ranks one after the other. */
	atomic { seen[0] = armed[0]; at = armedStep[0] };
#ifdef DELAYED_STATE
	/* Rank 1 reports the state that it had before the orders of this term. */
	atomic { seen[1] = early; at = (at == 0 || earlyStep != 0 && earlyStep < at -> earlyStep : at) };
#else
	atomic { seen[1] = armed[1]; at = (at == 0 || armedStep[1] != 0 && armedStep[1] < at -> armedStep[1] : at) };
#endif
	if
	:: seen[0] != 0 || seen[1] != 0 ->
#ifndef NO_OWN_HOLD
		atomic {
			who = (held[0] != 0 && held[1] == 0 -> 1 : 0);
			send(base + SETTLE_HOLD, HOLD, who, 0, at)
		};
		AWAIT(state[base + SETTLE_HOLD] == DONE);
#endif
		who = 0;
		do
		:: who < RANKS && seen[who] != 0 ->
			send(base + DISARMS + who, DISARM, who, seen[who], 0);
			AWAIT(state[base + DISARMS + who] == DONE);
			who++
		:: who < RANKS && seen[who] == 0 -> who++
		:: who == RANKS -> break
		od
	:: else
	fi;
	who = 0;
	do
	:: who < RANKS ->
		at = held[who];
		if
		:: at != 0 ->
			send(base + SETTLE_GO + who, GO, who, 0, at);
			AWAIT(state[base + SETTLE_GO + who] == DONE || held[who] != at)
		:: else
		fi;
		who++
	:: else -> break
	od
}

proctype Leader(byte term) {
	byte base = (term - 1) * ORDERS;
	byte seen[RANKS], at, who;
#ifdef DELAYED_STATE
	byte early, earlyStep;
#endif
#ifndef NO_SETTLE
	if
	:: term > 1 -> settle(base)
	:: else
	fi;
#endif
	atomic { send(base + PREPARES, PREPARE, 0, term, 0); send(base + PREPARES + 1, PREPARE, 1, term, 0) };
	AWAIT(prepared[0] == term && prepared[1] == term);
	atomic { at = step + LEAD; send(base + SWITCH_HOLD, HOLD, 0, 0, at) };
#ifndef NO_HOLD
	if
	:: state[base + SWITCH_HOLD] == DONE
	:: goto stopped
	:: state[base + SWITCH_HOLD] == SENT ->
		/* No answer in time: the hold may still take effect. */
		settle(base + AGAIN);
		goto stopped
	fi;
#endif
	atomic { send(base + ARMS, ARM, 0, term, at); send(base + ARMS + 1, ARM, 1, term, at) };
#ifdef ARM_BY_ANSWER
	AWAIT(state[base + ARMS] == DONE);
	AWAIT(state[base + ARMS + 1] == DONE);
#else
#ifndef NO_READBACK
	AWAIT(armed[0] == term && armedStep[0] == at);
	AWAIT(armed[1] == term && armedStep[1] == at);
#endif
#endif
	send(base + SWITCH_GO, GO, 0, 0, at);
stopped:
	skip
}

init {
	run Leader(1);
	run Leader(2)
}
