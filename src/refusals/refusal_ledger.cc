// Counts refusals and makes reports.

#include "azuregw/refusals/refusal_ledger.h"

#include <algorithm>
#include <cassert>
#include <memory>

namespace azuregw {
namespace {

constexpr int64_t kMinuteMs = 60000;
// When the key-value service is down for long, counts pile up in one report instead of many.
constexpr size_t kMaxRetained = 1000;
// Reports sent to one aggregator per interval.
constexpr size_t kMaxSends = 20;

}  // namespace

void RefusalLedger::OnRefusal(const std::string& workspace, ResultCode reason, int64_t wall_ms) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_counts[Key(wall_ms / kMinuteMs, workspace, static_cast<int>(reason))];
}

std::vector<RefusalSend> RefusalLedger::MakeReports(const std::vector<std::string>& aggregators,
                                                    int64_t wall_ms, bool last) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!m_counts.empty() && (m_retained.size() < kMaxRetained || last)) {
    CutReport();
  }
  std::vector<RefusalSend> sends;
  for (const std::string& aggregator : aggregators) {
    const uint64_t received = std::max(m_received[aggregator], m_durable);
    size_t sent = 0;
    for (uint64_t sequence = received + 1; sequence <= m_last_sequence && sent < kMaxSends;
         ++sequence, ++sent) {
      const wire::RefusalReportT& report = m_retained[sequence - m_durable - 1];
      sends.push_back(RefusalSend{aggregator, report});
      sends.back().report.first_retained = m_durable + 1;
    }
    // Covers the time up to now, if everything before it arrives.
    wire::RefusalReportT cover;
    cover.instance = m_instance;
    cover.incarnation = m_incarnation;
    cover.sequence = m_last_sequence;
    cover.first_retained = m_durable + 1;
    cover.covered_until_wall_ms = m_counts.empty() ? wall_ms : 0;
    cover.last = last;
    sends.push_back(RefusalSend{aggregator, cover});
  }
  return sends;
}

void RefusalLedger::OnAck(const std::string& aggregator, const wire::RefusalAckT& ack) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (ack.incarnation != m_incarnation || ack.sequence > m_last_sequence ||
      ack.durable > m_last_sequence) {
    return;
  }
  m_received[aggregator] = ack.sequence;
  while (m_durable < ack.durable) {
    m_retained.pop_front();
    ++m_durable;
  }
  assert(m_retained.size() == m_last_sequence - m_durable);
}

bool RefusalLedger::IsDurable() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_counts.empty() && m_retained.empty();
}

void RefusalLedger::CutReport() {
  wire::RefusalReportT report;
  report.instance = m_instance;
  report.incarnation = m_incarnation;
  report.sequence = ++m_last_sequence;
  for (const auto& [key, number] : m_counts) {
    auto count = std::make_unique<wire::RefusalCountT>();
    std::tie(count->minute, count->workspace, count->reason) = key;
    count->count = number;
    report.counts.push_back(std::move(count));
  }
  m_counts.clear();
  m_retained.push_back(std::move(report));
}

}  // namespace azuregw
