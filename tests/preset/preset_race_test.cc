// PresetStore under random faults and interleavings of two operators: each accepted command has one
// revision of its own, and a refused one has none.

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

class Race {
 public:
  // `blind_repeats` sends a command again when its outcome is unknown, which PresetStore must not
  // do.
  Race(uint64_t seed, bool blind_repeats) : m_random(seed), m_blind_repeats(blind_repeats) {
    PresetStore setup(
        &m_kv, [] { return std::string("setup"); }, [](Milliseconds) {});
    BOOST_REQUIRE(setup.Create("p", TestPresetDocument("p").dump()));
    m_kv.SetHook([this](std::string_view op, std::string_view key) { OnCall(op, key); });
  }

  // Returns what was found wrong, or an empty text.
  std::string Run() {
    for (int i = 0; i < kCommands && m_problem.empty(); ++i) {
      Command(&m_ann);
    }
    return m_problem;
  }

 private:
  void Command(Operator* who) {
    const std::string command = who->name + std::to_string(++who->commands);
    InjectFault();
    Result<uint64_t> result = Use(command);
    if (!result && result.error().code == ResultCode::kPresetOutcomeUnknown && m_blind_repeats) {
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

  // Lets the other operator act just before a swap or a read back, and makes reads fail for a while
  // after a swap.
  void OnCall(std::string_view op, std::string_view key) {
    if (m_observing || m_nested || key != kCurrentPresetKey || m_random() % 4 != 0) {
      return;
    }
    m_nested = true;
    if (op == "cas") {
      for (uint64_t i = m_random() % 6; i > 0; --i) {
        m_kv.InjectRead(Fault::kUnavailable);
      }
    } else {
      Command(&m_bob);
    }
    m_nested = false;
  }

  // Notes every revision that was in force; the record keeps more changes than happen in between.
  void Observe() {
    m_observing = true;
    auto entry = m_kv.Get(kCurrentPresetKey);
    while (!entry) {
      entry = m_kv.Get(kCurrentPresetKey);  // Injected read faults are used up.
    }
    m_observing = false;
    if (!entry.value()) {
      return;
    }
    const PresetRecord record = DecodePresetRecord(entry.value()->value).value();
    for (const PresetChange& change : record.recent_changes) {
      m_history[change.revision] = change.change_id;
    }
  }

  int TimesInForce(const std::string& command) {
    Observe();
    int times = 0;
    for (const auto& [revision, change] : m_history) {
      times += change == command ? 1 : 0;
    }
    return times;
  }

  void Check(const std::string& command, const Result<uint64_t>& result) {
    const int times = TimesInForce(command);
    if (times > 1) {
      m_problem = command + " was put in force " + std::to_string(times) + " times";
    } else if (result && m_history[result.value()] != command) {
      m_problem = command + " was accepted for a revision of " + m_history[result.value()];
    } else if (!result && result.error().outcome == RunOutcome::kNotRun && times != 0) {
      m_problem = command + " was refused but is in force";
    }
  }

  MemoryKeyValueStore m_kv;
  std::mt19937_64 m_random;
  const bool m_blind_repeats;
  Operator m_ann{"ann"};
  Operator m_bob{"bob"};
  std::map<uint64_t, std::string> m_history;
  std::string m_problem;
  bool m_nested = false;
  bool m_observing = false;
};

BOOST_AUTO_TEST_SUITE(preset_race)

BOOST_AUTO_TEST_CASE(every_accepted_command_has_one_revision) {
  for (int seed = 0; seed < kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(Race(seed, false).Run() == ""); }
  }
}

// Shows that the race notices a store that repeats blindly.
BOOST_AUTO_TEST_CASE(blind_repeats_are_noticed) {
  int noticed = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    noticed += Race(seed, true).Run().empty() ? 0 : 1;
  }
  BOOST_TEST(noticed > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
