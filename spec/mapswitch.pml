/* The switch of the expert map, with two ranks, two leaders and four sequence numbers.
 * A single process runs the enabled actions in any order. README.md lists what the model leaves out. */

#define RANKS 2
#define LEADERS 3	/* terms 1 and 2; 0 is unused */
#ifndef MAXSEQ
#define MAXSEQ 4
#endif
#ifndef MAXSTEP
#define MAXSTEP 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 1
#endif
#define ARMS 3		/* arms of one leader; 0 is unused */

#define NONE 0
#define HOLD 1
#define RUN 2
#define RELEASE 3

/* The durable state, with the decision on each sequence number. */
byte logTerm = 1, logSeq = 1, inForce = 1;
bool isRun[MAXSEQ + 1];		/* false when abandoned */
byte decided[MAXSEQ + 1];	/* step of the layout */
byte vector[MAXSEQ + 1];	/* incarnation of rank 0 in the layout */

/* The leaders: the state that they have received, the switch in progress and the arms they have sent. */
bool isReady[LEADERS];
byte viewSeq[LEADERS];
byte arm[LEADERS];		/* number of arms sent */
byte armSeq[LEADERS * ARMS], armStep[LEADERS * ARMS], armVector[LEADERS * ARMS];
byte acked[LEADERS * ARMS];	/* one bit per rank */
byte proposed[LEADERS];		/* the arm whose run is proposed; 0 for none */
bool isAbandoning[LEADERS];

/* The ranks: the state of the engine, then that of the sidecar. The engine of rank 0 may restart once. */
byte incarnation[RANKS], step[RANKS], layout[RANKS], pending[RANKS];
byte holdSeq[RANKS], holdStep[RANKS], holdToken[RANKS];
byte known[RANKS], knownForce[RANKS];
/* An order from a sidecar that has since restarted, still in flight to the engine. */
byte late[RANKS], lateSeq[RANKS], lateStep[RANKS], lateToken[RANKS];
byte restarts = 0, crashes = 0;

/* The steps: the layout with which each rank began a step, and the layout with which the step ended. */
byte began[RANKS * (MAXSTEP + 1)];
byte ended[MAXSTEP + 1];

byte r, t, n, s, a, v, other;

#define NEWEST(r) (pending[r] != 0 -> pending[r] : layout[r])
#define INDEX(t, a) ((t) * ARMS + (a))
/* The fencing token of an arm; a later term has higher tokens. */
#define TOKEN(t, a) ((t) * 4 + (a))
#define IS_MEMBER(r, v) ((r) != 0 || incarnation[0] == (v))

#ifdef NO_READBACK
#define MAY_ORDER(r) (true)
#else
#define MAY_ORDER(r) (late[r] == NONE)
#endif

#ifdef NO_FENCE
#define IS_LEADER(t) (true)
#define MAY_MOVE(r, t, a) (true)
#else
#define IS_LEADER(t) (logTerm == (t))
#define MAY_MOVE(r, t, a) (TOKEN(t, a) >= holdToken[r])
#endif

/* A hold that an engine grants while its last layout is still pending would make it skip that layout. */
#ifdef NO_WAIT_IN_USE
#define MAY_SKIP(r, v) (true)
#else
#define MAY_SKIP(r, v) (pending[r] == 0 || armVector[v] != vector[pending[r]])
#endif

/* A leader evaluates holds only while it may propose. */
#define IS_AWAITED(t) (armSeq[INDEX(t, arm[t])] == viewSeq[t] + 1 && proposed[t] == 0 && IS_LEADER(t))

#ifdef NO_ARM
#define IS_ARMED(t) (true)
#else
#define IS_ARMED(t) (acked[INDEX(t, arm[t])] == 3)
#endif

inline obey(r, kind, seq, at, token) {
	if
	:: kind == HOLD -> holdSeq[r] = seq; holdStep[r] = at; holdToken[r] = token
	:: kind == RUN ->
		pending[r] = seq; holdSeq[r] = 0; holdStep[r] = 0; holdToken[r] = 0;
		/* An engine that joins, or whose group is stalled, continues at the step of the layout. */
		if
		:: (layout[r] == 0 || vector[seq] != vector[layout[r]]) && step[r] + 1 < decided[seq] ->
			step[r] = decided[seq] - 1
		:: else
		fi
	:: kind == RELEASE -> holdSeq[r] = 0; holdStep[r] = 0; holdToken[r] = 0
	fi
}

/* The order reaches the engine, or the sidecar restarts while the order is in flight. */
inline order(r, kind, seq, at, token) {
	if
	:: obey(r, kind, seq, at, token)
	:: restarts < RESTARTS && late[r] == NONE ->
		restarts++;
		late[r] = kind; lateSeq[r] = seq; lateStep[r] = at; lateToken[r] = token;
		known[r] = 0; knownForce[r] = 0
	fi
}

inline learn(r, seq) {
	if
	:: seq > known[r] ->
		known[r] = seq;
		n = seq;
		do
		:: n > 1 && !isRun[n] -> n--
		:: else -> break
		od;
		knownForce[r] = n;
		n = 0
	:: else
	fi
}

inline begin(r) {
	s = step[r] + 1;
	if
	:: pending[r] != 0 && s >= decided[pending[r]] -> layout[r] = pending[r]; pending[r] = 0
	:: else
	fi;
	step[r] = s;
	began[r * (MAXSTEP + 1) + s] = layout[r];
	other = began[(1 - r) * (MAXSTEP + 1) + s];
	if
	:: other != 0 && vector[other] == vector[layout[r]] ->
		/* All members of the layout have begun the step. */
		assert(other == layout[r]);
		assert(ended[s] == 0 || ended[s] == layout[r]);
		ended[s] = layout[r]
#ifdef REACH_RUN
		; assert(!(layout[r] > 1 && restarts == 1 && logTerm == 2))
#endif
#ifdef REACH_REPLACED
		; assert(vector[layout[r]] != 2)
#endif
	:: else
	fi;
	/* Steps that both ranks have passed are cleared, which reduces the number of states. */
	other = (step[0] < step[1] -> step[0] : step[1]);
	do
	:: other > 1 ->
		other--;
		began[other] = 0; began[(MAXSTEP + 1) + other] = 0
	:: else -> break
	od;
	s = 0; other = 0
}

/* The next step may begin when no hold forbids it and the other member has begun the previous step. */
#define CAN_BEGIN(r) (step[r] < MAXSTEP && NEWEST(r) != 0 && \
	(layout[r] != 0 || step[r] + 1 >= decided[NEWEST(r)]) && IS_MEMBER(r, vector[NEWEST(r)]) && \
	(holdSeq[r] == 0 || step[r] + 1 < holdStep[r]) && \
	(step[r] == 0 || began[(1 - r) * (MAXSTEP + 1) + step[r]] != 0 || \
		(pending[r] != 0 && vector[pending[r]] != vector[layout[r]])))

active proctype system() {
	atomic {
		incarnation[0] = 1; incarnation[1] = 1;
		layout[0] = 1; layout[1] = 1;
		known[0] = 1; known[1] = 1; knownForce[0] = 1; knownForce[1] = 1;
		decided[1] = 1; vector[1] = 1; isRun[1] = true;
		isReady[1] = true; viewSeq[1] = 1
	}
end:	do
	/* --- the log */
	:: atomic { logTerm <= TAKEOVERS && logSeq < MAXSEQ ->
		/* Leader 2 takes over and abandons the sequence number of the switch that leader 1 may have in progress. */
		logTerm = 2; logSeq++;
		isReady[2] = true; viewSeq[2] = logSeq
	}
	:: atomic {
		t = 1;
		if
		:: t = 1
		:: t = 2
		fi;
		a = proposed[t];
		if
		:: a != 0 && IS_LEADER(t) && armSeq[INDEX(t, a)] == logSeq + 1 && armStep[INDEX(t, a)] > decided[inForce] ->
			logSeq++;
			decided[logSeq] = armStep[INDEX(t, a)];
			vector[logSeq] = armVector[INDEX(t, a)];
			isRun[logSeq] = true;
			inForce = logSeq
		:: isAbandoning[t] && logTerm == t && viewSeq[t] == logSeq && logSeq < MAXSEQ ->
			logSeq++
		:: else
		fi;
		t = 0; a = 0
	}
	/* --- the leaders */
	:: atomic {
		if
		:: t = 1
		:: isReady[2] -> t = 2
		fi;
		if
		:: isReady[t] && viewSeq[t] < logSeq && IS_LEADER(t) ->
			viewSeq[t] = logSeq; acked[INDEX(t, arm[t])] = 0;
			proposed[t] = 0; isAbandoning[t] = false
		/* Arm, or arm again for another step. The number of arms is bounded. */
		:: isReady[t] && arm[t] < ARMS - 1 && proposed[t] == 0 && !isAbandoning[t] && viewSeq[t] < MAXSEQ ->
			acked[INDEX(t, arm[t])] = 0;
			arm[t]++;
			a = INDEX(t, arm[t]);
			armSeq[a] = viewSeq[t] + 1;
			if
			:: armStep[a] = 2
			:: armStep[a] = 3
			fi;
			if
			:: armVector[a] = 1
			:: incarnation[0] == 2 -> armVector[a] = 2
			fi
		/* All ranks have granted the hold. */
		:: isReady[t] && arm[t] > 0 && proposed[t] == 0 && !isAbandoning[t] &&
		   armSeq[INDEX(t, arm[t])] == viewSeq[t] + 1 && IS_ARMED(t) && IS_LEADER(t) ->
			proposed[t] = arm[t]
		:: isReady[t] && proposed[t] == 0 && !isAbandoning[t] && viewSeq[t] < MAXSEQ && IS_LEADER(t) ->
			isAbandoning[t] = true
		:: else
		fi;
		t = 0; a = 0
	}
	/* --- the sidecars; any message that was sent may arrive now, again, or never */
	:: atomic {
		if
		:: r = 0
		:: r = 1
		fi;
		if
		:: MAY_ORDER(r) ->
			if
			/* The durable state arrives. */
			:: known[r] < logSeq -> learn(r, logSeq)
			:: known[r] + 1 < logSeq -> learn(r, known[r] + 1)
#ifdef NO_DURABLE
			/* The ranks get a decision that is only proposed and not yet durable. */
			:: proposed[1] != 0 && armSeq[INDEX(1, proposed[1])] == holdSeq[r] && pending[r] == 0 && holdSeq[r] > logSeq ->
				a = INDEX(1, proposed[1]);
				decided[armSeq[a]] = armStep[a]; vector[armSeq[a]] = armVector[a];
				obey(r, RUN, armSeq[a], 0, 0);
				a = 0
#endif
			/* An arm arrives together with the durable state before it. */
			:: true ->
				if
				:: t = 1; a = 1
				:: t = 1; a = 2
				:: t = 2; a = 1
				:: t = 2; a = 2
				fi;
				v = INDEX(t, a);
				if
				:: a <= arm[t] && armSeq[v] > known[r] -> learn(r, armSeq[v] - 1)
				:: else
				fi;
				if
				:: a <= arm[t] && armSeq[v] == known[r] + 1 && IS_MEMBER(r, armVector[v]) &&
				   (NEWEST(r) == 0 || NEWEST(r) == knownForce[r]) &&
				   MAY_SKIP(r, v) &&
				   MAY_MOVE(r, t, a) && step[r] < armStep[v] ->
					order(r, HOLD, armSeq[v], armStep[v], TOKEN(t, a))
				:: else
				fi;
				t = 0; a = 0; v = 0
			/* The durable state decides a hold: run the layout or release the hold. */
			:: knownForce[r] > NEWEST(r) && holdSeq[r] == knownForce[r] && IS_MEMBER(r, vector[knownForce[r]]) ->
				order(r, RUN, knownForce[r], 0, 0)
			:: holdSeq[r] != 0 && holdSeq[r] <= known[r] && holdSeq[r] != knownForce[r] ->
				order(r, RELEASE, 0, 0, 0)
			/* The sidecar reads the engine's state, finds the hold, and reports it to the leader. */
			:: holdSeq[r] != 0 && holdToken[r] != 0 ->
				t = holdToken[r] / 4; a = holdToken[r] % 4;
				if
				:: a == arm[t] && armSeq[INDEX(t, a)] == holdSeq[r] && step[r] < holdStep[r] && IS_AWAITED(t) ->
					acked[INDEX(t, a)] = acked[INDEX(t, a)] | (1 << r)
				:: else
				fi;
				t = 0; a = 0
			fi
		:: else
		fi;
		r = 0
	}
	/* --- the engines */
	:: atomic { CAN_BEGIN(0) -> begin(0) }
	:: atomic { CAN_BEGIN(1) -> begin(1) }
	:: atomic { late[0] != NONE -> obey(0, late[0], lateSeq[0], lateStep[0], lateToken[0]);
		late[0] = NONE; lateSeq[0] = 0; lateStep[0] = 0; lateToken[0] = 0 }
	:: atomic { late[1] != NONE -> obey(1, late[1], lateSeq[1], lateStep[1], lateToken[1]);
		late[1] = NONE; lateSeq[1] = 0; lateStep[1] = 0; lateToken[1] = 0 }
	/* The engine of rank 0 restarts and loses its state. */
	:: atomic { crashes < CRASHES && late[0] == NONE ->
		crashes++;
		incarnation[0] = 2; step[0] = 0; layout[0] = 0; pending[0] = 0;
		holdSeq[0] = 0; holdStep[0] = 0; holdToken[0] = 0;
		known[0] = 0; knownForce[0] = 0 }
	od
}
