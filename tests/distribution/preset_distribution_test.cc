// Distribution of presets between instances: complete, never backwards, and checked.

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

// Invariant I7: everywhere within 5 s, also when messages are lost.
BOOST_AUTO_TEST_CASE(revision_reaches_all_within_five_seconds) {
  for (const double loss : {0.0, 0.05, 0.3}) {
    PresetNetwork network(100, 1);
    network.ActivatePreset(0, 7, SampleDocument(2000, 1));
    network.RunUntilAll(7, Milliseconds(20000));
    BOOST_REQUIRE(network.Holders(7) == 100u);
    network.SetLoss(loss);
    network.ActivatePreset(3, 8, SampleDocument(2000, 2));
    BOOST_TEST(network.RunUntilAll(8, Milliseconds(20000)).count() <= 5000);
  }
}

// Guards against instances that keep an old revision when every notice is lost.
BOOST_AUTO_TEST_CASE(heartbeats_repair_lost_notices) {
  PresetNetwork network(9, 2);
  network.SetLoss(1.0);
  network.ActivatePreset(0, 7, SampleDocument(500, 1));
  for (int i = 0; i < 100; ++i) {
    network.Step();
  }
  BOOST_TEST(network.Holders(7) == 1u);
  network.SetLoss(0.0);
  BOOST_TEST(network.RunUntilAll(7, Milliseconds(20000)).count() <= 5000);
}

// Guards against pulling 500 KB for a change of one value.
BOOST_AUTO_TEST_CASE(known_base_is_patched) {
  PresetNetwork network(9, 3);
  network.ActivatePreset(0, 7, SampleDocument(100000, 1));
  network.RunUntilAll(7, Milliseconds(20000));
  const uint64_t before = network.Bytes();
  network.ActivatePreset(0, 8, SampleDocument(100000, 2));
  network.RunUntilAll(8, Milliseconds(20000));
  BOOST_TEST(network.Holders(8) == 9u);
  BOOST_TEST(network.Bytes() - before < 100000u);
}

wire::PresetReplyT WholeReply(uint64_t revision, const std::string& document) {
  wire::PresetReplyT reply;
  reply.revision = revision;
  reply.document = CanonicalJson(document).value();
  reply.document_hash = Sha256(reply.document);
  return reply;
}

// Invariant I7: a revision never reverts, even when a paused peer sends an old one. Without the
// rule, the same reply is put in force.
BOOST_AUTO_TEST_CASE(lower_revision_is_never_delivered) {
  for (const bool rule : {true, false}) {
    PresetDistributionOptions options;
    options.reject_lower_revisions = rule;
    const auto node = MakePresetDistribution(options, MakeRandom(4));
    const TimePoint now{};
    node->OnPresetActivated(9, SampleDocument(500, 2), now);
    const auto actions = node->OnReply("gw-1", WholeReply(7, SampleDocument(500, 1)), now);
    BOOST_TEST(actions.delivered.has_value() == !rule);
    BOOST_TEST(node->Revision() == (rule ? 9u : 7u));
  }
}

// Guards against putting a document in force that differs from the announced one: the patch of
// another base, or a damaged reply. Without the check, it is delivered.
BOOST_AUTO_TEST_CASE(wrong_patch_result_is_refused) {
  for (const bool check : {true, false}) {
    PresetDistributionOptions options;
    options.verify_document_hash = check;
    const auto node = MakePresetDistribution(options, MakeRandom(5));
    const TimePoint now{};
    node->OnPresetActivated(7, SampleDocument(500, 1), now);
    wire::PresetReplyT reply = WholeReply(8, SampleDocument(500, 3));
    reply.base_revision = 7;
    reply.document = R"([{"op":"replace","path":"/workspaces/stall/weight","value":2}])";
    const auto actions = node->OnReply("gw-1", reply, now);
    BOOST_TEST(actions.delivered.has_value() == !check);
    if (check) {
      // The whole document is pulled in place of the patch.
      BOOST_REQUIRE(actions.sends.size() == 1u);
      BOOST_TEST(actions.sends[0].envelope.body.AsPresetRequest()->have_revision == 0u);
    }
  }
}

// Guards against waiting for a peer that died in the middle of a pull.
BOOST_AUTO_TEST_CASE(silent_source_is_replaced) {
  const auto node = MakePresetDistribution({}, MakeRandom(6));
  TimePoint now{Milliseconds(1000)};
  const auto first = node->OnPeerRevision("gw-1", 8, now);
  BOOST_TEST(first.sends.at(0).peer == "gw-1");
  BOOST_TEST(node->OnPeerRevision("gw-2", 8, now).sends.empty());
  BOOST_TEST(node->IsBehind());
  now += Milliseconds(600);
  BOOST_TEST(node->Tick(now).sends.at(0).peer == "gw-2");
}

// Guards against a starting instance that settles for less than the highest revision of its peers.
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
