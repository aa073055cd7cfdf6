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

bool UpstreamStatements::AddRateLimit(std::optional<double> per_s, TimePoint sent_at,
                                      TimePoint now) {
  if (!per_s && (!m_rate_limit || sent_at <= m_rate_limit_at)) {
    return false;
  }
  const bool changed = m_rate_limit != per_s;
  m_rate_limit = per_s;
  m_rate_limit_at = now;
  m_rate_limit_source = StatementSource::kAnswer;
  return changed;
}

bool UpstreamStatements::MergeRateLimit(std::optional<double> per_s, TimePoint when) {
  if (when <= m_rate_limit_at) {
    return false;
  }
  m_rate_limit = per_s;
  m_rate_limit_at = when;
  m_rate_limit_source = StatementSource::kInstance;
  return true;
}

std::optional<double> UpstreamStatements::RateLimit(TimePoint now) const {
  return now - m_rate_limit_at > kRateLimitTtl ? std::nullopt : m_rate_limit;
}

std::optional<Milliseconds> UpstreamStatements::RateLimitAgeToRelay(TimePoint now) const {
  const auto age = std::chrono::duration_cast<Milliseconds>(now - m_rate_limit_at);
  return m_rate_limit_source == StatementSource::kAnswer && age < kRelayTime ? std::optional(age)
                                                                             : std::nullopt;
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
