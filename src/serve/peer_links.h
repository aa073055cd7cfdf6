// The part of an instance that talks to other instances: transport, membership, preset distribution
// and the refusal ledger.

#ifndef SRC_SERVE_PEER_LINKS_H_
#define SRC_SERVE_PEER_LINKS_H_

#include <memory>
#include <string>

#include "azuregw/config/settings.h"
#include "azuregw/control/control_loop.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/peer/peer_service.h"
#include "azuregw/refusals/refusal_service.h"
#include "azuregw/timeline/hybrid_clock.h"

namespace azuregw {

class PeerLinks {
 public:
  // Connects itself to `control` (ControlLoop::SetPeers). The pointers outlive the links.
  PeerLinks(const Settings& settings, ControlLoop* control, KeyValueStore* kv, Metrics* metrics,
            HybridLogicalClock* hybrid_clock);

  ~PeerLinks() { Stop(); }
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Before the control loop starts. Errors: kPortInUse.
  Result<void> Start();
  // After the control loop has stopped.
  void Stop();

  std::string Address() const { return m_address; }
  PeerService* Service() { return m_service.get(); }
  RefusalRecorder* Refusals() { return m_refusals->Recorder(); }

 private:
  void MakeService(const Settings& settings, ControlLoop* control, Metrics* metrics);
  void MakeRefusals(const Settings& settings, ControlLoop* control, KeyValueStore* kv);

  const std::string m_address;
  // Wall time of the start in ms; above that of every earlier process with this name.
  const uint64_t m_incarnation;
  HybridLogicalClock* const m_hybrid_clock;
  std::unique_ptr<PeerTransport> m_transport;
  std::unique_ptr<PeerService> m_service;
  std::unique_ptr<RefusalService> m_refusals;
  bool m_started = false;
};

}  // namespace azuregw

#endif  // SRC_SERVE_PEER_LINKS_H_
