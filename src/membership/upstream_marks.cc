// Rules that set, merge and clear leaving marks.

#include "membership/upstream_marks.h"

#include <algorithm>

#include "azuregw/base/rendezvous.h"

namespace azuregw {
namespace {

// Load reports lag: one measured within this time after the mark may describe the state before it.
constexpr int64_t kMaxReportLagMs = 5000;
// Readers of the list lag by different amounts, so an older state can reappear. A return is
// accepted only after the list has shown it for this time.
constexpr Milliseconds kListConfirmDuration{10000};
// Age at which marks are dropped.
constexpr int64_t kRetentionMs = int64_t{24} * 3600 * 1000;

uint64_t MarkHash(const std::string& upstream, uint64_t version, bool leaving) {
  return StableHash(upstream, version * 2 + (leaving ? 1 : 0));
}

}  // namespace

bool UpstreamMarks::MarkLeaving(const std::string& upstream, Instant at) {
  const auto it = m_marks.find(upstream);
  if (it != m_marks.end() && it->second.leaving) {
    return false;
  }
  return Set(upstream, true, at);
}

bool UpstreamMarks::Return(const std::string& upstream, Instant at) {
  const auto it = m_marks.find(upstream);
  if (it == m_marks.end() || !it->second.leaving) {
    return false;
  }
  return Set(upstream, false, at);
}

bool UpstreamMarks::OnReport(const std::string& upstream, bool leaving, int64_t measured_wall_ms,
                             Instant at) {
  const auto it = m_marks.find(upstream);
  const bool marked = it != m_marks.end() && it->second.leaving;
  if (leaving == marked) {
    return false;
  }
  const int64_t marked_at = it == m_marks.end() ? 0 : static_cast<int64_t>(it->second.version);
  if (it != m_marks.end() && measured_wall_ms <= marked_at + kMaxReportLagMs) {
    return false;
  }
  return Set(upstream, leaving, at);
}

bool UpstreamMarks::Merge(const wire::UpstreamUpdateT& update, Instant at) {
  if (static_cast<int64_t>(update.version) < at.wall_ms - kRetentionMs) {
    return false;
  }
  const auto it = m_marks.find(update.name);
  if (it != m_marks.end()) {
    const Mark& known = it->second;
    const bool newer = update.version > known.version ||
                       (update.version == known.version && update.leaving && !known.leaving);
    if (!newer) {
      return false;
    }
  }
  Mark mark;
  mark.version = update.version;
  mark.leaving = update.leaving;
  Replace(update.name, mark);
  return true;
}

bool UpstreamMarks::OnListed(const std::string& upstream, std::optional<bool> listed_leaving,
                             Instant at) {
  const bool is_listed_leaving = listed_leaving.value_or(false);
  const auto it = m_marks.find(upstream);
  if (it == m_marks.end()) {
    return is_listed_leaving && Set(upstream, true, at);
  }
  Mark& mark = it->second;
  if (mark.leaving) {
    return OnListedWhileLeaving(upstream, &mark, listed_leaving, at);
  }
  // After a return, a leaving entry in the list is ignored until the list has shown the upstream
  // live.
  if (listed_leaving && !is_listed_leaving) {
    mark.list_agreed = true;
  }
  return is_listed_leaving && mark.list_agreed && Set(upstream, true, at);
}

bool UpstreamMarks::OnListedWhileLeaving(const std::string& upstream, Mark* mark,
                                         std::optional<bool> listed_leaving, Instant at) {
  if (listed_leaving.value_or(true)) {
    mark->list_agreed = true;
    mark->listed_live_since.reset();
    return false;
  }
  if (!m_override_list) {
    return Set(upstream, false, at);
  }
  if (!mark->list_agreed) {
    return false;
  }
  if (!mark->listed_live_since) {
    mark->listed_live_since = at.now;
  }
  return at.now - *mark->listed_live_since >= kListConfirmDuration && Set(upstream, false, at);
}

std::set<std::string> UpstreamMarks::Names() const {
  std::set<std::string> names;
  for (const auto& [upstream, mark] : m_marks) {
    names.insert(upstream);
  }
  return names;
}

std::set<std::string> UpstreamMarks::Leaving() const {
  std::set<std::string> names;
  for (const auto& [upstream, mark] : m_marks) {
    if (mark.leaving) {
      names.insert(upstream);
    }
  }
  return names;
}

std::optional<wire::UpstreamUpdateT> UpstreamMarks::UpdateFor(const std::string& upstream) const {
  const auto it = m_marks.find(upstream);
  if (it == m_marks.end()) {
    return std::nullopt;
  }
  wire::UpstreamUpdateT update;
  update.name = upstream;
  update.version = it->second.version;
  update.leaving = it->second.leaving;
  return update;
}

void UpstreamMarks::ForgetOld(int64_t wall_ms) {
  for (auto it = m_marks.begin(); it != m_marks.end();) {
    if (static_cast<int64_t>(it->second.version) < wall_ms - kRetentionMs) {
      m_digest ^= MarkHash(it->first, it->second.version, it->second.leaving);
      it = m_marks.erase(it);
    } else {
      ++it;
    }
  }
}

bool UpstreamMarks::Set(const std::string& upstream, bool leaving, Instant at) {
  Mark mark;
  const auto it = m_marks.find(upstream);
  const uint64_t known = it == m_marks.end() ? 0 : it->second.version;
  mark.version = std::max(known + 1, static_cast<uint64_t>(std::max<int64_t>(at.wall_ms, 1)));
  mark.leaving = leaving;
  Replace(upstream, mark);
  return true;
}

void UpstreamMarks::Replace(const std::string& upstream, const Mark& mark) {
  const auto it = m_marks.find(upstream);
  if (it != m_marks.end()) {
    m_digest ^= MarkHash(upstream, it->second.version, it->second.leaving);
  }
  m_digest ^= MarkHash(upstream, mark.version, mark.leaving);
  m_marks[upstream] = mark;
}

}  // namespace azuregw
