// Forwarder that commits claims and outcomes in this process.

#include <utility>

#include "azuregw/orders/claim_forwarder.h"
#include "azuregw/orders/order_committer.h"

namespace azuregw {
namespace {

class LocalClaimForwarder final : public ClaimForwarder {
 public:
  explicit LocalClaimForwarder(OrderCommitter* committer) : m_committer(committer) {}

  void Submit(const Snapshot& snapshot, Claim claim, TimePoint deadline,
              ClaimCallback done) override {
    m_committer->Configure(snapshot);
    m_committer->Submit(std::move(claim), deadline, std::move(done));
  }

  void Record(const Snapshot& /*snapshot*/, Claim outcome, RecordCallback done) override {
    m_committer->Record(std::move(outcome), std::move(done));
  }

  void Flush() override { m_committer->FlushOutcomes(); }

 private:
  OrderCommitter* const m_committer;
};

}  // namespace

std::unique_ptr<ClaimForwarder> MakeLocalClaimForwarder(OrderCommitter* committer) {
  return std::make_unique<LocalClaimForwarder>(committer);
}

}  // namespace azuregw
