// Averages the rates of the links and models their queueing delay.

#include "azuregw/fleet/link_load.h"

#include <algorithm>
#include <cmath>

namespace azuregw {
namespace {

// Rates below this are not reported, in tokens per second.
constexpr double kMinReportedRate = 20;
// Cost of an idle link per output token, as a fraction of the time that it takes to transfer the
// prompt. A crossing also delays the streams that use the link later.
constexpr double kIdleCost = 0.5;
// Utilization above which the modeled cost does not grow further.
constexpr double kMaxModeledUtilization = 0.95;

}  // namespace

LinkId LinkBetween(std::string_view source, std::string_view target) {
  // FNV-1a over both names and a separator.
  uint32_t hash = 2166136261U;
  const auto add = [&hash](std::string_view text) {
    for (const char c : text) {
      hash = (hash ^ static_cast<uint8_t>(c)) * 16777619U;
    }
  };
  add(source);
  add(">");
  add(target);
  return hash;
}

void LinkLoad::OnTransfer(LinkId link, double tokens, TimePoint now) {
  const double current = OwnRate(link, now) * std::chrono::duration<double>(kWindow).count();
  m_own[link] = Own{current + tokens, now};
}

double LinkLoad::OwnRate(LinkId link, TimePoint now) const {
  const auto found = m_own.find(link);
  if (found == m_own.end()) {
    return 0;
  }
  const double window_s = std::chrono::duration<double>(kWindow).count();
  const double age_s = std::chrono::duration<double>(now - found->second.updated).count();
  return found->second.tokens / window_s * std::exp(-std::max(0.0, age_s) / window_s);
}

double LinkLoad::Rate(LinkId link, TimePoint now, int assumed_instances) const {
  const double own = OwnRate(link, now);
  if (assumed_instances > 0) {
    return own * assumed_instances;
  }
  const auto found = m_others.find(link);
  return own + (found == m_others.end() ? 0 : found->second);
}

std::unordered_map<LinkId, double> LinkLoad::OwnRates(TimePoint now) const {
  std::unordered_map<LinkId, double> rates;
  for (const auto& [link, own] : m_own) {
    const double rate = OwnRate(link, now);
    if (rate >= kMinReportedRate) {
      rates[link] = rate;
    }
  }
  return rates;
}

LinkUse LinkUseWith(double rate, double prompt_tokens, double bytes_per_token,
                    double capacity_mbps) {
  LinkUse use;
  if (capacity_mbps <= 0) {
    return use;
  }
  const double tokens_per_s = capacity_mbps * 1e6 / 8 / std::max(1.0, bytes_per_token);
  const double window_s = std::chrono::duration<double>(LinkLoad::kWindow).count();
  use.utilization = (rate + prompt_tokens / window_s) / tokens_per_s;
  const double transfer_ms = 1000 * prompt_tokens / tokens_per_s;
  const double modeled = std::min(kMaxModeledUtilization, rate / tokens_per_s);
  // The queueing delay grows with u / (1 - u), and each stream adds to the delay of the others.
  use.cost_ms = transfer_ms * (kIdleCost + modeled / ((1 - modeled) * (1 - modeled)));
  return use;
}

}  // namespace azuregw
