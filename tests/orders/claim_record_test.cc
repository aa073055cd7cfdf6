// Tests of the state transitions and the JSON form of a shard record.

#include "azuregw/orders/claim_record.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

namespace azuregw {
namespace {

Claim MakeClaim(const std::string& key, const std::string& id, int64_t created_ms = 1000) {
  return Claim{key, "print", id, created_ms, created_ms + 5000, ClaimState::kPending, {}};
}

Claim Settle(Claim claim, ClaimState state) {
  claim.state = state;
  if (state == ClaimState::kRun) {
    claim.answer = RecordedAnswer{201, "text/plain", "done", "", true};
  }
  return claim;
}

BOOST_AUTO_TEST_SUITE(claim_record)

// Guards against a record that one instance writes and another cannot read back unchanged.
BOOST_AUTO_TEST_CASE(encoded_record_decodes_unchanged) {
  setenv("RC_PARAMS", "seed=20261204", 0);
  const bool holds = rc::check("round trip", [](uint64_t key_number, const std::string& body,
                                                uint8_t state, uint32_t created_ms) {
    const std::string key = std::to_string(key_number);
    ClaimRecord record;
    Claim claim = MakeClaim(key, "id", created_ms);
    (void)record.Apply(claim, nullptr, claim.created_ms);
    claim = Settle(claim, static_cast<ClaimState>(1 + state % 3));
    if (claim.answer) {
      claim.answer->body = body;
    }
    RC_ASSERT(record.ApplyOutcome(claim));
    const Result<ClaimRecord> read = ClaimRecord::Decode(record.Encode());
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read.value().Find(key) == claim);
  });
  BOOST_TEST(holds);
}

// Guards against reading a malformed record as an empty one.
BOOST_AUTO_TEST_CASE(malformed_record_is_an_error) {
  for (const char* text : {"", "{}", "[]", R"({"g":[],"c":[[1]]})", R"({"g":[],"c":)"}) {
    BOOST_TEST(!ClaimRecord::Decode(text));
  }
}

// Guards against a second run of an order whose claim was sealed: the not_run tombstone of another
// request with the same key must not hide the sealed claim.
BOOST_AUTO_TEST_CASE(not_run_tombstone_does_not_hide_a_sealed_claim) {
  const Claim sealed = Settle(MakeClaim("k", "first"), ClaimState::kRun);
  ClaimRecord record;
  BOOST_TEST(record.ApplyOutcome(Settle(MakeClaim("k", "second"), ClaimState::kNotRun)));
  const ClaimDecision decision = record.Apply(MakeClaim("k", "third"), &sealed, 2000);
  BOOST_TEST((decision == ClaimDecision::kAnswered));
  BOOST_TEST(record.Find("k")->claim_id == "second");
}

// Guards against dispatching an abandoned claim because of a delayed swap.
BOOST_AUTO_TEST_CASE(abandoned_claim_is_never_granted) {
  ClaimRecord record;
  const Claim claim = MakeClaim("k", "first");
  BOOST_TEST(record.ApplyOutcome(Settle(claim, ClaimState::kNotRun)));
  BOOST_TEST((record.Apply(claim, nullptr, 2000) == ClaimDecision::kAbandoned));
  BOOST_TEST((record.Apply(MakeClaim("k", "second"), nullptr, 2000) == ClaimDecision::kGranted));
  BOOST_TEST((record.Apply(claim, nullptr, 2000) == ClaimDecision::kInProgress));
}

// Guards against losing an outcome or replacing it by a less certain one.
BOOST_AUTO_TEST_CASE(outcomes_never_become_less_certain) {
  ClaimRecord record;
  const Claim claim = MakeClaim("k", "first");
  (void)record.Apply(claim, nullptr, 1000);
  BOOST_TEST(record.ApplyOutcome(Settle(claim, ClaimState::kUnknown)));
  BOOST_TEST(record.ApplyOutcome(Settle(claim, ClaimState::kRun)));
  BOOST_TEST(!record.ApplyOutcome(Settle(claim, ClaimState::kUnknown)));
  BOOST_TEST(!record.ApplyOutcome(Settle(claim, ClaimState::kNotRun)));
  BOOST_TEST(!record.ApplyOutcome(Settle(MakeClaim("k", "other"), ClaimState::kRun)));
  BOOST_TEST((record.Find("k")->state == ClaimState::kRun));
}

// Guards against losing claims during sealing, and against sealing pending claims.
BOOST_AUTO_TEST_CASE(sealing_moves_settled_claims_only) {
  ClaimRecord record;
  for (const char* key : {"a", "b", "c"}) {
    (void)record.Apply(MakeClaim(key, key), nullptr, 1000);
  }
  (void)record.ApplyOutcome(Settle(MakeClaim("a", "a"), ClaimState::kRun));
  (void)record.ApplyOutcome(Settle(MakeClaim("b", "b"), ClaimState::kUnknown));
  const ClaimRecord sealed = record.Settled(2000);
  BOOST_TEST(sealed.Size() == 2u);
  // The outcome of b changes before the generation is linked, so b must stay in the record.
  (void)record.ApplyOutcome(Settle(MakeClaim("b", "b"), ClaimState::kRun));
  BOOST_TEST(record.LinkGeneration(GenerationRef{"1-x", 1000}, sealed, 2000));
  BOOST_TEST(record.Find("a") == nullptr);
  BOOST_TEST((record.Find("b")->state == ClaimState::kRun));
  BOOST_TEST((record.Find("c")->state == ClaimState::kPending));
  BOOST_TEST(!record.LinkGeneration(GenerationRef{"1-y", 1000}, sealed, 2000));
  BOOST_TEST(record.Generations().size() == 1u);
}

// Guards against dropping claims within the retention, and against unbounded growth of a record.
BOOST_AUTO_TEST_CASE(claims_expire_after_the_retention) {
  ClaimRecord record;
  (void)record.Apply(MakeClaim("k", "id"), nullptr, 1000);
  (void)record.ApplyOutcome(Settle(MakeClaim("k", "id"), ClaimState::kRun));
  BOOST_TEST(record.Expire(1000 + 59999, 60000).empty());
  BOOST_TEST(record.Size() == 1u);
  (void)record.Expire(1000 + 60000, 60000);
  BOOST_TEST(record.Size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
