// Tests that PresetStore reports success only for changes that took effect, and that exactly one of
// two racing operators succeeds, also when replies are lost.

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

  void CreateTwoPresets() {
    BOOST_REQUIRE(store.Create("ordinary", TestPresetDocument("ordinary").dump()));
    BOOST_REQUIRE(store.Create("peak", TestPresetDocument("peak").dump()));
  }
  uint64_t ActiveRevision() { return store.Current().value()->revision; }
};

BOOST_FIXTURE_TEST_SUITE(preset_store, Fixture)

BOOST_AUTO_TEST_CASE(each_change_increments_the_revision) {
  CreateTwoPresets();
  BOOST_TEST(!store.Current().value().has_value());
  BOOST_TEST(store.Use("ordinary", "ann", {}).value() == 1u);
  BOOST_TEST(store.Use("peak", "bob", {}).value() == 2u);
  BOOST_TEST(store.Use("ordinary", "ann", {}).value() == 3u);
  const PresetRecord record = *store.Current().value();
  BOOST_TEST(record.name == "ordinary");
  BOOST_TEST(record.author == "ann");
  BOOST_TEST(record.recent_changes.size() == 3u);
}

BOOST_AUTO_TEST_CASE(record_keeps_only_recent_changes) {
  CreateTwoPresets();
  for (int i = 0; i < 40; ++i) {
    BOOST_REQUIRE(store.Use("ordinary", "ann", {}));
  }
  const PresetRecord record = *store.Current().value();
  BOOST_TEST(record.recent_changes.size() == kRecentChanges);
  BOOST_TEST(record.recent_changes.back().revision == 40u);
}

// Guards against reporting success to both operators.
BOOST_AUTO_TEST_CASE(one_of_two_racing_operators_succeeds) {
  CreateTwoPresets();
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

BOOST_AUTO_TEST_CASE(revision_precondition_is_checked) {
  CreateTwoPresets();
  BOOST_REQUIRE(store.Use("ordinary", "ann", {}));
  BOOST_TEST((store.Use("peak", "bob", {0, {}}).error().code == ResultCode::kPresetConflict));
  BOOST_TEST(store.Use("peak", "bob", {1, {}}).value() == 2u);
}

// Guards against reporting an error, or swapping twice, if only the reply to the swap is lost.
BOOST_AUTO_TEST_CASE(lost_reply_is_found_by_change_id) {
  CreateTwoPresets();
  kv.InjectWrite(Fault::kLostReply);
  BOOST_TEST(store.Use("ordinary", "ann", {}).value() == 1u);
  BOOST_TEST(ActiveRevision() == 1u);
}

// Guards against overlooking a change in the record after another operator activated a preset.
BOOST_AUTO_TEST_CASE(lost_reply_is_found_among_later_changes) {
  CreateTwoPresets();
  PresetStore other(
      &kv, [] { return std::string("other"); }, [](Milliseconds) {});
  PresetStore slow(
      &kv, [] { return std::string("mine"); },
      [&](Milliseconds) { BOOST_REQUIRE(other.Use("peak", "bob", {})); });
  kv.InjectWrite(Fault::kLostReply);
  BOOST_TEST(slow.Use("ordinary", "ann", {}).value() == 1u);
  BOOST_TEST(ActiveRevision() == 2u);
}

// Guards against reporting that nothing changed while a delayed request may still take effect, and
// against sending the request again.
BOOST_AUTO_TEST_CASE(lost_request_has_unknown_outcome_and_is_not_retried) {
  CreateTwoPresets();
  const int before = kv.Calls("cas");
  kv.InjectWrite(Fault::kLostRequest);
  const Result<uint64_t> result = store.Use("ordinary", "ann", {});
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().code == ResultCode::kPresetOutcomeUnknown));
  BOOST_TEST((result.error().outcome == RunOutcome::kUnknown));
  BOOST_TEST(kv.Calls("cas") == before + 1);
}

// After another change, the lost swap can no longer take effect, because its base is outdated.
BOOST_AUTO_TEST_CASE(lost_request_is_a_conflict_after_another_change) {
  CreateTwoPresets();
  PresetStore other(
      &kv, [] { return std::string("other"); }, [](Milliseconds) {});
  PresetStore slow(
      &kv, [] { return std::string("mine"); },
      [&](Milliseconds) { BOOST_REQUIRE(other.Use("peak", "bob", {})); });
  kv.InjectWrite(Fault::kLostRequest);
  BOOST_TEST((slow.Use("ordinary", "ann", {}).error().code == ResultCode::kPresetConflict));
}

BOOST_AUTO_TEST_CASE(unavailable_service_changes_nothing) {
  CreateTwoPresets();
  kv.InjectWrite(Fault::kUnavailable);
  BOOST_TEST((store.Use("ordinary", "ann", {}).error().code == ResultCode::kKvUnavailable));
  BOOST_TEST(!store.Current().value().has_value());
}

BOOST_AUTO_TEST_CASE(invalid_or_unknown_presets_are_rejected) {
  BOOST_TEST((store.Use("none", "ann", {}).error().code == ResultCode::kKvNotFound));
  BOOST_TEST((store.Create("x", "{}").error().code == ResultCode::kPresetInvalid));
  BOOST_TEST((store.Create("a/b", TestPresetDocument("a/b").dump()).error().code ==
              ResultCode::kPresetInvalid));
}

// Guards against activating an older content after a stale read of an edited preset.
BOOST_AUTO_TEST_CASE(version_precondition_is_checked) {
  CreateTwoPresets();
  const uint64_t version = store.Show("peak").value().version;
  BOOST_TEST(
      (store.Use("peak", "ann", {{}, version + 1}).error().code == ResultCode::kPresetConflict));
  BOOST_TEST(store.Use("peak", "ann", {{}, version}).value() == 1u);
}

// Guards against lost updates when two operators edit the same preset.
BOOST_AUTO_TEST_CASE(edit_requires_the_current_version) {
  CreateTwoPresets();
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
