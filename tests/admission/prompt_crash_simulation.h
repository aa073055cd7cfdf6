// Simulation of a fleet whose engines crash under prompts with a bad part, in steps of 10 ms.

#ifndef TESTS_ADMISSION_PROMPT_CRASH_SIMULATION_H_
#define TESTS_ADMISSION_PROMPT_CRASH_SIMULATION_H_

#include <cstdint>

#include "azuregw/base/clock.h"

namespace azuregw {

struct PromptCrashOptions {
  uint64_t seed = 1;
  int instances = 9;
  int engines = 33;
  // Engines that begin nearly all paths; the others begin one in ten.
  int busy_engines = 5;
  double requests_per_s = 79;
  double bad_per_s = 4;
  Milliseconds bad_from{5000};
  Milliseconds duration{40000};
  // Longest time from new evidence at one instance to its use at another one, each way.
  Milliseconds exchange_delay{150};
  Milliseconds stable_window{3000};
  double ordinary_crashes_per_s = 0;
  Milliseconds domain_loss_interval{0};  // Of a third of the engines; 0: none.
  Milliseconds restart_interval{0};      // Of one instance, the leader each third time; 0: none.
};

struct PromptCrashResult {
  int bad_crashes = 0;             // Engines that exited under the bad part.
  int bad_sends_after_window = 0;  // Sends later than the window after the fifth such exit.
  int64_t sound_blocked = 0;       // Sends of sound requests that were blocked.
  double sound_blocked_share = 0;  // Of all sound requests.
  int quarantined_sound_parts = 0;
  int sound_parts = 0;
  // Share of the sound requests that began at their first attempt, from two windows after the fifth
  // exit on.
  double sound_begun_share = 1;
};

PromptCrashResult SimulatePromptCrashes(const PromptCrashOptions& options);

}  // namespace azuregw

#endif  // TESTS_ADMISSION_PROMPT_CRASH_SIMULATION_H_
