// Ties transport, membership and preset distribution to the control thread, and offers requests
// with replies to other modules (claims, refusal reports, timeline).

#ifndef AZUREGW_PEER_PEER_SERVICE_H_
#define AZUREGW_PEER_PEER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/control/peer_group.h"
#include "azuregw/distribution/preset_distribution.h"
#include "azuregw/membership/membership.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/peer/peer_transport.h"
#include "azuregw/timeline/hybrid_clock.h"

namespace azuregw {

struct PeerServiceOptions {
  // Address and incarnation are filled in by Start when they are empty and zero.
  MembershipOptions membership;
  PresetDistributionOptions distribution;
  uint64_t random_seed = 0;  // 0: from the system's entropy.
};

// All must outlive the service, but for the control loop, which calls it and stops first.
struct PeerServiceDependencies {
  PeerTransport* transport = nullptr;
  const Clock* clock = nullptr;
  HybridLogicalClock* hybrid_clock = nullptr;
  Metrics* metrics = nullptr;  // May be null.
  // Runs a task on the control thread (ControlLoop::Post).
  std::function<void(std::function<void()>)> post;
  // Hands over a preset from a peer (ControlLoop::OnPresetFromPeer).
  std::function<void(uint64_t revision, std::string document)> on_preset;
};

// The calls of PeerGroup come from the control thread; the others are thread-safe.
class PeerService : public PeerGroup {
 public:
  using ReplyCallback = std::function<void(Result<wire::EnvelopeT> reply)>;
  using Responder = std::function<void(wire::EnvelopeT reply)>;
  // Runs on the transport's thread and must not block. `respond` may be called later, once, from
  // any thread.
  using RequestHandler = std::function<void(const std::string& peer, const wire::EnvelopeT& request,
                                            Responder respond)>;

  // Binds and starts to exchange messages; before the control loop starts. Errors: kPortInUse.
  virtual Result<void> Start() = 0;
  // Outstanding requests end with kPeerTimeout.
  virtual void Stop() = 0;
  // Requests of one kind (ClaimRequest, OutcomeRecord, RefusalReport or TimelineRequest).
  virtual void SetRequestHandler(wire::Body kind, RequestHandler handler) = 0;
  // Sends a request to an instance by name and calls `done` exactly once, on an unspecified thread.
  // Time-outs are noticed within 100 ms. Errors: kPeerUnreachable (nothing was sent), kPeerTimeout
  // (whether the peer acted is unknown).
  virtual void Request(const std::string& peer, wire::EnvelopeT request, Milliseconds timeout,
                       ReplyCallback done) = 0;
};

std::unique_ptr<PeerService> MakePeerService(PeerServiceOptions options,
                                             PeerServiceDependencies dependencies);

}  // namespace azuregw

#endif  // AZUREGW_PEER_PEER_SERVICE_H_
