// Merge of the statements of one process.

#include "azuregw/fleet/upstream_statements.h"

#include <chrono>

namespace azuregw {

std::string_view StatedFactName(StatedFact fact) {
  switch (fact) {
    case StatedFact::kLeaving:
      return "leaving";
  }
  return "unknown";
}

std::string_view StatementSourceName(StatementSource source) {
  return source == StatementSource::kAnswer ? "answer" : "instance";
}

const Statement& UpstreamStatements::Of(StatedFact /*fact*/) const { return m_leaving; }

bool UpstreamStatements::Add(StatedFact /*fact*/, TimePoint until, StatementSource source,
                             TimePoint now) {
  const bool held = Leaving(now);
  if (until > m_leaving.until) {
    m_leaving = {until, now, source};
  }
  return !held && Leaving(now);
}

std::optional<Milliseconds> UpstreamStatements::ToRelay(StatedFact fact, TimePoint now) const {
  const Statement& statement = Of(fact);
  if (statement.source != StatementSource::kAnswer || now >= statement.until ||
      now - statement.heard_at >= kRelayTime) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(statement.until - now);
}

}  // namespace azuregw
