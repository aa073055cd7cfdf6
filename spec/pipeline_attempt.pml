/* One stream through a chain of two layers (docs/design.md, section 4).
 *
 * Engine 0 holds layer 0. Engine 1 holds layer 1; engines 2 and 3 can replace it. Entry instance 0
 * runs the stream under attempt 1. The caller may lose it at any time and resume at entry instance
 * 1, which raises the attempt at the stages that it uses, while instance 0 may be paused and go on
 * later. A step may be answered late; an entry instance whose step has timed out may replace the
 * stage of layer 1 once, which recomputes the tokens so far under a new range epoch. The epochs of
 * two instances differ (PipelineSession draws a random base).
 *
 * Properties: each (epoch, layer, token) runs at most once, in order, and after the previous layer;
 * no step of an attempt runs after a higher one was raised; the caller gets each token once, in
 * order.
 *
 * Broken variants: NO_ATTEMPT_CHECK, NO_REPLY_CHECK, SAME_EPOCH (recompute under the same epoch),
 * SAME_EPOCH_BASE (two instances count their repairs from the same base).
 */

#define TOKENS  2
#define ENGINES 4
#define EPOCHS  3      /* 0: first chain; 1 and 2: repairs under attempts 1 and 2. */

mtype = { step, raise };

/* kind, entry instance, attempt, epoch, token: runs the tokens up to this one. */
chan request[ENGINES] = [2] of { mtype, byte, byte, byte, byte };
/* engine, epoch, token, refused */
chan reply[2] = [3] of { byte, byte, byte, bool };

/* Ghost state: runs of each (epoch, token) of layer 1, and of each token of layer 0. */
byte ran0[TOKENS];
byte ran1[EPOCHS * TOKENS];

byte connected = 0;    /* Entry instance whose stream the caller reads. */
byte received = 0;     /* Tokens that the caller has. */

proctype Engine(byte self) {
  byte from, attempt, epoch, token;
  byte highest = 0;    /* Highest attempt seen. */
  byte next = 0;       /* Next token of the sequence. */
  byte sequence = 0;   /* Its epoch; a replacement learns it from its first step. */
  bool known = false;
end:
  do
  :: atomic { request[self] ? raise(from, attempt, epoch, token) ->
       if
       :: attempt > highest -> highest = attempt
       :: else
       fi;
       if
       :: nfull(reply[from]) -> reply[from] ! self, epoch, TOKENS, false
       :: full(reply[from])                      /* Lost. */
       fi }
  :: atomic { request[self] ? step(from, attempt, epoch, token) ->
       if
#ifndef NO_ATTEMPT_CHECK
       :: attempt < highest ->
            if
            :: nfull(reply[from]) -> reply[from] ! self, epoch, token, true
            :: full(reply[from])
            fi
       :: attempt >= highest ->
#else
       :: true ->
#endif
            if
            :: !known -> known = true; sequence = epoch
            :: known
            fi;
            if
            :: sequence != epoch                 /* Another lineage: refused. */
            :: sequence == epoch ->
                 do
                 :: next <= token ->
                      assert(attempt >= highest);
                      if
                      :: self == 0 -> ran0[next]++; assert(ran0[next] == 1)
                      :: self != 0 ->
                           assert(ran0[next] == 1);       /* Layer order. */
                           ran1[epoch * TOKENS + next]++;
                           assert(ran1[epoch * TOKENS + next] == 1)
                      fi;
                      next++
                 :: next > token -> break        /* Run before: the stored result is sent. */
                 od;
                 if
                 :: attempt > highest -> highest = attempt
                 :: else
                 fi;
                 if
                 :: nfull(reply[from]) -> reply[from] ! self, epoch, token, false
                 :: full(reply[from])
                 fi
            fi
       fi }
  od
}

inline deliver(index) {
  if
  :: connected == self -> assert(index == received); received++
  :: else                                        /* Nobody reads this stream any more. */
  fi
}

proctype Entry(byte self) {
  byte engine = 1;       /* Of layer 1. */
  byte epoch = 0;
  byte attempt = self + 1;
  byte token = 0;
  byte r_engine, r_epoch, r_token;
  bool r_refused;
  byte repairs = 0;

  if
  :: self == 1 ->
       connected == 1;
       token = received;                         /* Last-Event-ID of the caller. */
       request[0] ! raise, self, attempt, 0, 0;
       request[1] ! raise, self, attempt, 0, 0;
raised:
       reply[self] ? r_engine, r_epoch, r_token, r_refused;
       if
       :: repairs == 0 -> repairs = 1; goto raised
       :: repairs == 1 -> repairs = 0
       fi
  :: else
  fi;

  do
  :: token >= TOKENS -> break
  :: token < TOKENS ->
       request[0] ! step, self, attempt, 0, token;
first: reply[self] ? r_engine, r_epoch, r_token, r_refused;
       if
       :: r_refused -> goto stop
       :: !r_refused && (r_engine != 0 || r_token != token) -> goto first
       :: else
       fi;
again: request[engine] ! step, self, attempt, epoch, token;
wait:  if
       :: atomic { reply[self] ? r_engine, r_epoch, r_token, r_refused ->
            if
#ifndef NO_REPLY_CHECK
            :: r_engine != engine || r_epoch != epoch || r_token != token -> goto wait
            :: r_engine == engine && r_epoch == epoch && r_token == token ->
#else
            :: true ->
#endif
                 if
                 :: r_refused -> goto stop
                 :: !r_refused -> deliver(r_token)
                 fi
            fi }
       :: atomic { repairs == 0 ->               /* The step has timed out. */
            repairs = 1;
            engine = 2 + self;
#ifdef SAME_EPOCH
            epoch = epoch;
#elif defined(SAME_EPOCH_BASE)
            epoch = 1;
#else
            epoch = attempt;
#endif
            goto again }
       :: timeout -> goto stop
       fi;
       token++
  od;
stop:
  skip
}

/* The caller loses its connection to instance 0 and resumes at instance 1. */
active proctype Caller() {
  if
  :: connected = 1
  :: skip
  fi
}

init {
  atomic {
    run Engine(0); run Engine(1); run Engine(2); run Engine(3);
    run Entry(0); run Entry(1)
  }
}
