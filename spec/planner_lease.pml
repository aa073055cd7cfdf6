/* Orders to engines by the planner (docs/design.md, section 9).
 *
 * Two planners take the lease in turn; each grant raises the fencing number. A planner that was
 * paused goes on in the belief that it still holds the lease. Engine 0 checks fencing numbers,
 * engine 1 does not. Before sending, a planner writes the intent of the engine by compare-and-swap;
 * the swap fails when a newer holder has written one. The holder reads the engines back and repairs
 * what differs from the desired value, which changes once.
 *
 * Properties: engine 0 never executes an order below a fencing number it has seen; after a newer
 * holder has written its intent for an engine, at most one order of an older holder reaches it (the
 * one that was outstanding); under fairness both engines end at the desired value (`repaired`).
 *
 * Broken variants: NO_FENCING, NO_INTENT, NO_REPAIR.
 */

#define ENGINES 2

byte desired = 1;
byte fencing = 0;             /* Of the last grant, in the store. */
byte intent_fencing[ENGINES]; /* Fencing number of the intent record of each engine. */

byte engine_value[ENGINES];
byte engine_fencing[ENGINES]; /* Highest number seen; engine 1 stores it and does not check. */
byte late_orders[ENGINES];    /* Orders of older holders after the newest intent. */

inline engine_execute(e, value, number) {
  atomic {
    if
#ifndef NO_FENCING
    :: e == 0 && number < engine_fencing[e]    /* Refused. */
    :: e != 0 || number >= engine_fencing[e] ->
#else
    :: true ->
#endif
         assert(e != 0 || number >= engine_fencing[e]);
         engine_value[e] = value;
         if
         :: number > engine_fencing[e] -> engine_fencing[e] = number
         :: else
         fi;
         if
         :: number < intent_fencing[e] ->
              late_orders[e]++;
              assert(late_orders[e] <= 1)
         :: else
         fi
    fi
  }
}

/* `last` marks the planner that keeps the lease; the other one ends after a few rounds. */
proctype Planner(bool last) {
  byte number, wanted, e;
  byte rounds = 0;

  atomic { fencing++; number = fencing };
  do
  :: !last && rounds >= 3 -> break             /* Killed, or has seen that the lease is lost. */
  :: last || rounds < 3 ->
       if
       :: last
       :: else -> rounds++
       fi;
       e = 0;
       do
       :: e < ENGINES ->
            wanted = desired;
            if
#ifdef NO_REPAIR
            /* Sends each change once and never looks at the engine again. */
            :: last && intent_fencing[e] == number
            :: !(last && intent_fencing[e] == number) ->
#else
            :: engine_value[e] == wanted && intent_fencing[e] == number   /* Reads back. */
            :: else ->
#endif
                 atomic {
                   if
#ifndef NO_INTENT
                   :: intent_fencing[e] > number -> goto skipped  /* The swap failed. */
                   :: intent_fencing[e] <= number -> intent_fencing[e] = number
#else
                   :: intent_fencing[e] > number
                   :: intent_fencing[e] <= number -> intent_fencing[e] = number
#endif
                   fi
                 };
                 /* A pause may lie between the intent and the order. */
                 engine_execute(e, wanted, number)
            fi;
skipped:    e++
       :: else -> break
       od
  od
}

active proctype Configuration() {
  desired = 2
}

init {
  atomic { run Planner(false) };
  fencing == 1;                 /* The first planner got the lease first. */
  run Planner(true)
}

#ifdef LIVENESS
ltl repaired { <>[] (engine_value[0] == desired && engine_value[1] == desired) }
#endif
