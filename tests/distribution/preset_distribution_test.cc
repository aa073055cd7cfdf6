// Tests that presets reach all instances, that revisions never decrease, and that documents are
// verified.

#include "azuregw/distribution/preset_distribution.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "distribution/document_history.h"
#include "tests/fakes/preset_network.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(preset_distribution)

// Invariant I7: a new revision reaches all instances within 5 s, also with message loss.
BOOST_AUTO_TEST_CASE(revision_reaches_all_within_five_seconds) {
  for (const double loss : {0.0, 0.05, 0.3}) {
    PresetNetwork network(100, 1);
    network.ActivatePreset(0, 7, SampleDocument(2000, 1));
    network.RunUntilAll(7, Milliseconds(20000));
    BOOST_REQUIRE(network.CountAtRevision(7) == 100u);
    network.SetLoss(loss);
    network.ActivatePreset(3, 8, SampleDocument(2000, 2));
    BOOST_TEST(network.RunUntilAll(8, Milliseconds(20000)).count() <= 5000);
  }
}

// Guards against instances that keep an old revision if all notices are lost.
BOOST_AUTO_TEST_CASE(heartbeats_compensate_lost_notices) {
  PresetNetwork network(9, 2);
  network.SetLoss(1.0);
  network.ActivatePreset(0, 7, SampleDocument(500, 1));
  for (int i = 0; i < 100; ++i) {
    network.Step();
  }
  BOOST_TEST(network.CountAtRevision(7) == 1u);
  network.SetLoss(0.0);
  BOOST_TEST(network.RunUntilAll(7, Milliseconds(20000)).count() <= 5000);
}

// Guards against transferring a full document, up to 500 KB, for a change of one value.
BOOST_AUTO_TEST_CASE(peers_with_a_known_base_receive_patches) {
  PresetNetwork network(9, 3);
  network.ActivatePreset(0, 7, SampleDocument(100000, 1));
  network.RunUntilAll(7, Milliseconds(20000));
  const uint64_t before = network.Bytes();
  network.ActivatePreset(0, 8, SampleDocument(100000, 2));
  network.RunUntilAll(8, Milliseconds(20000));
  BOOST_TEST(network.CountAtRevision(8) == 9u);
  BOOST_TEST(network.Bytes() - before < 100000u);
}

wire::PresetReplyT FullDocumentReply(uint64_t revision, const std::string& document) {
  wire::PresetReplyT reply;
  reply.revision = revision;
  reply.document = CanonicalJson(document).value();
  reply.document_hash = Sha256(reply.document);
  return reply;
}

// Invariant I7: the revision never decreases, even if a paused peer sends an old one. Without
// `reject_lower_revisions`, the same reply is delivered.
BOOST_AUTO_TEST_CASE(lower_revision_is_never_delivered) {
  for (const bool reject_lower : {true, false}) {
    PresetDistributionOptions options;
    options.reject_lower_revisions = reject_lower;
    const auto instance = MakePresetDistribution(options, MakeRandom(4));
    const TimePoint now{};
    instance->OnPresetActivated(9, SampleDocument(500, 2), now);
    const auto actions =
        instance->OnReply("gw-1", FullDocumentReply(7, SampleDocument(500, 1)), now);
    BOOST_TEST(actions.delivered.has_value() == !reject_lower);
    BOOST_TEST(instance->Revision() == (reject_lower ? 9u : 7u));
  }
}

// Guards against activating a document that differs from the announced one, because of a patch for
// another base or a corrupt reply. Without `verify_document_hash`, it is delivered.
BOOST_AUTO_TEST_CASE(patch_result_with_wrong_hash_is_rejected) {
  for (const bool verify_hash : {true, false}) {
    PresetDistributionOptions options;
    options.verify_document_hash = verify_hash;
    const auto instance = MakePresetDistribution(options, MakeRandom(5));
    const TimePoint now{};
    instance->OnPresetActivated(7, SampleDocument(500, 1), now);
    wire::PresetReplyT reply = FullDocumentReply(8, SampleDocument(500, 3));
    reply.base_revision = 7;
    reply.document = R"([{"op":"replace","path":"/workspaces/stall/weight","value":2}])";
    const auto actions = instance->OnReply("gw-1", reply, now);
    BOOST_TEST(actions.delivered.has_value() == !verify_hash);
    if (verify_hash) {
      // The instance requests the full document instead of a patch.
      BOOST_REQUIRE(actions.sends.size() == 1u);
      BOOST_TEST(actions.sends[0].envelope.body.AsPresetRequest()->have_revision == 0u);
    }
  }
}

// Guards against waiting for a peer that failed during a pull.
BOOST_AUTO_TEST_CASE(pull_that_times_out_is_retried_at_another_peer) {
  const auto instance = MakePresetDistribution({}, MakeRandom(6));
  TimePoint now{Milliseconds(1000)};
  const auto first = instance->OnPeerRevision("gw-1", 8, now);
  BOOST_TEST(first.sends.at(0).peer == "gw-1");
  BOOST_TEST(instance->OnPeerRevision("gw-2", 8, now).sends.empty());
  BOOST_TEST(instance->IsBehind());
  now += Milliseconds(600);
  BOOST_TEST(instance->Tick(now).sends.at(0).peer == "gw-2");
}

// Guards against a starting instance that stops at a lower revision than the highest of its peers.
BOOST_AUTO_TEST_CASE(starting_instance_obtains_the_highest_revision) {
  PresetNetwork network(9, 7);
  network.SetHeartbeats(false);
  network.SetLoss(1.0);
  for (size_t i = 1; i < 9; ++i) {
    network.ActivatePreset(i, i, SampleDocument(500, static_cast<int>(i)));
  }
  network.SetLoss(0.0);
  network.SetHeartbeats(true);
  BOOST_TEST(network.RunUntilAll(8, Milliseconds(20000)).count() <= 5000);
  const std::vector<uint64_t>& delivered = network.Delivered(0);
  BOOST_TEST(std::is_sorted(delivered.begin(), delivered.end()));
  BOOST_TEST(delivered.back() == 8u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
