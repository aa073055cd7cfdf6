// What the process of an upstream states about itself in its answers.
//
// Decision module: no I/O, single-threaded. A statement is heard here, in an answer, or by another
// instance, which relays it with its load report. Merging two records does not depend on the order
// in which the statements arrive, and a statement that arrives again changes nothing: the later end
// of a fact counts. A record belongs to one process of an upstream and ends with it. Its owner
// bounds the number of records by the list of upstreams.

#ifndef AZUREGW_FLEET_UPSTREAM_STATEMENTS_H_
#define AZUREGW_FLEET_UPSTREAM_STATEMENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "azuregw/base/clock.h"

namespace azuregw {

// Facts that upstreams state. The values are part of the wire format.
enum class StatedFact : uint8_t {
  kLeaving = 0,  // The process exits soon. It serves what it has; nothing revokes this.
  // The process, which refused a request, wants none for some time: from this instance if it said
  // so in an answer. What it said to other instances is a reason to prefer other upstreams.
  kClosed = 1,
};

// How an instance knows of a statement.
enum class StatementSource : uint8_t {
  kAnswer,    // From an answer to one of its own requests.
  kInstance,  // From another instance.
};

// Names for logs and metrics.
std::string_view StatedFactName(StatedFact fact);
std::string_view StatementSourceName(StatementSource source);

// A statement as one instance knows it.
struct Statement {
  TimePoint until;     // End of the fact; TimePoint() if it was never stated.
  TimePoint heard_at;  // Arrival of the answer, or of the report of another instance.
  StatementSource source = StatementSource::kInstance;
};

// Statement that an instance learned of, for logs and metrics.
struct StatementChange {
  std::string upstream;
  StatedFact fact = StatedFact::kLeaving;
  Statement statement;
};

// The statements of one process.
class UpstreamStatements {
 public:
  // Time for which a process counts as leaving. It exits long before; the bound ends the effect of
  // a false statement.
  static constexpr Milliseconds kLeavingTtl{600000};
  // Longest time for which one refusal closes an upstream, so that a faulty one cannot shut itself
  // out for long.
  static constexpr Milliseconds kMaxClosedTime{600000};
  // Lifetime of a rate limit. Upstreams with requests state it again all the time.
  static constexpr Milliseconds kRateLimitTtl{30000};
  // Statements heard here are relayed for this long, after which all instances have them.
  static constexpr Milliseconds kRelayTime{3000};

  // Adds a statement that ends at `until`. Returns whether the fact did not hold before.
  bool Add(StatedFact fact, TimePoint until, StatementSource source, TimePoint now);

  // Returns whether the process has stated that it leaves.
  bool Leaving(TimePoint now) const { return now < m_leaving.until; }
  // Returns whether the process wants no requests from this instance.
  bool ClosedHere(TimePoint now) const { return now < m_closed_here.until; }
  // Returns whether the process has stated to another instance that it wants no requests from it.
  bool ClosedElsewhere(TimePoint now) const { return now < m_closed_elsewhere.until; }
  // Returns the time until this instance may send requests again; 0 if it may.
  Milliseconds TimeToOpen(TimePoint now) const;

  // Returns the time for which the fact still holds if this instance should relay it.
  std::optional<Milliseconds> ToRelay(StatedFact fact, TimePoint now) const;

  // Returns what is known of `fact` from `source`; a leaving is the same from both.
  const Statement& Of(StatedFact fact, StatementSource source) const;

  // Adds the rate limit in an answer to a request that was sent at `sent_at`: requests per second
  // that the process accepts from all instances together. Returns whether it changed. An answer
  // without a limit ends one only if its request was sent after the limit was last stated.
  bool AddRateLimit(std::optional<double> per_s, TimePoint sent_at, TimePoint now);
  // Adds a rate limit, or its end, that another instance heard at `when`. Returns whether it is
  // newer than the known one.
  bool MergeRateLimit(std::optional<double> per_s, TimePoint when);
  // Returns the rate limit; nullopt if there is none.
  std::optional<double> RateLimit(TimePoint now) const;
  // Returns the time since the last statement of the limit, or of its end, if this instance should
  // relay it.
  std::optional<Milliseconds> RateLimitAgeToRelay(TimePoint now) const;

 private:
  Statement m_leaving;
  Statement m_closed_here;
  Statement m_closed_elsewhere;
  std::optional<double> m_rate_limit;
  TimePoint m_rate_limit_at;  // Last statement of the limit or of its end.
  StatementSource m_rate_limit_source = StatementSource::kInstance;
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_UPSTREAM_STATEMENTS_H_
