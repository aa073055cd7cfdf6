/* Changes of the preset in force (docs/design.md, section 6).
 *
 * Two operators swap the record from revision r to r+1, each with its own change id. Replies may be
 * lost, and a swap may be delayed and take effect later. Readers get values from the store (also
 * late ones, as from a lagging watch) and from each other. A reader may restart, and then learns
 * the highest revision that its peers have before it is ready.
 *
 * Properties: revisions form one sequence without gaps, and no change overwrites another; a change
 * that an operator was told "accepted" is in the history; no reader applies a revision below the
 * one it has; a restarted reader is not below any live peer when it becomes ready; under fairness
 * a reader ends at the revision in force (property `converge`, searched with ONE_READER).
 *
 * Broken variants: NO_REVISION_CHECK, ACCEPTED_WITHOUT_CONFIRMATION, OVERWRITE_WITHOUT_COMPARE,
 * STALE_START (a restarted reader takes an old value of a cache in place of its peers').
 */

#define READERS 2
#ifndef CHANGES
#define CHANGES 3           /* Change ids 1 and 3 of operator 0, 2 of operator 1. */
#endif

byte revision = 1;          /* Of the record in the store. */
byte history[CHANGES + 3];  /* Change id that made each revision; 0: none. */
byte accepted = 0;          /* Number of changes that an operator was told are accepted. */

bool delayed[2];
byte delayed_expected[2], delayed_change[2];

byte applied[READERS];      /* 0: restarted and not ready. */

inline write_record(change, expected) {
  assert(revision == expected);       /* One sequence; nothing is overwritten. */
  revision++;
  history[revision] = change
}

proctype Operator(byte self) {
  byte change, base, reply, found, n;
  byte tries = 0;
  change = self + 1;

next:
  base = revision;
swap_it:
  atomic {
    if
#ifdef OVERWRITE_WITHOUT_COMPARE
    :: write_record(change, base); reply = 0
#else
    :: revision == base -> write_record(change, base); reply = 0
    :: revision == base -> write_record(change, base); reply = 2
    :: revision != base -> reply = 1
    :: revision != base -> reply = 2
    :: !delayed[self] ->
         delayed[self] = true; delayed_expected[self] = base; delayed_change[self] = change;
         reply = 2
#endif
    fi
  }
  if
  :: reply == 0 -> goto told_accepted
  :: reply == 1 -> goto finish                 /* Told "conflict", with the winner's revision. */
  :: reply == 2 ->
#ifdef ACCEPTED_WITHOUT_CONFIRMATION
       goto told_accepted
#else
       d_step {                                /* Looks for its own change id. */
         found = 0; n = 1;
         do
         :: n <= revision -> 
              if
              :: history[n] == change -> found = 1
              :: else
              fi; n++
         :: else -> break
         od; n = 0
       }
       if
       :: found -> goto told_accepted
       :: !found && revision == base && tries < 1 -> tries++; goto swap_it
       :: else -> goto finish                  /* Told "conflict" or "outcome unknown". */
       fi
#endif
  fi;

told_accepted:
  atomic {
    d_step {
      found = 0; n = 1;
      do
      :: n <= revision ->
           if
           :: history[n] == change -> found++
           :: else
           fi; n++
      :: else -> break
      od; n = 0
    }
    assert(found == 1);
    accepted++
  }

finish:
  if
  :: change + 2 <= CHANGES -> change = change + 2; tries = 0; goto next
  :: else -> change = 0; base = 0; reply = 0; found = 0; tries = 0
  fi
}

#ifndef OVERWRITE_WITHOUT_COMPARE
active proctype Network() {
end:
  do
  :: atomic { delayed[0] -> delayed[0] = false;
       if
       :: revision == delayed_expected[0] -> write_record(delayed_change[0], revision)
       :: skip
       fi; delayed_expected[0] = 0; delayed_change[0] = 0 }
  :: atomic { delayed[1] -> delayed[1] = false;
       if
       :: revision == delayed_expected[1] -> write_record(delayed_change[1], revision)
       :: skip
       fi; delayed_expected[1] = 0; delayed_change[1] = 0 }
  od
}
#endif

inline apply(value) {
  if
#ifdef NO_REVISION_CHECK
  :: value != applied[self] && applied[self] != 0 ->
#else
  :: value > applied[self] && applied[self] != 0 ->
#endif
       assert(value > applied[self]);
       applied[self] = value
  :: else
  fi
}

proctype Reader(byte self) {
  byte value = 0;
  byte lags = 0;
  byte restarts = 0;
end:
  do
  :: applied[self] != 0 && revision != applied[self] ->       /* Reads the store. */
       value = revision;
got:   /* Other steps may run between the read and its use: a pause, or a late delivery. */
       atomic { apply(value); value = 0 }
  :: atomic { applied[self] != 0 && lags < 1 && revision > 1 ->   /* A lagging watch or cache. */
       lags++;
       if
       :: value = revision - 1
       :: value = 1
       fi; goto got }
  :: atomic { applied[self] != 0 && applied[1 - self] > applied[self] -> value = applied[1 - self];
       goto got }                                             /* A push of a peer. */
#ifndef ONE_READER
  :: atomic { restarts < 1 -> restarts++; applied[self] = 0 } /* The process is replaced. */
#endif
  :: atomic { applied[self] == 0 && applied[1 - self] != 0 -> /* Learns from its live peers. */
#ifdef STALE_START
       value = 1;
#else
       value = applied[1 - self];
#endif
       assert(value >= applied[1 - self]);
       applied[self] = value; value = 0 }
  :: atomic { applied[self] == 0 && applied[1 - self] == 0 -> /* No live peer: from the store. */
       applied[self] = revision }
  od
}

init {
  atomic {
    history[1] = 9;
    applied[0] = 1; applied[1] = 1;
    run Operator(0); run Operator(1);
#ifndef ONE_READER
    run Reader(1);
#endif
    run Reader(0)
  }
}

#ifdef LIVENESS
ltl converge { <>[] (applied[0] == revision) }
#endif
