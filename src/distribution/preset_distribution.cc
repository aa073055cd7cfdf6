// Notices, pulls and repair.

#include "azuregw/distribution/preset_distribution.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

#include "azuregw/peer/frame_decoder.h"
#include "distribution/document_history.h"

namespace azuregw {
namespace {

// A peer that lags behind right after a change has most likely been sent a notice already.
constexpr Milliseconds kRepairDelay{1000};
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
  void Accept(uint64_t revision, std::string canonical_text, uint8_t hops, TimePoint now,
              PresetActions* actions);
  void SendNotices(TimePoint now, PresetActions* actions);
  void AddSource(const std::string& peer, uint64_t revision);
  void PullNext(TimePoint now, PresetActions* actions);
  void SendNotice(const std::string& peer, PresetActions* actions) const;
  Result<std::string> ReadReply(const wire::PresetReplyT& reply) const;

  const PresetDistributionOptions m_options;
  const std::unique_ptr<Random> m_random;
  std::vector<std::string> m_peers;
  DocumentHistory m_history;
  uint8_t m_hops = 0;  // Of the current revision on its way here.
  TimePoint m_accepted_at{};
  size_t m_rounds_left = 0;
  TimePoint m_next_round{};
  // Peers that have a higher revision than this instance, with that revision.
  std::map<std::string, uint64_t> m_sources;
  std::string m_pulling_from;  // Empty: no pull is outstanding.
  TimePoint m_pull_deadline{};
  bool m_want_whole = false;  // The last patch did not give the announced document.
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
    Accept(revision, std::move(text.value()), 0, now, &actions);
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
  } else if (revision < Revision() && now - m_accepted_at > kRepairDelay) {
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
  Result<std::string> text = ReadReply(reply);
  if (text) {
    m_want_whole = false;
    Accept(reply.revision, std::move(text.value()), static_cast<uint8_t>(m_hops + 1), now,
           &actions);
    actions.delivered = DeliveredPreset{reply.revision, m_history.Current().text};
  } else if (reply.base_revision != 0) {
    // A patch from a revision that was replaced meanwhile says nothing against patches.
    m_want_whole = reply.base_revision == Revision();
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
  if (m_rounds_left > 0 && now >= m_next_round) {
    SendNotices(now, &actions);
  }
  return actions;
}

void PresetDistributionImpl::Accept(uint64_t revision, std::string canonical_text, uint8_t hops,
                                    TimePoint now, PresetActions* actions) {
  assert(!m_options.reject_lower_revisions || revision > Revision());
  m_history.Push(revision, std::move(canonical_text));
  m_hops = hops;
  m_accepted_at = now;
  for (auto it = m_sources.begin(); it != m_sources.end();) {
    it = it->second <= revision ? m_sources.erase(it) : std::next(it);
  }
  m_rounds_left = m_options.notice_rounds;
  SendNotices(now, actions);
}

void PresetDistributionImpl::SendNotices(TimePoint now, PresetActions* actions) {
  --m_rounds_left;
  m_next_round = now + m_options.round_interval;
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
  request.have_revision = m_want_whole ? 0 : Revision();
  actions->sends.push_back(OutgoingPeerMessage{m_pulling_from, MakeEnvelope(request)});
}

void PresetDistributionImpl::SendNotice(const std::string& peer, PresetActions* actions) const {
  wire::PresetNoticeT notice;
  notice.revision = Revision();
  notice.hops = m_hops;
  actions->sends.push_back(OutgoingPeerMessage{peer, MakeEnvelope(notice)});
}

Result<std::string> PresetDistributionImpl::ReadReply(const wire::PresetReplyT& reply) const {
  const DocumentRevision& current = m_history.Current();
  if (reply.base_revision != 0 && reply.base_revision != current.revision) {
    return NotRun(ResultCode::kPresetInvalid, "patch from another revision");
  }
  Result<std::string> text = reply.base_revision == 0
                                 ? CanonicalJson(reply.document)
                                 : ApplyJsonPatch(*current.text, reply.document);
  if (text && m_options.verify_document_hash && Sha256(text.value()) != reply.document_hash) {
    return NotRun(ResultCode::kPresetInvalid, "result differs from the announced document");
  }
  return text;
}

}  // namespace

std::unique_ptr<PresetDistribution> MakePresetDistribution(PresetDistributionOptions options,
                                                           std::unique_ptr<Random> random) {
  return std::make_unique<PresetDistributionImpl>(options, std::move(random));
}

}  // namespace azuregw
