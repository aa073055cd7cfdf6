/* Claims of one order key (docs/design.md, section 5; src/orders).
 *
 * Each process is one request with the same key, at its own instance, with its own claim id. The
 * current record of the shard changes by compare-and-swap. A swap may be answered, may take effect
 * without an answer, or may be delayed and take effect at any later time. A request may be killed
 * or paused between any two steps (a pause is the interleaving itself); its deadline may pass at
 * any time before its dispatch. Readers decide freely whether a pending claim is overdue, so that
 * nothing depends on clocks. Settled claims may move into a sealed generation.
 *
 * Properties: at most one effect per key; a request that was told not_run has no effect, before or
 * after; a request that was told an answer is covered by the one effect.
 *
 * NO_DELAYS and NO_SEALER leave out delayed swaps and sealing, so that three requests can be searched.
 *
 * Broken variants: LEASE_CHECK, BLIND_REPEAT, REPEAT_DISPATCH, NOT_RUN_AFTER_TIMEOUT,
 * READER_RECORDS_NOT_RUN, MARK_HIDES_SEALED.
 */

#ifndef REQUESTS
#define REQUESTS 3
#endif

#define FREE    0
#define PENDING 1
#define RUN     2
#define NOT_RUN 3
#define UNKNOWN 4

#define NOTHING     0
#define ANSWER      1
#define IN_PROGRESS 5

/* Current record: the claim that holds the key. */
byte holder = 0;
byte state = FREE;
byte revision = 0;
/* Sealed generation that has the key. */
byte sealed_holder = 0;
byte sealed_state = FREE;

/* A delayed swap per request. */
bool delayed[REQUESTS + 1];
byte delayed_expected[REQUESTS + 1];
byte delayed_state[REQUESTS + 1];

/* Ghost state. */
byte effects = 0;
bool ran[REQUESTS + 1];
byte told[REQUESTS + 1];

inline read_record() {
  d_step {
    r_holder = holder; r_state = state; r_revision = revision;
    /* The claim that stands for the key; see EffectiveClaim. */
    s_holder = r_holder; s_state = r_state;
    if
    :: r_holder == 0 -> s_holder = sealed_holder; s_state = sealed_state
#ifndef MARK_HIDES_SEALED
    :: r_holder != 0 && r_state == NOT_RUN && sealed_holder != 0 && sealed_holder != r_holder ->
         s_holder = sealed_holder; s_state = sealed_state
#endif
    :: else
    fi
  }
}

inline apply_swap(new_holder, new_state) {
  holder = new_holder; state = new_state; revision++
}

/* Swaps (id, new_state) against r_revision. Result in `reply`: 0 done, 1 conflict, 2 lost. */
inline swap(new_state) {
  atomic {
    if
    :: revision == r_revision -> apply_swap(id, new_state); reply = 0
    :: revision == r_revision -> apply_swap(id, new_state); reply = 2
    :: revision != r_revision -> reply = 1
    :: revision != r_revision -> reply = 2
#ifndef NO_DELAYS
    :: !delayed[id] ->
         delayed[id] = true; delayed_expected[id] = r_revision; delayed_state[id] = new_state;
         reply = 2
#endif
    fi
  }
}

inline tell(what) {
  told[id] = what;
  assert(what != NOT_RUN || !ran[id]);
  assert(what != ANSWER || effects == 1)
}

inline effect() {
  assert(told[id] != NOT_RUN);
  effects++; ran[id] = true;
  assert(effects <= 1)
}

proctype Request(byte id) {
  byte r_holder, r_state, r_revision, s_holder, s_state, reply, outcome;
  bool lost = false;
  bool resent = false;

claim:
  if
  :: goto stop                                   /* killed */
  :: atomic { tell(NOT_RUN);                     /* deadline */
       if
       :: lost -> outcome = NOT_RUN; goto record
       :: else -> goto stop
       fi }
  :: read_record()
  fi;
  if
  :: s_holder == id && s_state == PENDING -> goto won
  :: s_holder == id && s_state != PENDING -> atomic { tell(NOT_RUN); goto stop }
#ifdef BLIND_REPEAT
  :: lost && !resent -> resent = true; goto write
#endif
  :: s_holder == 0 || (s_holder != id && s_state == NOT_RUN) -> goto write
  :: s_holder != 0 && s_holder != id && s_state == RUN -> atomic { tell(ANSWER); goto stop }
  :: s_holder != 0 && s_holder != id && s_state == UNKNOWN -> atomic { tell(UNKNOWN); goto stop }
  :: s_holder != 0 && s_holder != id && s_state == PENDING ->
       if
       :: atomic { tell(IN_PROGRESS); goto stop }
#ifdef LEASE_CHECK
       :: goto write                             /* the holder's lease has lapsed: take over */
#elif defined(READER_RECORDS_NOT_RUN)
       :: atomic {                               /* overdue: give up somebody else's claim */
            if
            :: revision == r_revision -> apply_swap(r_holder, NOT_RUN)
            :: else
            fi; goto claim }
#else
       :: atomic { tell(UNKNOWN); goto stop }    /* overdue */
#endif
       fi
  fi;

write:
  swap(PENDING);
  if
  :: reply == 0 -> goto won
  :: reply == 1 -> goto claim
  :: reply == 2 -> lost = true; goto claim
  fi;

won:
#ifdef LEASE_CHECK
  /* The holder looks at its lease and may be paused after that. */
  if
  :: holder == id
  :: holder != id -> atomic { tell(NOT_RUN); goto stop }
  fi;
#endif
  if
  :: goto stop                                   /* killed before the dispatch */
  /* The deadline has passed, or the upstream refused. A retry at another upstream after a refusal
   * is this same choice again. */
  :: atomic { tell(NOT_RUN); outcome = NOT_RUN; goto record }
  :: atomic { effect(); tell(ANSWER); outcome = RUN; goto record }
  :: atomic { effect(); goto stop }              /* killed after the dispatch */
  :: atomic { effect() }; goto no_reply
  :: goto no_reply                               /* lost before it took effect */
  fi;

no_reply:
#ifdef REPEAT_DISPATCH
  if
  :: !resent -> resent = true; goto won
  :: resent
  fi;
#endif
#ifdef NOT_RUN_AFTER_TIMEOUT
  atomic { tell(NOT_RUN); outcome = NOT_RUN }
#else
  atomic { tell(UNKNOWN); outcome = UNKNOWN }
#endif

record:
  if
  :: goto stop                                   /* killed */
  :: read_record()
  fi;
  if
  :: r_holder == 0 && !(sealed_holder == id && sealed_state == outcome)
  :: r_holder == id && r_state == PENDING
  :: r_holder == id && r_state == UNKNOWN && outcome != UNKNOWN
  :: else -> goto stop                           /* recorded, or the claim does not hold the key */
  fi;
  swap(outcome);
  if
  :: reply == 0 -> goto stop
  :: else -> goto record
  fi;

stop:
  skip
}

#ifndef NO_DELAYS
/* Lets delayed swaps take effect, or drops them. */
active proctype Network() {
  byte i;
end:
  do
  :: atomic {
       (delayed[1] || delayed[2] || delayed[REQUESTS]);
       if
       :: delayed[1] -> i = 1
       :: delayed[2] -> i = 2
       :: delayed[REQUESTS] -> i = REQUESTS
       fi;
       delayed[i] = false;
       if
       :: revision == delayed_expected[i] -> apply_swap(i, delayed_state[i])
       :: skip
       fi;
       delayed_expected[i] = 0; delayed_state[i] = 0; i = 0 }
  od
}

#endif

#ifndef NO_SEALER
/* Moves a settled claim into the sealed generation, once. An overdue pending claim counts as
 * unknown. */
active proctype Sealer() {
end:
  atomic {
    (sealed_holder == 0 && holder != 0 && state != NOT_RUN);
    sealed_holder = holder;
    sealed_state = state;
    if
    :: state == PENDING -> sealed_state = UNKNOWN
    :: else
    fi;
    apply_swap(0, FREE)
  }
}

#endif

init {
  atomic {
    byte n = 1;
    do
    :: n <= REQUESTS -> run Request(n); n++
    :: else -> break
    od
  }
}
