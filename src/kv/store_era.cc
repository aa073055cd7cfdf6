// Comparison of the eras of calls and answers.

#include "azuregw/kv/store_era.h"

namespace azuregw {

std::optional<Error> EraError(StoreCall call, EraVerdict verdict) {
  if (verdict == EraVerdict::kCurrent) {
    return std::nullopt;
  }
  const bool outdated = verdict == EraVerdict::kOutdated;
  const char* const reason =
      outdated ? "the answer predates a restore of the store" : "the store was restored meanwhile";
  switch (call) {
    case StoreCall::kRead:
      break;
    case StoreCall::kNextPage:
      return NotRun(ResultCode::kKvUnavailable, reason);
    case StoreCall::kWatch:
      return NotRun(ResultCode::kKvHistoryGone, reason);
    case StoreCall::kSwap:
      return Unknown(ResultCode::kKvOutcomeUnknown, reason);
    case StoreCall::kGrant:
      break;
    case StoreCall::kRenewal:
      return NotRun(ResultCode::kLeaseLapsed, reason);
  }
  return outdated ? std::optional<Error>(NotRun(ResultCode::kKvUnavailable, reason)) : std::nullopt;
}

EraVerdict StoreEra::OnAnswer(uint64_t sent, uint64_t era, TimePoint now) {
  if (era == 0) {
    return EraVerdict::kCurrent;
  }
  if (era < m_current) {
    return EraVerdict::kOutdated;
  }
  Raise(era, "store", now);
  return sent != 0 && era > sent ? EraVerdict::kRestored : EraVerdict::kCurrent;
}

void StoreEra::Raise(uint64_t era, std::string_view source, TimePoint now) {
  if (era <= m_current) {
    return;
  }
  const uint64_t previous = std::exchange(m_current, era);
  if (era > kFirst) {
    m_noticed_at = now;
  }
  if (previous == 0) {
    return;  // The first era that this process hears of.
  }
  ++m_restores;
  for (const Listener& listener : m_listeners) {
    listener(previous, source);
  }
}

}  // namespace azuregw
