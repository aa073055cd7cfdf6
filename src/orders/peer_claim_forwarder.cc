// Forwarding of claims and outcomes to the owner of their shard.

#include "azuregw/orders/peer_claim_forwarder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "azuregw/base/rendezvous.h"
#include "orders/claim_wire.h"

namespace azuregw {
namespace {

// Time limit of one request to the owner. A live owner needs only a few store calls to answer, or
// reports the store as unavailable.
constexpr Milliseconds kOwnerTimeout{1000};
// Time for which the owner may queue a claim; shorter, so that it answers before the time limit.
constexpr Milliseconds kOwnerWaitLimit{800};

wire::EnvelopeT ToOutcomeAck(bool stored) {
  wire::OutcomeAckT ack;
  ack.stored = stored;
  wire::EnvelopeT envelope;
  envelope.body.Set(std::move(ack));
  return envelope;
}

// Submitted claim that has not been answered yet.
struct Submission {
  std::shared_ptr<const Snapshot> snapshot;
  Claim claim;
  TimePoint deadline;
  ClaimCallback done;
  bool maybe_written = false;  // The owner may have written the claim.
};

class PeerClaimForwarder final : public ClaimForwarder {
 public:
  PeerClaimForwarder(PeerService* peers, OrderCommitter* committer, const Clock* clock)
      : m_peers(peers), m_committer(committer), m_clock(clock) {}

  void Submit(const Snapshot& snapshot, Claim claim, TimePoint deadline,
              ClaimCallback done) override {
    m_committer->Configure(snapshot);
    auto submission = std::make_shared<Submission>();
    submission->snapshot = std::make_shared<const Snapshot>(snapshot);
    submission->claim = std::move(claim);
    submission->deadline = deadline;
    submission->done = std::move(done);
    AskOwner(submission);
  }

  void Record(const Snapshot& snapshot, Claim outcome, RecordCallback done) override {
    const int shard = m_committer->ShardOf(outcome.key_hash);
    const std::string owner = shard < 0 ? snapshot.self : ShardOwner(snapshot, shard);
    if (owner == snapshot.self) {
      m_committer->Record(std::move(outcome), std::move(done));
      return;
    }
    wire::EnvelopeT envelope;
    envelope.body.Set(ToOutcomeRecord(outcome, shard));
    m_peers->Request(owner, std::move(envelope), kOwnerTimeout,
                     [this, outcome = std::move(outcome),
                      done = std::move(done)](const Result<wire::EnvelopeT>& reply) {
                       const wire::OutcomeAckT* ack =
                           reply ? reply.value().body.AsOutcomeAck() : nullptr;
                       if (ack != nullptr && ack->stored) {
                         done();
                       } else {
                         m_committer->Record(outcome, done);
                       }
                     });
  }

  void Flush() override { m_committer->FlushOutcomes(); }

 private:
  using SubmissionPtr = std::shared_ptr<Submission>;

  void AskOwner(const SubmissionPtr& submission) {
    const Snapshot& snapshot = *submission->snapshot;
    const int shard = m_committer->ShardOf(submission->claim.key_hash);
    const std::string owner = shard < 0 ? snapshot.self : ShardOwner(snapshot, shard);
    const auto remaining =
        std::chrono::duration_cast<Milliseconds>(submission->deadline - m_clock->Now());
    if (owner == snapshot.self || remaining <= Milliseconds(0)) {
      CommitLocally(submission);
      return;
    }
    m_peers->Request(
        owner, ToClaimRequest(submission->claim, shard, std::min(kOwnerWaitLimit, remaining)),
        std::min(kOwnerTimeout, remaining),
        [this, submission](const Result<wire::EnvelopeT>& reply) { OnReply(submission, reply); });
  }

  void OnReply(const SubmissionPtr& submission, const Result<wire::EnvelopeT>& reply) {
    const wire::ClaimReplyT* message = reply ? reply.value().body.AsClaimReply() : nullptr;
    if (message == nullptr) {
      submission->maybe_written =
          submission->maybe_written || reply || reply.error().code != ResultCode::kPeerUnreachable;
      CommitLocally(submission);
      return;
    }
    ClaimReply decoded = FromClaimReply(*message, submission->claim);
    submission->maybe_written = submission->maybe_written || decoded.maybe_written;
    const bool retry =
        decoded.decision == ClaimDecision::kUnavailable && m_clock->Now() < submission->deadline;
    if (retry) {
      AskOwner(submission);
      return;
    }
    Finish(submission, std::move(decoded));
  }

  void CommitLocally(const SubmissionPtr& submission) {
    m_committer->Submit(submission->claim, submission->deadline,
                        [submission](ClaimReply reply) { Finish(submission, std::move(reply)); });
  }

  static void Finish(const SubmissionPtr& submission, ClaimReply reply) {
    reply.maybe_written = reply.decision != ClaimDecision::kGranted &&
                          (reply.maybe_written || submission->maybe_written);
    submission->done(std::move(reply));
  }

  PeerService* const m_peers;
  OrderCommitter* const m_committer;
  const Clock* const m_clock;
};

}  // namespace

std::string ShardOwner(const Snapshot& snapshot, int shard) {
  std::vector<std::string> names;
  for (const MemberView& member : snapshot.members) {
    if (!member.leaving) {
      names.push_back(member.name);
    }
  }
  const std::vector<size_t> owners =
      RendezvousTop("order-shard/" + std::to_string(shard), names, 1);
  return owners.empty() ? snapshot.self : names[owners[0]];
}

std::unique_ptr<ClaimForwarder> MakePeerClaimForwarder(PeerService* peers,
                                                       OrderCommitter* committer,
                                                       const Clock* clock) {
  return std::make_unique<PeerClaimForwarder>(peers, committer, clock);
}

void RegisterClaimHandlers(PeerService* peers, OrderCommitter* committer, const Clock* clock) {
  peers->SetRequestHandler(
      wire::Body::ClaimRequest,
      [committer, clock](const std::string& /*peer*/, const wire::EnvelopeT& request,
                         const PeerService::Responder& respond) {
        const wire::ClaimRequestT* message = request.body.AsClaimRequest();
        committer->Submit(FromClaimRequest(*message), clock->Now() + Milliseconds(message->wait_ms),
                          [respond](const ClaimReply& reply) { respond(ToClaimReply(reply)); });
      });
  peers->SetRequestHandler(wire::Body::OutcomeRecord,
                           [committer](const std::string& /*peer*/, const wire::EnvelopeT& request,
                                       const PeerService::Responder& respond) {
                             Claim outcome = FromOutcomeRecord(*request.body.AsOutcomeRecord());
                             if (outcome.state == ClaimState::kPending) {
                               respond(ToOutcomeAck(false));
                               return;
                             }
                             committer->Record(std::move(outcome),
                                               [respond] { respond(ToOutcomeAck(true)); });
                           });
}

}  // namespace azuregw
