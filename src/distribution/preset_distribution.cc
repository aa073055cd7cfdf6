// Implements notices, pulls and the catch-up by heartbeats.

#include "azuregw/distribution/preset_distribution.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

#include "azuregw/peer/frame_decoder.h"
#include "distribution/document_history.h"

namespace azuregw {
namespace {

// Delay after a change before a heartbeat with a lower revision is answered with a notice. Until
// then, the peer has most likely been sent one already.
constexpr Milliseconds kCatchUpNoticeDelay{1000};
// Maximum number of peers that are remembered as having a higher revision.
constexpr size_t kMaxSources = 8;

class PresetDistributionImpl final : public PresetDistribution {
 public:
  PresetDistributionImpl(PresetDistributionOptions options, std::unique_ptr<Random> random)
      : m_options(options), m_random(std::move(random)), m_history(options.max_kept_documents) {}

  void SetPeers(std::vector<std::string> peers) override { m_peers = std::move(peers); }
  PresetActions OnPresetActivated(uint64_t revision, const std::string& document,
                                  TimePoint now) override;
  PresetActions OnPeerRevision(const std::string& from, uint64_t revision, TimePoint now) override;
  PresetActions OnNotice(const std::string& from, const wire::PresetNoticeT& notice,
                         TimePoint now) override;
  PresetActions OnRequest(const std::string& from, const wire::PresetRequestT& request,
                          TimePoint now) override;
  PresetActions OnReply(const std::string& from, const wire::PresetReplyT& reply,
                        TimePoint now) override;
  PresetActions Tick(TimePoint now) override;
  uint64_t Revision() const override { return m_history.Current().revision; }
  bool IsBehind() const override { return !m_sources.empty(); }

 private:
  void StoreRevision(uint64_t revision, std::string canonical_text, uint8_t hops, TimePoint now,
                     PresetActions* actions);
  void SendNotices(TimePoint now, PresetActions* actions);
  void AddSource(const std::string& peer, uint64_t revision);
  void PullNext(TimePoint now, PresetActions* actions);
  void SendNotice(const std::string& peer, PresetActions* actions) const;
  Result<std::string> DecodeReply(const wire::PresetReplyT& reply) const;

  const PresetDistributionOptions m_options;
  const std::unique_ptr<Random> m_random;
  std::vector<std::string> m_peers;
  DocumentHistory m_history;
  uint8_t m_hops = 0;  // Number of hops of the current revision to this instance.
  TimePoint m_accepted_at{};
  size_t m_remaining_rounds = 0;
  TimePoint m_next_round_at{};
  // Peers that have a higher revision than this instance, with their revision.
  std::map<std::string, uint64_t> m_sources;  // Invariant: at most kMaxSources entries.
  std::string m_pulling_from;  // Peer of the outstanding pull; empty if there is none.
  TimePoint m_pull_deadline{};
  bool m_request_full_document = false;  // Whether the last patch of the current revision failed.
};

PresetActions PresetDistributionImpl::OnPresetActivated(uint64_t revision,
                                                        const std::string& document,
                                                        TimePoint now) {
  PresetActions actions;
  if (revision <= Revision()) {
    return actions;
  }
  Result<std::string> text = CanonicalJson(document);
  if (text) {
    StoreRevision(revision, std::move(text.value()), 0, now, &actions);
    PullNext(now, &actions);
  }
  return actions;
}

PresetActions PresetDistributionImpl::OnPeerRevision(const std::string& from, uint64_t revision,
                                                     TimePoint now) {
  PresetActions actions;
  if (revision > Revision()) {
    AddSource(from, revision);
    PullNext(now, &actions);
  } else if (revision < Revision() && now - m_accepted_at > kCatchUpNoticeDelay) {
    SendNotice(from, &actions);
  }
  return actions;
}

PresetActions PresetDistributionImpl::OnNotice(const std::string& from,
                                               const wire::PresetNoticeT& notice, TimePoint now) {
  PresetActions actions;
  if (notice.revision > Revision()) {
    m_hops = notice.hops;
    AddSource(from, notice.revision);
    PullNext(now, &actions);
  }
  return actions;
}

PresetActions PresetDistributionImpl::OnRequest(const std::string& from,
                                                const wire::PresetRequestT& request,
                                                TimePoint /*now*/) {
  PresetActions actions;
  const DocumentRevision& current = m_history.Current();
  wire::PresetReplyT reply;
  reply.revision = current.revision;
  if (current.revision > request.have_revision) {
    reply.document_hash = current.hash;
    const std::string& patch = m_history.PatchFrom(request.have_revision);
    reply.base_revision = patch.empty() ? 0 : request.have_revision;
    reply.document = patch.empty() ? *current.text : patch;
  }
  actions.sends.push_back(OutgoingPeerMessage{from, MakeEnvelope(std::move(reply))});
  return actions;
}

PresetActions PresetDistributionImpl::OnReply(const std::string& from,
                                              const wire::PresetReplyT& reply, TimePoint now) {
  PresetActions actions;
  if (m_pulling_from == from) {
    m_pulling_from.clear();
  }
  m_sources.erase(from);
  if (reply.revision <= Revision() && m_options.reject_lower_revisions) {
    PullNext(now, &actions);
    return actions;
  }
  Result<std::string> text = DecodeReply(reply);
  if (text) {
    m_request_full_document = false;
    StoreRevision(reply.revision, std::move(text.value()), static_cast<uint8_t>(m_hops + 1), now,
                  &actions);
    actions.delivered = DeliveredPreset{reply.revision, m_history.Current().text};
  } else if (reply.base_revision != 0) {
    // Requests the full document only if the patch was based on the current revision: a patch for a
    // revision that was replaced during the pull fails without being wrong.
    m_request_full_document = reply.base_revision == Revision();
    AddSource(from, reply.revision);
  }
  PullNext(now, &actions);
  return actions;
}

PresetActions PresetDistributionImpl::Tick(TimePoint now) {
  PresetActions actions;
  if (!m_pulling_from.empty() && now >= m_pull_deadline) {
    m_sources.erase(m_pulling_from);
    m_pulling_from.clear();
  }
  PullNext(now, &actions);
  if (m_remaining_rounds > 0 && now >= m_next_round_at) {
    SendNotices(now, &actions);
  }
  return actions;
}

void PresetDistributionImpl::StoreRevision(uint64_t revision, std::string canonical_text,
                                           uint8_t hops, TimePoint now, PresetActions* actions) {
  assert(!m_options.reject_lower_revisions || revision > Revision());
  m_history.Push(revision, std::move(canonical_text));
  m_hops = hops;
  m_accepted_at = now;
  for (auto it = m_sources.begin(); it != m_sources.end();) {
    it = it->second <= revision ? m_sources.erase(it) : std::next(it);
  }
  m_remaining_rounds = m_options.notice_rounds;
  SendNotices(now, actions);
}

void PresetDistributionImpl::SendNotices(TimePoint now, PresetActions* actions) {
  --m_remaining_rounds;
  m_next_round_at = now + m_options.round_interval;
  std::vector<std::string> chosen = m_peers;
  const size_t count = std::min(m_options.fanout, chosen.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(chosen[i], chosen[i + m_random->Below(chosen.size() - i)]);
    SendNotice(chosen[i], actions);
  }
}

void PresetDistributionImpl::AddSource(const std::string& peer, uint64_t revision) {
  const auto it = m_sources.find(peer);
  if (it != m_sources.end()) {
    it->second = std::max(it->second, revision);
  } else if (m_sources.size() < kMaxSources) {
    m_sources.emplace(peer, revision);
  }
}

void PresetDistributionImpl::PullNext(TimePoint now, PresetActions* actions) {
  if (!m_pulling_from.empty() || m_sources.empty()) {
    return;
  }
  const auto best =
      std::max_element(m_sources.begin(), m_sources.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  m_pulling_from = best->first;
  m_pull_deadline = now + m_options.pull_timeout;
  wire::PresetRequestT request;
  request.have_revision = m_request_full_document ? 0 : Revision();
  actions->sends.push_back(OutgoingPeerMessage{m_pulling_from, MakeEnvelope(request)});
}

void PresetDistributionImpl::SendNotice(const std::string& peer, PresetActions* actions) const {
  wire::PresetNoticeT notice;
  notice.revision = Revision();
  notice.hops = m_hops;
  actions->sends.push_back(OutgoingPeerMessage{peer, MakeEnvelope(notice)});
}

Result<std::string> PresetDistributionImpl::DecodeReply(const wire::PresetReplyT& reply) const {
  const DocumentRevision& current = m_history.Current();
  if (reply.base_revision != 0 && reply.base_revision != current.revision) {
    return NotRun(ResultCode::kPresetInvalid, "the patch is based on another revision");
  }
  Result<std::string> text = reply.base_revision == 0
                                 ? CanonicalJson(reply.document)
                                 : ApplyJsonPatch(*current.text, reply.document);
  if (text && m_options.verify_document_hash && Sha256(text.value()) != reply.document_hash) {
    return NotRun(ResultCode::kPresetInvalid,
                  "the SHA-256 of the document differs from the announced one");
  }
  return text;
}

}  // namespace

std::unique_ptr<PresetDistribution> MakePresetDistribution(PresetDistributionOptions options,
                                                           std::unique_ptr<Random> random) {
  return std::make_unique<PresetDistributionImpl>(options, std::move(random));
}

}  // namespace azuregw
