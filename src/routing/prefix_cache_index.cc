// Event processing and lookup of the prefix cache index.

#include "azuregw/routing/prefix_cache_index.h"

#include <algorithm>
#include <mutex>

namespace azuregw {
namespace {

constexpr size_t kMaxLookups = 32;  // Prefix hashes examined by one Find.
// Number of matches at which Find stops examining hashes.
constexpr size_t kMaxMatches = 16;
constexpr size_t kMaxHoldersPerPrefix = 16;

}  // namespace

void PrefixCacheIndex::OnEvents(uint32_t engine, const CacheEvents& events) {
  const std::unique_lock<std::shared_mutex> lock(m_mutex);
  EngineCache& cache = m_engines[engine];
  // `next` is the ID of the engine's last event at the time of its answer.
  if (cache.seen && events.next < cache.last_event_id) {
    // The event IDs start over: the engine was restarted and its cache is empty.
    ++cache.epoch;
    cache.seen = false;
  }
  for (const CacheEvent& event : events.events) {
    if (cache.seen && event.id <= cache.last_event_id) {
      continue;  // Already applied.
    }
    if (cache.seen && event.id > cache.last_event_id + 1) {
      ++cache.epoch;
    }
    cache.seen = true;
    cache.last_event_id = event.id;
    if (event.stored) {
      Store(engine, cache.epoch, event.prefix_hash);
    } else {
      Evict(engine, event.prefix_hash);
    }
  }
  if (!cache.seen || events.next > cache.last_event_id) {
    if (cache.seen) {
      ++cache.epoch;  // The last event of the batch is older than `next`: events were lost.
    }
    cache.last_event_id = events.next;
    cache.seen = true;
  }
}

void PrefixCacheIndex::Find(gsl::span<const uint64_t> prefix_hashes,
                            std::vector<Match>* matches) const {
  const std::shared_lock<std::shared_mutex> lock(m_mutex);
  const size_t lookups = std::min(prefix_hashes.size(), kMaxLookups);
  for (size_t i = 0; i < lookups && matches->size() < kMaxMatches; ++i) {
    const size_t length = prefix_hashes.size() - i;
    const auto found = m_holders.find(prefix_hashes[length - 1]);
    if (found == m_holders.end()) {
      continue;
    }
    for (const Holder& holder : found->second) {
      if (m_engines.at(holder.engine).epoch != holder.epoch) {
        continue;
      }
      const bool known = std::any_of(matches->begin(), matches->end(), [&holder](const Match& m) {
        return m.engine == holder.engine;
      });
      if (!known) {
        matches->push_back({holder.engine, length});
      }
    }
  }
}

size_t PrefixCacheIndex::size() const {
  const std::shared_lock<std::shared_mutex> lock(m_mutex);
  return m_holders.size();
}

void PrefixCacheIndex::Store(uint32_t engine, uint32_t epoch, uint64_t prefix_hash) {
  const auto [entry, added] = m_holders.try_emplace(prefix_hash);
  std::vector<Holder>& holders = entry->second;
  holders.erase(std::remove_if(holders.begin(), holders.end(),
                               [this, engine](const Holder& holder) {
                                 return holder.engine == engine ||
                                        m_engines.at(holder.engine).epoch != holder.epoch;
                               }),
                holders.end());
  if (holders.size() == kMaxHoldersPerPrefix) {
    holders.erase(holders.begin());
  }
  holders.push_back({engine, epoch});
  if (!added) {
    return;
  }
  m_insertion_order.push_back(prefix_hash);
  while (m_holders.size() > m_max_prefixes || m_insertion_order.size() > 2 * m_max_prefixes) {
    m_holders.erase(m_insertion_order.front());
    m_insertion_order.pop_front();
  }
}

void PrefixCacheIndex::Evict(uint32_t engine, uint64_t prefix_hash) {
  const auto found = m_holders.find(prefix_hash);
  if (found == m_holders.end()) {
    return;
  }
  std::vector<Holder>& holders = found->second;
  holders.erase(std::remove_if(holders.begin(), holders.end(),
                               [engine](const Holder& holder) { return holder.engine == engine; }),
                holders.end());
  if (holders.empty()) {
    m_holders.erase(found);
  }
}

}  // namespace azuregw
