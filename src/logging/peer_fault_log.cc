// Log lines and counters of rejected input.

#include "azuregw/logging/peer_fault_log.h"

#include <string>

namespace azuregw {
namespace {

std::string_view KindName(PeerKind kind) { return kind == PeerKind::kStore ? "store" : "upstream"; }

class CountingPeerFaultLog final : public PeerFaultLog {
 public:
  CountingPeerFaultLog(EventLog* log, Metrics* metrics) : m_log(log), m_metrics(metrics) {}

  void OnRejected(PeerKind kind, std::string_view peer, std::string_view limit,
                  std::string_view detail) override {
    m_log->Write("peer_input_rejected",
                 {{"kind", KindName(kind)}, {"peer", peer}, {"limit", limit}, {"detail", detail}},
                 false);
    m_metrics->Add(
        "azuregw_peer_input_rejected_total",
        "kind=\"" + std::string(KindName(kind)) + "\",limit=\"" + std::string(limit) + "\"", 1);
  }

 private:
  EventLog* const m_log;
  Metrics* const m_metrics;
};

}  // namespace

std::unique_ptr<PeerFaultLog> MakePeerFaultLog(EventLog* log, Metrics* metrics) {
  return std::make_unique<CountingPeerFaultLog>(log, metrics);
}

}  // namespace azuregw
