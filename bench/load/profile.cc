// Profiles and schedules.

#include "bench/load/profile.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

namespace azuregw::load {
namespace {

constexpr int kLargeWorkspaces = 3;
constexpr double kLargeShare = 0.25;
constexpr int kSharedPrefixes = 4;
constexpr int kSharedPrefixWords = 120;

std::string Words(std::mt19937_64* random, int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += "w" + std::to_string((*random)() % 5000) + " ";
  }
  return text;
}

std::string SharedPrefix(int index) {
  std::mt19937_64 random(static_cast<uint64_t>(1000 + index));
  return Words(&random, kSharedPrefixWords);
}

int PickWorkspace(std::mt19937_64* random, int workspaces) {
  const double unit = std::uniform_real_distribution<double>(0, 1)(*random);
  if (workspaces <= kLargeWorkspaces || unit < kLargeWorkspaces * kLargeShare) {
    return static_cast<int>(unit / kLargeShare) % workspaces;
  }
  return kLargeWorkspaces +
         static_cast<int>((*random)() % static_cast<uint64_t>(workspaces - kLargeWorkspaces));
}

ArrivalKind PickKind(std::mt19937_64* random, const Profile& profile) {
  const double unit = std::uniform_real_distribution<double>(0, 1)(*random);
  if (unit < profile.order_share) {
    return ArrivalKind::kOrder;
  }
  return unit < profile.order_share + profile.lookup_share ? ArrivalKind::kLookup
                                                           : ArrivalKind::kStream;
}

}  // namespace

Profile FindProfile(const std::string& name) {
  Profile profile;
  profile.name = name;
  if (name == "dathanna") {
    profile.min_tokens = 8;
    profile.max_tokens = 24;
    profile.lookup_share = 0.10;
    profile.order_share = 0.05;
    profile.shared_prefix_share = 0.3;
    return profile;
  }
  if (name == "swanlink") {
    profile.min_tokens = 24;
    profile.max_tokens = 48;
    profile.lookup_share = 0.05;
    profile.order_share = 0.05;
    profile.steady = true;
    profile.shared_prefix_share = 0.5;
    return profile;
  }
  std::cerr << "unknown profile " << name << ": expected dathanna or swanlink\n";
  std::exit(1);
}

std::vector<Arrival> MakeSchedule(const Profile& profile, double tokens_per_second,
                                  std::chrono::milliseconds duration, int workspaces,
                                  uint64_t seed) {
  std::mt19937_64 random(seed);
  const double mean_tokens = (profile.min_tokens + profile.max_tokens) / 2.0;
  const double stream_share = 1.0 - profile.lookup_share - profile.order_share;
  const double arrivals_per_second = tokens_per_second / mean_tokens / stream_share;
  std::exponential_distribution<double> spacing(arrivals_per_second);
  std::vector<Arrival> schedule;
  double time = 0;
  const double end = std::chrono::duration<double>(duration).count();
  while (true) {
    time += profile.steady ? 1.0 / arrivals_per_second : spacing(random);
    if (time >= end) {
      return schedule;
    }
    Arrival arrival;
    arrival.at = std::chrono::microseconds(static_cast<int64_t>(time * 1e6));
    arrival.kind = PickKind(&random, profile);
    arrival.workspace = PickWorkspace(&random, workspaces);
    const auto spread = [&random](int low, int high) {
      return std::uniform_int_distribution<int>(low, high)(random);
    };
    if (arrival.kind == ArrivalKind::kStream) {
      const double unit = std::uniform_real_distribution<double>(0, 1)(random);
      if (unit < profile.shared_prefix_share) {
        arrival.prompt = SharedPrefix(spread(0, kSharedPrefixes - 1));
      }
      arrival.prompt += Words(&random, spread(profile.min_prompt_words, profile.max_prompt_words));
      arrival.max_tokens = spread(profile.min_tokens, profile.max_tokens);
    } else {
      arrival.key = "order-" + std::to_string(seed) + "-" + std::to_string(schedule.size());
    }
    schedule.push_back(std::move(arrival));
  }
}

}  // namespace azuregw::load
