// Transport, membership and distribution behind the control loop.

#include "azuregw/peer/peer_service.h"

#include <atomic>
#include <cassert>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/peer/frame_decoder.h"
#include "peer/request_table.h"

namespace azuregw {
namespace {

// Control messages that may wait for the control thread; a heartbeat that is dropped is repeated.
constexpr size_t kMaxPosted = 4096;
// Time after the start or a pause in which a higher revision of a peer is awaited.
constexpr Milliseconds kPresetCatchUp{3000};

// The kernel chooses the port; others must be told the chosen one.
bool HasPortZero(const std::string& address) {
  return address.size() >= 2 && address.compare(address.size() - 2, 2, ":0") == 0;
}

using AddressMap = std::map<std::string, std::string>;  // Name -> peer address.

class PeerServiceImpl final : public PeerService {
 public:
  PeerServiceImpl(PeerServiceOptions options, PeerServiceDependencies dependencies)
      : m_options(std::move(options)), m_dependencies(std::move(dependencies)) {}
  ~PeerServiceImpl() override { Stop(); }

  Result<void> Start() override;
  void Stop() override;
  void SetRequestHandler(wire::Body kind, RequestHandler handler) override;
  void Request(const std::string& peer, wire::EnvelopeT request, Milliseconds timeout,
               ReplyCallback done) override;

  void Tick(TimePoint now) override;
  void OnList(gsl::span<const ListedInstance> list, TimePoint now) override {
    SendHeartbeats(m_membership->OnList(list, At(now)));
  }
  void MarkUpstreamLeaving(const std::string& upstream, TimePoint now) override {
    SendHeartbeats(m_membership->MarkUpstreamLeaving(upstream, At(now)));
  }
  void ReturnUpstream(const std::string& upstream, TimePoint now) override {
    SendHeartbeats(m_membership->ReturnUpstream(upstream, At(now)));
  }
  void OnUpstreamReport(const std::string& upstream, bool leaving, int64_t measured_wall_ms,
                        TimePoint now) override {
    SendHeartbeats(m_membership->OnUpstreamReport(upstream, leaving, measured_wall_ms, At(now)));
  }
  void AnnounceLeaving(TimePoint now) override {
    SendHeartbeats(m_membership->SetLeaving(At(now)));
  }
  void PublishPreset(const ActivePreset& version, TimePoint now) override;

  std::vector<MemberView> Members() const override { return m_membership->LiveMembers(); }
  std::set<std::string> LeavingUpstreams() const override {
    return m_membership->LeavingUpstreams();
  }
  bool IsWatcher() const override { return m_membership->IsWatcher(); }
  bool IsRefreshing() const override { return m_membership->IsRefreshing() || m_catching_up; }
  uint64_t Version() const override { return m_membership->Version(); }

 private:
  Instant At(TimePoint now) const { return Instant{now, m_dependencies.clock->WallMs()}; }
  std::unique_ptr<Random> NewRandom(uint64_t salt) const;
  void OnPayload(const std::string& peer, gsl::span<const uint8_t> payload);
  void PostControlMessage(const std::string& peer, wire::EnvelopeT envelope);
  void OnControlMessage(const std::string& peer, const wire::EnvelopeT& envelope);
  void OnRequest(const std::string& peer, const wire::EnvelopeT& request);
  void SendHeartbeats(OutgoingHeartbeats sends);
  void Apply(PresetActions actions);
  void SendEnvelope(const std::string& address, wire::EnvelopeT envelope);
  std::string AddressOf(const std::string& peer) const;
  void UpdateAddresses();
  void UpdateCatchUp(TimePoint now);

  const PeerServiceOptions m_options;
  const PeerServiceDependencies m_dependencies;
  RequestTable m_requests;
  std::mutex m_handlers_mutex;
  std::map<wire::Body, RequestHandler> m_handlers;  // Guarded by m_handlers_mutex.
  std::atomic<size_t> m_posted{0};
  std::atomic<bool> m_stopped{false};
  // Written by the control thread with std::atomic_store, read by any thread.
  std::shared_ptr<const AddressMap> m_addresses = std::make_shared<const AddressMap>();

  // Control thread only, after Start.
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<PresetDistribution> m_distribution;
  uint64_t m_addresses_version = 0;  // Of the membership that m_addresses shows.
  bool m_catching_up = true;
  TimePoint m_catch_up_until{};
};

Result<void> PeerServiceImpl::Start() {
  m_dependencies.transport->SetHandler(
      [this](const std::string& peer, gsl::span<const uint8_t> payload) {
        OnPayload(peer, payload);
      });
  const Result<void> started = m_dependencies.transport->Start();
  if (!started) {
    return started;
  }
  MembershipOptions membership = m_options.membership;
  if (membership.address.empty() || HasPortZero(membership.address)) {
    membership.address = m_dependencies.transport->ListenAddress();
  }
  if (membership.incarnation <= 1) {
    membership.incarnation = static_cast<uint64_t>(m_dependencies.clock->WallMs());
  }
  m_membership = MakeMembership(std::move(membership), NewRandom(1));
  m_distribution = MakePresetDistribution(m_options.distribution, NewRandom(2));
  return started;
}

void PeerServiceImpl::Stop() {
  if (m_stopped.exchange(true)) {
    return;
  }
  m_dependencies.transport->Stop();
  m_requests.Expire(TimePoint::max());
}

void PeerServiceImpl::SetRequestHandler(wire::Body kind, RequestHandler handler) {
  const std::lock_guard<std::mutex> lock(m_handlers_mutex);
  m_handlers[kind] = std::move(handler);
}

void PeerServiceImpl::Request(const std::string& peer, wire::EnvelopeT request,
                              Milliseconds timeout, ReplyCallback done) {
  const std::string address = AddressOf(peer);
  if (address.empty() || m_stopped) {
    done(NotRun(ResultCode::kPeerUnreachable, "no live instance " + peer));
    return;
  }
  const TimePoint deadline = m_dependencies.clock->Now() + timeout;
  request.request_id = m_requests.Add(peer, deadline, std::move(done));
  SendEnvelope(address, std::move(request));
}

void PeerServiceImpl::Tick(TimePoint now) {
  SendHeartbeats(m_membership->Tick(At(now)));
  UpdateAddresses();
  Apply(m_distribution->Tick(now));
  UpdateCatchUp(now);
  m_requests.Expire(now);
  if (m_dependencies.metrics != nullptr) {
    Metrics& metrics = *m_dependencies.metrics;
    metrics.Set("azuregw_peer_bytes_sent", "",
                static_cast<double>(m_dependencies.transport->BytesSent()));
    metrics.Set("azuregw_peer_bytes_received", "",
                static_cast<double>(m_dependencies.transport->BytesReceived()));
  }
}

void PeerServiceImpl::PublishPreset(const ActivePreset& version, TimePoint now) {
  m_membership->SetPresetRevision(version.revision);
  Apply(m_distribution->OnPresetActivated(version.revision, *version.document, now));
}

std::unique_ptr<Random> PeerServiceImpl::NewRandom(uint64_t salt) const {
  return m_options.random_seed == 0 ? MakeSystemRandom()
                                    : MakeRandom(m_options.random_seed * 2 + salt);
}

void PeerServiceImpl::OnPayload(const std::string& peer, gsl::span<const uint8_t> payload) {
  wire::EnvelopeT envelope;
  wire::GetEnvelope(payload.data())->UnPackTo(&envelope);
  m_dependencies.hybrid_clock->Observe(envelope.hlc);
  switch (envelope.body.type) {
    case wire::Body::Heartbeat:
    case wire::Body::PresetNotice:
    case wire::Body::PresetRequest:
    case wire::Body::PresetReply:
      PostControlMessage(peer, std::move(envelope));
      break;
    case wire::Body::ClaimRequest:
    case wire::Body::OutcomeRecord:
    case wire::Body::RefusalReport:
    case wire::Body::TimelineRequest:
      OnRequest(peer, envelope);
      break;
    case wire::Body::ClaimReply:
    case wire::Body::OutcomeAck:
    case wire::Body::RefusalAck:
    case wire::Body::TimelineReply:
      m_requests.OnReply(peer, std::move(envelope));
      break;
    case wire::Body::NONE:
    case wire::Body::Hello:
      break;
  }
}

void PeerServiceImpl::PostControlMessage(const std::string& peer, wire::EnvelopeT envelope) {
  if (m_posted.fetch_add(1) >= kMaxPosted) {
    --m_posted;
    return;
  }
  // std::function needs a copyable task.
  auto shared = std::make_shared<wire::EnvelopeT>(std::move(envelope));
  m_dependencies.post([this, peer, shared] {
    --m_posted;
    OnControlMessage(peer, *shared);
  });
}

void PeerServiceImpl::OnControlMessage(const std::string& peer, const wire::EnvelopeT& envelope) {
  const TimePoint now = m_dependencies.clock->Now();
  if (const auto* heartbeat = envelope.body.AsHeartbeat()) {
    SendHeartbeats(m_membership->OnHeartbeat(peer, *heartbeat, At(now)));
    UpdateAddresses();
    Apply(m_distribution->OnPeerRevision(peer, heartbeat->preset_revision, now));
  } else if (const auto* notice = envelope.body.AsPresetNotice()) {
    Apply(m_distribution->OnNotice(peer, *notice, now));
  } else if (const auto* request = envelope.body.AsPresetRequest()) {
    Apply(m_distribution->OnRequest(peer, *request, now));
  } else if (const auto* reply = envelope.body.AsPresetReply()) {
    Apply(m_distribution->OnReply(peer, *reply, now));
  }
}

void PeerServiceImpl::OnRequest(const std::string& peer, const wire::EnvelopeT& request) {
  RequestHandler handler;
  {
    const std::lock_guard<std::mutex> lock(m_handlers_mutex);
    const auto it = m_handlers.find(request.body.type);
    if (it == m_handlers.end()) {
      return;
    }
    handler = it->second;
  }
  handler(peer, request, [this, peer, id = request.request_id](wire::EnvelopeT reply) {
    const std::string address = AddressOf(peer);
    if (!address.empty()) {
      reply.request_id = id;
      SendEnvelope(address, std::move(reply));
    }
  });
}

void PeerServiceImpl::SendHeartbeats(OutgoingHeartbeats sends) {
  for (OutgoingHeartbeat& send : sends) {
    SendEnvelope(send.address, MakeEnvelope(std::move(send.heartbeat)));
  }
}

void PeerServiceImpl::Apply(PresetActions actions) {
  for (OutgoingPeerMessage& send : actions.sends) {
    const std::string address = m_membership->AddressOf(send.peer);
    if (!address.empty()) {
      SendEnvelope(address, std::move(send.envelope));
    }
  }
  if (actions.delivered) {
    m_dependencies.on_preset(actions.delivered->revision, *actions.delivered->document);
  }
}

void PeerServiceImpl::SendEnvelope(const std::string& address, wire::EnvelopeT envelope) {
  envelope.hlc = m_dependencies.hybrid_clock->Now();
  m_dependencies.transport->Send(address, EncodeEnvelope(envelope));
}

std::string PeerServiceImpl::AddressOf(const std::string& peer) const {
  const std::shared_ptr<const AddressMap> addresses = std::atomic_load(&m_addresses);
  const auto it = addresses->find(peer);
  return it == addresses->end() ? "" : it->second;
}

void PeerServiceImpl::UpdateAddresses() {
  if (m_addresses_version == m_membership->Version()) {
    return;
  }
  m_addresses_version = m_membership->Version();
  auto addresses = std::make_shared<AddressMap>();
  std::vector<std::string> peers;
  for (const MemberView& member : m_membership->LiveMembers()) {
    if (member.name != m_options.membership.name) {
      addresses->emplace(member.name, member.peer_address);
      peers.push_back(member.name);
    }
  }
  m_distribution->SetPeers(std::move(peers));
  std::atomic_store(&m_addresses, std::shared_ptr<const AddressMap>(std::move(addresses)));
}

void PeerServiceImpl::UpdateCatchUp(TimePoint now) {
  if (m_membership->IsRefreshing()) {
    m_catching_up = true;
    m_catch_up_until = now + kPresetCatchUp;
  } else if (!m_distribution->IsBehind() || now > m_catch_up_until) {
    m_catching_up = false;
  }
}

}  // namespace

std::unique_ptr<PeerService> MakePeerService(PeerServiceOptions options,
                                             PeerServiceDependencies dependencies) {
  return std::make_unique<PeerServiceImpl>(std::move(options), std::move(dependencies));
}

}  // namespace azuregw
