// Logs and counts what other processes send beyond its limits.

#ifndef AZUREGW_LOGGING_PEER_FAULT_LOG_H_
#define AZUREGW_LOGGING_PEER_FAULT_LOG_H_

#include <memory>
#include <string_view>

#include "azuregw/logging/event_log.h"
#include "azuregw/metrics/metrics.h"

namespace azuregw {

// Kind of process that sent the rejected bytes.
enum class PeerKind { kStore, kUpstream };

class PeerFaultLog {
 public:
  virtual ~PeerFaultLog() = default;
  // Records that bytes of `peer` were rejected. `limit` is a short constant name of what they
  // exceeded, `detail` says more; it must not hold the bytes themselves.
  virtual void OnRejected(PeerKind kind, std::string_view peer, std::string_view limit,
                          std::string_view detail) = 0;
};

// Writes `peer_input_rejected` lines and counts azuregw_peer_input_rejected_total. Both pointers
// must outlive the result.
std::unique_ptr<PeerFaultLog> MakePeerFaultLog(EventLog* log, Metrics* metrics);

}  // namespace azuregw

#endif  // AZUREGW_LOGGING_PEER_FAULT_LOG_H_
