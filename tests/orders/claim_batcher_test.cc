// Tests of the group commit of one shard, with scripted store replies.

#include "azuregw/orders/claim_batcher.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace azuregw {
namespace {

constexpr int64_t kWall = 1700000000000;

struct Fixture {
  Claim NewClaim(const std::string& key) const {
    return Claim{key, "print", "id-" + key, kWall, kWall + 30000, ClaimState::kPending, {}};
  }
  void Submit(const std::string& key, Milliseconds time = Milliseconds(30000)) {
    batcher.Submit(NewClaim(key), now + time, now, [this, key](const ClaimReply& reply) {
      verdicts[key] = reply.decision;
      maybe_written[key] = reply.maybe_written;
    });
  }
  std::optional<StoreCall> Next() { return batcher.NextCall(now, kWall); }
  void Reply(ResultCode code, uint64_t revision = 0) {
    batcher.OnReply(StoreReply{code, std::nullopt, revision}, now, kWall);
    RunCallbacks();
  }
  void ReplyRead(const std::string& value, uint64_t revision) {
    StoreReply reply;
    reply.entry = KvEntry{"azuregw/orders/0", value, revision};
    batcher.OnReply(reply, now, kWall);
    RunCallbacks();
  }
  void RunCallbacks() {
    for (const auto& callback : batcher.TakeCallbacks()) {
      callback();
    }
  }

  ClaimBatcher batcher{"azuregw/orders/0", BatcherOptions()};
  TimePoint now{Milliseconds(1000000)};
  std::map<std::string, ClaimDecision> verdicts;
  std::map<std::string, bool> maybe_written;
};

BOOST_FIXTURE_TEST_SUITE(claim_batcher, Fixture)

// Guards against one swap per claim, which would limit the order rate to the store's write rate.
BOOST_AUTO_TEST_CASE(queued_claims_share_a_swap) {
  Submit("first");
  (void)Next();
  Reply(ResultCode::kOk);  // The record is absent.
  BOOST_REQUIRE(Next());
  for (int i = 0; i < 100; ++i) {
    Submit("k" + std::to_string(i));
  }
  BOOST_TEST(!Next());  // One call at a time.
  Reply(ResultCode::kOk, 1);
  const std::optional<StoreCall> swap = Next();
  BOOST_REQUIRE(swap);
  BOOST_TEST(swap->expected == 1u);
  Reply(ResultCode::kOk, 2);
  BOOST_TEST(verdicts.size() == 101u);
  BOOST_TEST(batcher.Counters().swaps == 2u);
}

// Guards against granting a claim before its swap is known to have taken effect.
BOOST_AUTO_TEST_CASE(lost_reply_leads_to_a_read_before_the_grant) {
  Submit("k");
  (void)Next();
  Reply(ResultCode::kOk);
  const std::optional<StoreCall> swap = Next();
  BOOST_REQUIRE(swap);
  Reply(ResultCode::kKvOutcomeUnknown);
  BOOST_TEST(verdicts.empty());
  const std::optional<StoreCall> read = Next();
  BOOST_REQUIRE(read);
  BOOST_TEST((read->kind == StoreCall::Kind::kRead));
  ReplyRead(swap->value, 1);
  BOOST_TEST(!Next());
  RunCallbacks();
  BOOST_TEST((verdicts["k"] == ClaimDecision::kGranted));
  BOOST_TEST(batcher.Counters().swaps == 1u);
}

// Guards against a refusal that does not say that the claim may still become pending.
BOOST_AUTO_TEST_CASE(refusal_says_whether_the_claim_may_be_written) {
  Submit("sure", Milliseconds(10));
  now += Milliseconds(10);
  batcher.Expire(now, kWall);
  RunCallbacks();
  BOOST_TEST((verdicts["sure"] == ClaimDecision::kUnavailable));
  BOOST_TEST(!maybe_written["sure"]);
  Submit("unsure", Milliseconds(10));
  (void)Next();
  Reply(ResultCode::kOk);
  BOOST_REQUIRE(Next());
  now += Milliseconds(10);
  batcher.Expire(now, kWall);
  RunCallbacks();
  BOOST_TEST((verdicts["unsure"] == ClaimDecision::kUnavailable));
  BOOST_TEST(maybe_written["unsure"]);
}

// Guards against replacing a record that this version cannot read, which would lose its claims.
BOOST_AUTO_TEST_CASE(unreadable_record_is_never_replaced) {
  Submit("k");
  for (int i = 0; i < 20; ++i) {
    const std::optional<StoreCall> call = Next();
    if (call) {
      BOOST_TEST((call->kind == StoreCall::Kind::kRead));
      ReplyRead("not a record", 7);
    }
    now += Milliseconds(1000);
  }
  batcher.Expire(now + Milliseconds(60000), kWall);
  RunCallbacks();
  BOOST_TEST((verdicts["k"] == ClaimDecision::kUnavailable));
}

// Guards against a busy loop while the store is unavailable.
BOOST_AUTO_TEST_CASE(calls_back_off_while_the_store_is_unavailable) {
  Submit("k", Milliseconds(60000));
  int calls = 0;
  for (int ms = 0; ms < 20000; ++ms) {
    if (Next()) {
      ++calls;
      Reply(ResultCode::kKvUnavailable);
    }
    now += Milliseconds(1);
  }
  BOOST_TEST(calls <= 20000 / 500 + 10);
  BOOST_TEST(calls >= 20000 / 500 - 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
