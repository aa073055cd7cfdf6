// Leaving marks of upstreams and the evidence that clears them.

#ifndef AZUREGW_SRC_MEMBERSHIP_UPSTREAM_MARKS_H_
#define AZUREGW_SRC_MEMBERSHIP_UPSTREAM_MARKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "azuregw/membership/membership.h"

namespace azuregw {

// Holds one versioned mark per upstream that left or returned within the retention time. Marks of
// several instances converge by Merge: the higher version wins, and leaving wins a tie. See
// Membership::ReturnUpstream for the evidence that clears a mark. Not thread-safe.
class UpstreamMarks {
 public:
  // With `override_list` false, a live list entry clears a mark at once; for tests only.
  explicit UpstreamMarks(bool override_list) : m_override_list(override_list) {}

  // The mutators return true if the mark changed.
  bool MarkLeaving(const std::string& upstream, Instant at);
  bool Return(const std::string& upstream, Instant at);
  bool OnReport(const std::string& upstream, bool leaving, int64_t measured_wall_ms, Instant at);
  bool Merge(const wire::UpstreamUpdateT& update, Instant at);
  // Applies the upstream's entry in the instance list; `listed_leaving` is empty if it has none.
  bool OnListed(const std::string& upstream, std::optional<bool> listed_leaving, Instant at);

  // Returns the upstreams that have a mark, leaving or returned.
  std::set<std::string> Names() const;
  std::set<std::string> Leaving() const;
  // Returns the mark as an update for other instances; empty without a mark.
  std::optional<wire::UpstreamUpdateT> UpdateFor(const std::string& upstream) const;
  uint64_t Digest() const { return m_digest; }
  // Drops marks older than the retention time.
  void ForgetOld(int64_t wall_ms);

 private:
  struct Mark {
    uint64_t version = 0;  // Unix time in ms, or the previous version plus one.
    bool leaving = false;
    // The list has matched the mark since it was set; a leaving mark matches leaving or absent.
    bool list_agreed = false;
    std::optional<TimePoint> listed_live_since;  // Set only if list_agreed.
  };

  bool Set(const std::string& upstream, bool leaving, Instant at);
  bool OnListedWhileLeaving(const std::string& upstream, Mark* mark,
                            std::optional<bool> listed_leaving, Instant at);
  void Replace(const std::string& upstream, const Mark& mark);

  const bool m_override_list;
  std::map<std::string, Mark> m_marks;
  uint64_t m_digest = 0;  // XOR of the hashes of all marks.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_UPSTREAM_MARKS_H_
