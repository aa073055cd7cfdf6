// Workload profiles of the load tool and the schedule of arrivals that a seed gives.

#ifndef BENCH_LOAD_PROFILE_H_
#define BENCH_LOAD_PROFILE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azuregw::load {

struct Profile {
  std::string name;
  int min_prompt_words = 8;
  int max_prompt_words = 40;
  int min_tokens = 12;
  int max_tokens = 24;
  double lookup_share = 0;         // Repeatable service calls per request.
  double order_share = 0;          // Orders with an idempotency key per request.
  bool steady = false;             // Even spacing instead of Poisson arrivals.
  double shared_prefix_share = 0;  // Requests that start with one of a few long common prompts.
};

// After the users: "dathanna" (short answers in bursts, bookings and deposits) or "swanlink"
// (steady counter load, longer answers). Exits with a message on another name.
Profile FindProfile(const std::string& name);

enum class ArrivalKind { kStream, kLookup, kOrder };

struct Arrival {
  std::chrono::microseconds at{0};
  ArrivalKind kind = ArrivalKind::kStream;
  int workspace = 0;
  std::string prompt;
  int max_tokens = 0;
  std::string key;  // Of an order.
};

// Arrivals over `duration`, such that streams ask for `tokens_per_second` on average. Workspaces 0
// to 2 are large (25 % of the requests each), the others share the rest.
std::vector<Arrival> MakeSchedule(const Profile& profile, double tokens_per_second,
                                  std::chrono::milliseconds duration, int workspaces,
                                  uint64_t seed);

}  // namespace azuregw::load

#endif  // BENCH_LOAD_PROFILE_H_
