// Wiring of the peer side.

#include "serve/peer_links.h"

#include <utility>

#include "azuregw/peer/tcp_peer_transport.h"

namespace azuregw {

PeerLinks::PeerLinks(const Settings& settings, ControlLoop* control, KeyValueStore* kv,
                     Metrics* metrics, HybridLogicalClock* hybrid_clock)
    : m_address(settings.peer.address),
      m_incarnation(static_cast<uint64_t>(SystemClock().WallMs())),
      m_hybrid_clock(hybrid_clock) {
  TcpPeerOptions options;
  options.name = settings.instance.name;
  options.listen_address = settings.peer.address;
  options.key = settings.peer.key;
  m_transport = MakeTcpPeerTransport(std::move(options));
  MakeService(settings, control, metrics);
  MakeRefusals(settings, control, kv);
  control->SetPeers(m_service.get());
}

void PeerLinks::MakeService(const Settings& settings, ControlLoop* control, Metrics* metrics) {
  PeerServiceOptions options;
  options.membership.name = settings.instance.name;
  options.membership.address = settings.peer.address;
  options.membership.admin_address = settings.admin.address;
  options.membership.failure_domain = settings.instance.failure_domain;
  options.membership.incarnation = m_incarnation;
  PeerServiceDependencies dependencies;
  dependencies.transport = m_transport.get();
  dependencies.clock = &SystemClock();
  dependencies.hybrid_clock = m_hybrid_clock;
  dependencies.metrics = metrics;
  dependencies.post = [control](std::function<void()> task) { control->Post(std::move(task)); };
  dependencies.on_preset = [control](uint64_t revision, std::string document) {
    control->OnPresetFromPeer(revision, std::move(document));
  };
  m_service = MakePeerService(std::move(options), std::move(dependencies));
}

void PeerLinks::MakeRefusals(const Settings& settings, ControlLoop* control, KeyValueStore* kv) {
  RefusalServiceOptions options;
  options.instance = settings.instance.name;
  options.failure_domain = settings.instance.failure_domain;
  options.incarnation = m_incarnation;
  RefusalServiceDependencies dependencies;
  dependencies.snapshots = control;
  dependencies.peers = m_service.get();
  dependencies.kv = kv;
  dependencies.clock = &SystemClock();
  m_refusals = MakeRefusalService(std::move(options), dependencies);
}

Result<void> PeerLinks::Start() {
  const Result<void> started = m_service->Start();
  if (!started) {
    return started.error();
  }
  m_refusals->Start();
  m_started = true;
  return boost::outcome_v2::success();
}

void PeerLinks::Stop() {
  if (!std::exchange(m_started, false)) {
    return;
  }
  m_refusals->Stop();
  m_service->Stop();
}

}  // namespace azuregw
