// Streams through real processes: every layer once per token, in order, and the whole answer to its
// own caller, while stages and instances fail.

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

namespace azuregw::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Name of the first engine of the range that holds a live sequence.
std::string BusyEngine(Cluster* cluster, int first_layer) {
  const auto& engines = cluster->options().engines;
  for (const EngineOptions& engine : engines) {
    if (engine.first_layer == first_layer &&
        cluster->Control(cluster->engine(engine.name), "/test/stats")["sequences"].get<int>() > 0) {
      return engine.name;
    }
  }
  return "";
}

struct Interrupted {
  StreamResult result;
  std::string engine;  // The engine that was hit.
};

// Streams `tokens` tokens and, after the fifth, applies `fault` to the engine that serves the range
// of `first_layer`.
template <class Fault>
Interrupted StreamWithFault(Cluster* cluster, int tokens, int first_layer, Fault fault) {
  Interrupted interrupted;
  int events = 0;
  interrupted.result =
      cluster->Stream(0, "a tiger face for a fair", tokens, {}, [&](const SseEvent&) {
        if (++events == 5) {
          interrupted.engine = BusyEngine(cluster, first_layer);
          fault(interrupted.engine);
        }
        return true;
      });
  return interrupted;
}

void CheckWhole(Cluster* cluster, const Interrupted& interrupted, int tokens) {
  BOOST_TEST(!interrupted.engine.empty());
  BOOST_TEST(interrupted.result.error == "");
  BOOST_TEST(interrupted.result.done);
  BOOST_TEST(interrupted.result.text == cluster->Expected("a tiger face for a fair", tokens));
  BOOST_TEST(cluster->CheckEngineLogs() == "");
}

constexpr int kTokens = 40;

BOOST_AUTO_TEST_SUITE(stream)

// Guards against answers that are mixed up between callers when many cross.
BOOST_AUTO_TEST_CASE(crossing_streams_get_their_own_text) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  constexpr int kStreams = 32;
  std::vector<std::thread> threads;
  std::vector<StreamResult> results(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    threads.emplace_back([&cluster, &results, i] {
      results[static_cast<size_t>(i)] =
          cluster->Stream(i % 3, "caller " + std::to_string(i) + " asks", 10 + i % 7);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (int i = 0; i < kStreams; ++i) {
    const StreamResult& result = results[static_cast<size_t>(i)];
    BOOST_TEST(result.done);
    BOOST_TEST(result.error == "");
    BOOST_TEST(result.text ==
               cluster->Expected("caller " + std::to_string(i) + " asks", 10 + i % 7));
  }
  BOOST_TEST(cluster->CheckEngineLogs() == "");
}

// Guards against a lost answer, or a layer that runs twice, when a stage dies.
BOOST_AUTO_TEST_CASE(killed_stage_is_replaced) {
  for (const int first_layer : {0, 2, 4}) {
    const auto cluster = Cluster::Make(ClusterOptions());
    BOOST_REQUIRE(cluster);
    const Interrupted interrupted =
        StreamWithFault(cluster.get(), kTokens, first_layer,
                        [&](const std::string& name) { cluster->engine(name).process->Kill(); });
    CheckWhole(cluster.get(), interrupted, kTokens);
  }
}

// Guards against a late answer of a stage that was given up being taken after its replacement's.
BOOST_AUTO_TEST_CASE(frozen_stage_that_thaws_late_changes_nothing) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  std::thread thaw;
  const Interrupted interrupted =
      StreamWithFault(cluster.get(), kTokens, 2, [&](const std::string& name) {
        Process* process = cluster->engine(name).process.get();
        process->Stop();
        thaw = std::thread([process] {
          std::this_thread::sleep_for(milliseconds(1100));
          process->Continue();
        });
      });
  if (thaw.joinable()) {
    thaw.join();
  }
  CheckWhole(cluster.get(), interrupted, kTokens);
}

// Guards against a repair that cannot follow another one.
BOOST_AUTO_TEST_CASE(two_stages_die_at_once) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  const Interrupted interrupted =
      StreamWithFault(cluster.get(), kTokens, 0, [&](const std::string& name) {
        const std::string second = BusyEngine(cluster.get(), 2);
        cluster->engine(name).process->Kill();
        cluster->engine(second).process->Kill();
      });
  CheckWhole(cluster.get(), interrupted, kTokens);
}

// Guards against cutting a live stream off when its engine leaves.
BOOST_AUTO_TEST_CASE(stage_that_leaves_finishes_or_moves) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  const Interrupted interrupted =
      StreamWithFault(cluster.get(), kTokens, 2, [&](const std::string& name) {
        cluster->Control(cluster->engine(name), "/test/leaving");
        cluster->PublishList({name});
      });
  CheckWhole(cluster.get(), interrupted, kTokens);
}

// Guards against a caller that must start again, or sees tokens twice, when its instance dies.
BOOST_AUTO_TEST_CASE(caller_resumes_at_another_instance) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  int events = 0;
  const StreamResult first =
      cluster->Stream(0, "engrave two swans", kTokens, {}, [&](const SseEvent&) {
        if (++events == 8) {
          cluster->instances()[0].process->Kill();
        }
        return true;
      });
  BOOST_TEST(!first.done);
  BOOST_REQUIRE(!first.resume_token.empty());
  const StreamResult rest =
      cluster->Stream(1, "engrave two swans", kTokens,
                      {{"X-Azuregw-Resume", first.resume_token}, {"Last-Event-ID", first.last_id}});
  BOOST_TEST(rest.done);
  BOOST_TEST(rest.error == "");
  BOOST_TEST(first.text + rest.text == cluster->Expected("engrave two swans", kTokens));
  BOOST_TEST(cluster->CheckEngineLogs() == "");
}

// Guards against a paused instance that goes on with a stream which its caller has taken up
// elsewhere.
BOOST_AUTO_TEST_CASE(paused_instance_cannot_add_tokens_after_a_resume) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  int events = 0;
  Process* paused = cluster->instances()[0].process.get();
  const StreamResult first =
      cluster->Stream(0, "engrave two swans", kTokens, {}, [&](const SseEvent&) {
        if (++events < 8) {
          return true;
        }
        paused->Stop();
        return false;
      });
  BOOST_REQUIRE(!first.resume_token.empty());
  int resumed_events = 0;
  const StreamResult rest =
      cluster->Stream(1, "engrave two swans", kTokens,
                      {{"X-Azuregw-Resume", first.resume_token}, {"Last-Event-ID", first.last_id}},
                      [&](const SseEvent&) {
                        if (++resumed_events == 5) {
                          paused->Continue();
                        }
                        return true;
                      });
  BOOST_TEST(rest.done);
  BOOST_TEST(first.text + rest.text == cluster->Expected("engrave two swans", kTokens));
  BOOST_TEST(cluster->CheckEngineLogs() == "");
}

// Guards against a pair of faults: a stage dies while the key-value service is down.
BOOST_AUTO_TEST_CASE(stage_dies_during_a_platform_outage) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  cluster->Control(cluster->kv(), "/test/outage?ms=20000&mode=hang");
  cluster->Control(cluster->list(), "/test/outage?ms=20000");
  const Interrupted interrupted =
      StreamWithFault(cluster.get(), kTokens, 4,
                      [&](const std::string& name) { cluster->engine(name).process->Kill(); });
  CheckWhole(cluster.get(), interrupted, kTokens);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
