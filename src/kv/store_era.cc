// Comparison of the eras of calls and answers.

#include "azuregw/kv/store_era.h"

namespace azuregw {

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

void StoreEra::Raise(uint64_t era, std::string_view source, TimePoint /*now*/) {
  if (era <= m_current) {
    return;
  }
  const uint64_t previous = std::exchange(m_current, era);
  if (previous == 0) {
    return;  // The first era that this process hears of.
  }
  ++m_restores;
  for (const Listener& listener : m_listeners) {
    listener(previous, source);
  }
}

}  // namespace azuregw
