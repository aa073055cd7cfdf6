// Tests PresetStore under random faults and interleavings of two operators: each accepted command
// has exactly one revision, and a rejected command has none.

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "azuregw/preset/preset_store.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/preset_documents.h"

namespace azuregw {
namespace {

using Fault = MemoryKeyValueStore::Fault;

constexpr int kSeeds = 40;
constexpr int kCommands = 30;

struct Operator {
  std::string name;
  int commands = 0;
};

class OperatorRace {
 public:
  // `blind_retries` sends a command again if its outcome is unknown, which PresetStore must not do.
  OperatorRace(uint64_t seed, bool blind_retries) : m_random(seed), m_blind_retries(blind_retries) {
    PresetStore setup(
        &m_kv, [] { return std::string("setup"); }, [](Milliseconds) {});
    BOOST_REQUIRE(setup.Create("p", TestPresetDocument("p").dump()));
    m_kv.SetHook([this](std::string_view op, std::string_view key) { OnCall(op, key); });
  }

  // Returns the first violation found, or an empty string.
  std::string Run() {
    for (int i = 0; i < kCommands && m_violation.empty(); ++i) {
      Command(&m_ann);
    }
    return m_violation;
  }

 private:
  void Command(Operator* actor) {
    const std::string command = actor->name + std::to_string(++actor->commands);
    InjectFault();
    Result<uint64_t> result = Use(command);
    if (!result && result.error().code == ResultCode::kPresetOutcomeUnknown && m_blind_retries) {
      result = Use(command);
    }
    Check(command, result);
  }

  Result<uint64_t> Use(const std::string& command) {
    PresetStore store(
        &m_kv, [command] { return command; }, [](Milliseconds) {});
    return store.Use("p", command, {});
  }

  void InjectFault() {
    switch (m_random() % 5) {
      case 0:
        m_kv.InjectWrite(Fault::kLostReply);
        break;
      case 1:
        m_kv.InjectWrite(Fault::kLostRequest);
        break;
      default:
        m_kv.InjectWrite(Fault::kNone);
    }
  }

  // Runs a command of the other operator before some of the reads, and makes up to 5 reads fail
  // after some of the swaps.
  void OnCall(std::string_view op, std::string_view key) {
    if (m_updating_history || m_in_nested_command || key != kCurrentPresetKey ||
        m_random() % 4 != 0) {
      return;
    }
    m_in_nested_command = true;
    if (op == "cas") {
      for (uint64_t i = m_random() % 6; i > 0; --i) {
        m_kv.InjectRead(Fault::kUnavailable);
      }
    } else {
      Command(&m_bob);
    }
    m_in_nested_command = false;
  }

  // Adds all revisions to the history. The record keeps more changes than occur between two calls.
  void UpdateHistory() {
    m_updating_history = true;
    auto entry = m_kv.Get(kCurrentPresetKey);
    while (!entry) {
      entry = m_kv.Get(kCurrentPresetKey);  // Each call consumes one injected read fault.
    }
    m_updating_history = false;
    if (!entry.value()) {
      return;
    }
    const PresetRecord record = DecodePresetRecord(entry.value()->value).value();
    for (const PresetChange& change : record.recent_changes) {
      m_history[change.revision] = change.change_id;
    }
  }

  int CountActivations(const std::string& command) {
    UpdateHistory();
    int activations = 0;
    for (const auto& [revision, change] : m_history) {
      activations += change == command ? 1 : 0;
    }
    return activations;
  }

  void Check(const std::string& command, const Result<uint64_t>& result) {
    const int activations = CountActivations(command);
    if (activations > 1) {
      m_violation = command + " was activated " + std::to_string(activations) + " times";
    } else if (result && m_history[result.value()] != command) {
      m_violation = command + " was accepted for a revision of " + m_history[result.value()];
    } else if (!result && result.error().outcome == RunOutcome::kNotRun && activations != 0) {
      m_violation = command + " was rejected but is in the history";
    }
  }

  MemoryKeyValueStore m_kv;
  std::mt19937_64 m_random;
  const bool m_blind_retries;
  Operator m_ann{"ann"};
  Operator m_bob{"bob"};
  std::map<uint64_t, std::string> m_history;
  std::string m_violation;
  bool m_in_nested_command = false;
  bool m_updating_history = false;
};

BOOST_AUTO_TEST_SUITE(preset_race)

BOOST_AUTO_TEST_CASE(every_accepted_command_has_one_revision) {
  for (int seed = 0; seed < kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(OperatorRace(seed, false).Run() == ""); }
  }
}

// Verifies that the simulation detects a store that sends a write again after an unknown outcome.
BOOST_AUTO_TEST_CASE(blind_retries_are_detected) {
  int detected = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    detected += OperatorRace(seed, true).Run().empty() ? 0 : 1;
  }
  BOOST_TEST(detected > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
