// Merge of the statements of one process.

#include "azuregw/fleet/upstream_statements.h"

#include <chrono>

namespace azuregw {

std::string_view StatedFactName(StatedFact fact) {
  switch (fact) {
    case StatedFact::kLeaving:
      return "leaving";
    case StatedFact::kClosed:
      return "closed";
  }
  return "unknown";
}

std::string_view StatementSourceName(StatementSource source) {
  return source == StatementSource::kAnswer ? "answer" : "instance";
}

const Statement& UpstreamStatements::Of(StatedFact fact, StatementSource source) const {
  if (fact == StatedFact::kLeaving) {
    return m_leaving;
  }
  return source == StatementSource::kAnswer ? m_closed_here : m_closed_elsewhere;
}

bool UpstreamStatements::Add(StatedFact fact, TimePoint until, StatementSource source,
                             TimePoint now) {
  Statement& statement = fact == StatedFact::kLeaving         ? m_leaving
                         : source == StatementSource::kAnswer ? m_closed_here
                                                              : m_closed_elsewhere;
  const bool held = now < statement.until;
  if (until > statement.until) {
    statement = {until, now, source};
  }
  return !held && now < statement.until;
}

Milliseconds UpstreamStatements::TimeToOpen(TimePoint now) const {
  return ClosedHere(now) ? std::chrono::ceil<Milliseconds>(m_closed_here.until - now)
                         : Milliseconds(0);
}

std::optional<Milliseconds> UpstreamStatements::ToRelay(StatedFact fact, TimePoint now) const {
  const Statement& statement = Of(fact, StatementSource::kAnswer);
  if (statement.source != StatementSource::kAnswer || now >= statement.until ||
      now - statement.heard_at >= kRelayTime) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(statement.until - now);
}

}  // namespace azuregw
