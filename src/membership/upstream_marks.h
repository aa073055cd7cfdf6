// Leaving marks of upstreams and the evidence that lifts them.

#ifndef AZUREGW_SRC_MEMBERSHIP_UPSTREAM_MARKS_H_
#define AZUREGW_SRC_MEMBERSHIP_UPSTREAM_MARKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "azuregw/membership/membership.h"

namespace azuregw {

class UpstreamMarks {
 public:
  explicit UpstreamMarks(bool outrank_list) : m_outrank_list(outrank_list) {}

  // Each returns true when the mark changed.
  bool MarkLeaving(const std::string& upstream, Instant at);
  bool Return(const std::string& upstream, Instant at);
  bool OnReport(const std::string& upstream, bool leaving, int64_t measured_wall_ms, Instant at);
  bool Merge(const wire::UpstreamUpdateT& update, Instant at);
  // The upstream as the list shows it; `listed_leaving` is empty when it is absent.
  bool OnListed(const std::string& upstream, std::optional<bool> listed_leaving, Instant at);

  // Names with a mark, leaving or returned.
  std::set<std::string> Names() const;
  std::set<std::string> Leaving() const;
  std::optional<wire::UpstreamUpdateT> UpdateFor(const std::string& upstream) const;
  uint64_t Digest() const { return m_digest; }
  // Drops marks above the retention.
  void ForgetOld(int64_t wall_ms);

 private:
  struct Mark {
    uint64_t version = 0;  // Milliseconds since the Unix epoch, or one above the former version.
    bool leaving = false;
    // The list has agreed with the mark (for a leaving one: leaving or absent) since it was set.
    bool list_agreed = false;
    std::optional<TimePoint> listed_live_since;  // Only after list_agreed.
  };

  bool Set(const std::string& upstream, bool leaving, Instant at);
  bool OnListedAgainstLeaving(const std::string& upstream, Mark* mark,
                              std::optional<bool> listed_leaving, Instant at);
  void Replace(const std::string& upstream, const Mark& mark);

  const bool m_outrank_list;
  std::map<std::string, Mark> m_marks;
  uint64_t m_digest = 0;  // XOR over the hashes of all marks.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_UPSTREAM_MARKS_H_
