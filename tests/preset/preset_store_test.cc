// PresetStore: "accepted" only when the change took effect, and exactly one of two racing operators
// wins, whatever replies are lost.

#include "azuregw/preset/preset_store.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/preset_documents.h"

namespace azuregw {
namespace {

using Fault = MemoryKeyValueStore::Fault;

struct Fixture {
  MemoryKeyValueStore kv;
  int ids = 0;
  std::vector<Milliseconds> sleeps;
  PresetStore store{&kv, [this] { return "change-" + std::to_string(++ids); },
                    [this](Milliseconds time) { sleeps.push_back(time); }};

  void CreateTwo() {
    BOOST_REQUIRE(store.Create("ordinary", TestPresetDocument("ordinary").dump()));
    BOOST_REQUIRE(store.Create("peak", TestPresetDocument("peak").dump()));
  }
  uint64_t RevisionInForce() { return store.Current().value()->revision; }
};

BOOST_FIXTURE_TEST_SUITE(preset_store, Fixture)

BOOST_AUTO_TEST_CASE(revisions_grow_by_one) {
  CreateTwo();
  BOOST_TEST(!store.Current().value().has_value());
  BOOST_TEST(store.Use("ordinary", "ann", {}).value() == 1u);
  BOOST_TEST(store.Use("peak", "bob", {}).value() == 2u);
  BOOST_TEST(store.Use("ordinary", "ann", {}).value() == 3u);
  const PresetRecord record = *store.Current().value();
  BOOST_TEST(record.name == "ordinary");
  BOOST_TEST(record.author == "ann");
  BOOST_TEST(record.recent_changes.size() == 3u);
}

BOOST_AUTO_TEST_CASE(only_recent_changes_are_kept) {
  CreateTwo();
  for (int i = 0; i < 40; ++i) {
    BOOST_REQUIRE(store.Use("ordinary", "ann", {}));
  }
  const PresetRecord record = *store.Current().value();
  BOOST_TEST(record.recent_changes.size() == kRecentChanges);
  BOOST_TEST(record.recent_changes.back().revision == 40u);
}

// Guards against both operators being told that their preset is in force.
BOOST_AUTO_TEST_CASE(one_of_two_racing_operators_wins) {
  CreateTwo();
  PresetStore other(
      &kv, [] { return std::string("other"); }, [](Milliseconds) {});
  bool raced = false;
  kv.SetHook([&](std::string_view op, std::string_view key) {
    if (op == "cas" && key == kCurrentPresetKey && !raced) {
      raced = true;
      BOOST_TEST(other.Use("peak", "bob", {}).value() == 1u);
    }
  });
  const Result<uint64_t> loser = store.Use("ordinary", "ann", {});
  BOOST_REQUIRE(!loser);
  BOOST_TEST((loser.error().code == ResultCode::kPresetConflict));
  BOOST_TEST(loser.error().message.find("revision 1") != std::string::npos);
  BOOST_TEST(store.Current().value()->name == "peak");
}

BOOST_AUTO_TEST_CASE(expected_revision_is_checked) {
  CreateTwo();
  BOOST_REQUIRE(store.Use("ordinary", "ann", {}));
  BOOST_TEST((store.Use("peak", "bob", {0, {}}).error().code == ResultCode::kPresetConflict));
  BOOST_TEST(store.Use("peak", "bob", {1, {}}).value() == 2u);
}

// Guards against reporting a failure, or swapping twice, when only the reply was lost.
BOOST_AUTO_TEST_CASE(lost_reply_is_found_by_change_id) {
  CreateTwo();
  kv.InjectWrite(Fault::kLostReply);
  BOOST_TEST(store.Use("ordinary", "ann", {}).value() == 1u);
  BOOST_TEST(RevisionInForce() == 1u);
}

// Guards against missing one's own change when another operator changed the preset since.
BOOST_AUTO_TEST_CASE(lost_reply_is_found_behind_later_changes) {
  CreateTwo();
  PresetStore other(
      &kv, [] { return std::string("other"); }, [](Milliseconds) {});
  PresetStore slow(
      &kv, [] { return std::string("mine"); },
      [&](Milliseconds) { BOOST_REQUIRE(other.Use("peak", "bob", {})); });
  kv.InjectWrite(Fault::kLostReply);
  BOOST_TEST(slow.Use("ordinary", "ann", {}).value() == 1u);
  BOOST_TEST(RevisionInForce() == 2u);
}

// Guards against claiming that nothing changed while the request may still arrive, and against
// sending it again.
BOOST_AUTO_TEST_CASE(lost_request_stays_unknown_and_is_not_repeated) {
  CreateTwo();
  const int before = kv.Calls("cas");
  kv.InjectWrite(Fault::kLostRequest);
  const Result<uint64_t> result = store.Use("ordinary", "ann", {});
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().code == ResultCode::kPresetOutcomeUnknown));
  BOOST_TEST((result.error().outcome == RunOutcome::kUnknown));
  BOOST_TEST(kv.Calls("cas") == before + 1);
}

// Once another change took the place, the lost swap can never take effect.
BOOST_AUTO_TEST_CASE(lost_request_behind_another_change_is_a_conflict) {
  CreateTwo();
  PresetStore other(
      &kv, [] { return std::string("other"); }, [](Milliseconds) {});
  PresetStore slow(
      &kv, [] { return std::string("mine"); },
      [&](Milliseconds) { BOOST_REQUIRE(other.Use("peak", "bob", {})); });
  kv.InjectWrite(Fault::kLostRequest);
  BOOST_TEST((slow.Use("ordinary", "ann", {}).error().code == ResultCode::kPresetConflict));
}

BOOST_AUTO_TEST_CASE(outage_changes_nothing) {
  CreateTwo();
  kv.InjectWrite(Fault::kUnavailable);
  BOOST_TEST((store.Use("ordinary", "ann", {}).error().code == ResultCode::kKvUnavailable));
  BOOST_TEST(!store.Current().value().has_value());
}

BOOST_AUTO_TEST_CASE(invalid_or_unknown_presets_are_refused) {
  BOOST_TEST((store.Use("none", "ann", {}).error().code == ResultCode::kKvNotFound));
  BOOST_TEST((store.Create("x", "{}").error().code == ResultCode::kPresetInvalid));
  BOOST_TEST((store.Create("a/b", TestPresetDocument("a/b").dump()).error().code ==
              ResultCode::kPresetInvalid));
}

// Guards against putting an older content in force when the service's reader lags behind an edit.
BOOST_AUTO_TEST_CASE(expected_version_of_the_named_preset_is_checked) {
  CreateTwo();
  const uint64_t version = store.Show("peak").value().version;
  BOOST_TEST(
      (store.Use("peak", "ann", {{}, version + 1}).error().code == ResultCode::kPresetConflict));
  BOOST_TEST(store.Use("peak", "ann", {{}, version}).value() == 1u);
}

// Guards against one operator overwriting another's edit of the same preset.
BOOST_AUTO_TEST_CASE(edit_needs_the_version_it_was_based_on) {
  CreateTwo();
  const uint64_t version = store.Show("peak").value().version;
  nlohmann::json document = TestPresetDocument("peak");
  document["limits"] = {{"step_timeout_ms", 77}};
  BOOST_REQUIRE(store.Edit("peak", version, document.dump()));
  BOOST_TEST(
      (store.Edit("peak", version, document.dump()).error().code == ResultCode::kPresetConflict));
  BOOST_TEST((store.Create("peak", document.dump()).error().code == ResultCode::kPresetConflict));
  kv.InjectWrite(Fault::kLostReply);
  document["limits"] = {{"step_timeout_ms", 78}};
  BOOST_TEST(!!store.Edit("peak", store.Show("peak").value().version, document.dump()));
  BOOST_TEST(store.List().value().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
