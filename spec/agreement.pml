/* Consensus on the log of control: three replicas, elections by term, append, commit, restarts and one lost disk, and
 * two operators who submit changes with the same expected revision.
 * Sending a request and its effect at the receiver are one action. A partitioned leader continues until it receives a
 * later term. So an old message is modelled by sending it late instead of delivering it late. */

#define N 3
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 2
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define CANDIDATE 1
#define LEADER 2
#define ROW(r, i) ((r) * (MAXLOG + 1) + (i))
#define CELL(l, f) ((l) * N + (f))
#define BIT(r) (1 << (r))
#define IS_QUORUM(set) ((set) == 3 || (set) == 5 || (set) == 6 || (set) == 7)

/* State on disk. Entry 0 is unused. An entry consists of its term and its change: 1 or 2 for the change of an operator,
 * 3 for an entry that the leader appends itself. */
byte term[N], votedTerm[N], votedFor[N], length[N];
byte logTerm[N * (MAXLOG + 1)], logChange[N * (MAXLOG + 1)];
/* State in memory. */
byte role[N], votes[N], commit[N], match[N * N];
bool isLost[N];			/* the disk is lost: the replica may take part only under another identity */
/* The entries committed at any replica, and the changes reported to operators as accepted. */
byte chosenTerm[MAXLOG + 1], chosenChange[MAXLOG + 1], chosen = 0;
bool accepted[4];
byte losses = 0, restarts = 0, submitted = 0;
byte c, v, l, f, i, k;

#define LAST_TERM(r) (logTerm[ROW(r, length[r])])
#ifdef NO_LOG_CHECK
#define IS_UP_TO_DATE(c, v) (true)
#else
#define IS_UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || \
	(LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))
#endif

#ifdef LOST_DISK_VOTES
#define TAKES_PART(r) (true)
#else
#define TAKES_PART(r) (!isLost[r])
#endif

#ifdef COMMIT_OLD_TERM
#define IS_OWN_TERM(r, i) (true)
#else
#define IS_OWN_TERM(r, i) (logTerm[ROW(r, i)] == term[r])
#endif

inline pick(x) {
	if
	:: x = 0
	:: x = 1
	:: x = 2
	fi
}

inline stepDown(r) {
	role[r] = 0; votes[r] = 0;
	match[CELL(r, 0)] = 0; match[CELL(r, 1)] = 0; match[CELL(r, 2)] = 0
}

/* Both changes of operators expect revision 0: the first one that is committed is accepted. */
inline apply(r, upTo) {
	i = commit[r] + 1;
	do
	:: i <= upTo ->
		if
		:: chosen >= i ->
			/* There is one value per index, and a committed value is never lost. */
			assert(chosenTerm[i] == logTerm[ROW(r, i)] && chosenChange[i] == logChange[ROW(r, i)])
		:: else ->
			chosen = i; chosenTerm[i] = logTerm[ROW(r, i)]; chosenChange[i] = logChange[ROW(r, i)]
		fi;
		i++
	:: else -> break
	od;
	commit[r] = upTo;
	i = 0
}

inline answer(r) {
	/* The first change in the committed log is the one accepted. */
	k = 0;
	i = 1;
	do
	:: i <= commit[r] && k == 0 && logChange[ROW(r, i)] < 3 -> k = logChange[ROW(r, i)]; i++
	:: i <= commit[r] && !(k == 0 && logChange[ROW(r, i)] < 3) -> i++
	:: else -> break
	od;
	if
	:: k != 0 -> accepted[k] = true
	:: else
	fi;
	/* Of two changes that expect the same revision, at most one is accepted. */
	assert(!(accepted[1] && accepted[2]));
	i = 0; k = 0
}

active proctype system() {
end:	do
	/* A replica becomes a candidate. */
	:: atomic {
		pick(c);
		if
		:: term[c] < MAXTERM && role[c] != LEADER && TAKES_PART(c) ->
			term[c]++; votedTerm[c] = term[c]; votedFor[c] = c;
			stepDown(c); role[c] = CANDIDATE; votes[c] = BIT(c)
		:: else
		fi;
		c = 0 }
	/* A replica receives a vote request. */
	:: atomic {
		pick(c); pick(v);
		if
		:: c != v && role[c] == CANDIDATE && term[c] >= term[v] && TAKES_PART(v) ->
			/* The replica adopts a later term whether or not it grants the vote. */
			if
			:: term[v] < term[c] -> stepDown(v); term[v] = term[c]
			:: else
			fi;
			if
			:: IS_UP_TO_DATE(c, v) && !(votedTerm[v] == term[c] && votedFor[v] != c) ->
				votedTerm[v] = term[c]; votedFor[v] = c;
				votes[c] = votes[c] | BIT(v)
			:: else
			fi
		:: else
		fi;
		c = 0; v = 0 }
	:: atomic {
		pick(c);
		if
		:: role[c] == CANDIDATE && IS_QUORUM(votes[c]) ->
			role[c] = LEADER; votes[c] = 0; match[CELL(c, c)] = length[c]
		:: else
		fi;
		c = 0 }
	/* The leader appends an operator's change or an entry of its own. */
	:: atomic {
		pick(l);
		if
		:: role[l] == LEADER && length[l] < MAXLOG ->
			if
			:: (submitted & 1) == 0 -> k = 1; submitted = submitted | 1
			:: (submitted & 2) == 0 -> k = 2; submitted = submitted | 2
			:: k = 3
			fi;
			length[l]++;
			logTerm[ROW(l, length[l])] = term[l]; logChange[ROW(l, length[l])] = k;
			match[CELL(l, l)] = length[l];
#ifdef EARLY_ANSWER
			/* The change is reported as accepted before it is committed. */
			accepted[k] = true;
			assert(!(accepted[1] && accepted[2]));
#endif
			k = 0
		:: else
		fi;
		l = 0 }
	/* A follower replicates the leader's log, syncs it to disk and acknowledges it. */
	:: atomic {
		pick(l); pick(f);
		if
		:: l != f && role[l] == LEADER && term[l] >= term[f] && TAKES_PART(f) &&
		   !(role[f] == LEADER && term[f] == term[l]) && match[CELL(l, f)] < length[l] ->
			stepDown(f);
			term[f] = term[l];
			i = 1;
			do
			:: i <= length[l] ->
				logTerm[ROW(f, i)] = logTerm[ROW(l, i)]; logChange[ROW(f, i)] = logChange[ROW(l, i)]; i++
			:: else -> break
			od;
			do
			:: i <= MAXLOG -> logTerm[ROW(f, i)] = 0; logChange[ROW(f, i)] = 0; i++
			:: else -> break
			od;
			length[f] = length[l];
			match[CELL(l, f)] = length[l];
			i = 0;
			/* A follower's commit index advances with the leader's, but not beyond the follower's log. */
			if
			:: commit[l] > commit[f] -> apply(f, commit[l])
			:: else
			fi
		:: else
		fi;
		l = 0; f = 0 }
	/* The leader commits the entries that a quorum has stored, and reports the accepted change. */
	:: atomic {
		pick(l);
		if
		:: role[l] == LEADER && commit[l] < length[l] ->
			f = commit[l] + 1;
			if
			:: f < length[l] -> f++
			:: true
			fi;
			c = (match[CELL(l, 0)] >= f -> 1 : 0) + (match[CELL(l, 1)] >= f -> 2 : 0) + (match[CELL(l, 2)] >= f -> 4 : 0);
			if
			:: IS_QUORUM(c) && IS_OWN_TERM(l, f) -> apply(l, f); answer(l)
			:: else
			fi;
			c = 0; f = 0
		:: else
		fi;
		l = 0 }
	/* A replica restarts with the state on its disk. */
	:: atomic { restarts < RESTARTS ->
		pick(c);
		restarts++;
		stepDown(c); commit[c] = 0;
#ifdef FORGET_VOTE
		votedTerm[c] = 0; votedFor[c] = 0;
#endif
#ifdef LOSE_UNSYNCED
		/* The last entry was acknowledged before it was synced. */
		if
		:: length[c] > 0 -> logTerm[ROW(c, length[c])] = 0; logChange[ROW(c, length[c])] = 0; length[c]--
		:: else
		fi;
#endif
		c = 0 }
	/* A replica loses its disk. */
	:: atomic { losses < LOSSES ->
		pick(c);
		losses++;
		isLost[c] = true;
		stepDown(c); commit[c] = 0;
		term[c] = 0; votedTerm[c] = 0; votedFor[c] = 0; length[c] = 0;
		logTerm[ROW(c, 1)] = 0; logChange[ROW(c, 1)] = 0;
		logTerm[ROW(c, MAXLOG)] = 0; logChange[ROW(c, MAXLOG)] = 0;
		c = 0 }
#ifdef REACH
	:: accepted[1] && chosen == MAXLOG && losses == 1 && chosenTerm[1] != chosenTerm[2] -> assert(false)
#endif
	od
}
