// Orders through real processes: at most one effect per key, and "not run" is true. The service's
// count of effects judges.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"

namespace azuregw::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

HttpResult SendOrder(Cluster* cluster, int instance, const std::string& key,
                     const std::string& body = "{\"amount\":50}", const Headers& extra = {}) {
  Headers headers = cluster->Auth();
  headers["Idempotency-Key"] = key;
  for (const auto& [name, value] : extra) {
    headers[name] = value;
  }
  return SendRequest("POST", cluster->instances()[static_cast<size_t>(instance)].address,
                     "/v1/services/bookings/deposits", body, headers);
}

// Effects of a key, summed over all service processes. azuregw may scope keys, so the log's key is
// compared by suffix.
int Effects(const Cluster& cluster, std::vector<Node>* services, const std::string& key) {
  int total = 0;
  for (const Node& service : *services) {
    const json effects = cluster.Control(service, "/test/effects");
    for (const auto& [name, count] : effects.items()) {
      const bool matches =
          name.size() >= key.size() && name.compare(name.size() - key.size(), key.size(), key) == 0;
      total += matches ? count.get<int>() : 0;
    }
  }
  return total;
}

std::string OutcomeOf(const HttpResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  return body.is_object() && body.contains("error") ? body["error"].value("outcome", "") : "";
}

// Sends the key at the instances in turn until one answers with a final answer.
HttpResult Settle(Cluster* cluster, const std::vector<int>& instances, const std::string& key) {
  HttpResult result;
  WaitUntil(
      [&] {
        for (const int instance : instances) {
          result = SendOrder(cluster, instance, key);
        }
        return result.status == 200 || result.body.find("3002") != std::string::npos;
      },
      seconds(45));
  return result;
}

BOOST_AUTO_TEST_SUITE(order)

// Guards against a second effect when the same key arrives at several instances at the same time
// and again later.
BOOST_AUTO_TEST_CASE(same_key_at_all_instances_runs_once) {
  ClusterOptions options;
  options.services = 3;
  const auto cluster = Cluster::Make(options);
  BOOST_REQUIRE(cluster);
  for (int round = 0; round < 10; ++round) {
    const std::string key = "race-" + std::to_string(round);
    std::vector<std::thread> threads;
    for (int i = 0; i < 9; ++i) {
      threads.emplace_back([&, i] { SendOrder(cluster.get(), i % 3, key); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const HttpResult again = Settle(cluster.get(), {0, 1, 2}, key);
    BOOST_TEST(again.status == 200);
    BOOST_TEST(Effects(*cluster, &cluster->services(), key) == 1);
  }
}

BOOST_AUTO_TEST_CASE(same_key_with_another_body_is_refused) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  BOOST_TEST(SendOrder(cluster.get(), 0, "k").status == 200);
  BOOST_TEST(SendOrder(cluster.get(), 1, "k", "{\"amount\":70}").status == 422);
  BOOST_TEST(Effects(*cluster, &cluster->services(), "k") == 1);
}

// Guards against a second run when the process that holds the claim is killed while the service
// works.
BOOST_AUTO_TEST_CASE(instance_killed_between_dispatch_and_answer) {
  ClusterOptions options;
  options.service_work_ms = 500;
  const auto cluster = Cluster::Make(options);
  BOOST_REQUIRE(cluster);
  std::thread caller([&] {
    SendOrder(cluster.get(), 0, "killed", "{\"amount\":50}", {{"X-Azuregw-Deadline-Ms", "3000"}});
  });
  BOOST_TEST(WaitUntil([&] {
    return SendRequest("GET", cluster->services()[0].address, "/load", "", {})
               .body.find("\"running\":1") != std::string::npos;
  }));
  cluster->instances()[0].process->Kill();
  caller.join();
  const HttpResult again = Settle(cluster.get(), {1, 2}, "killed");
  BOOST_TEST(OutcomeOf(again) == "unknown");
  BOOST_TEST(Effects(*cluster, &cluster->services(), "killed") == 1);
}

// Guards against a second run when the holder of a claim is paused before it sends, and resumes
// long after others asked.
BOOST_AUTO_TEST_CASE(paused_holder_that_resumes_adds_no_effect) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  cluster->Control(cluster->kv(), "/test/delay?ms=200");
  for (int round = 0; round < 5; ++round) {
    const std::string key = "paused-" + std::to_string(round);
    std::thread caller([&] {
      SendOrder(cluster.get(), 0, key, "{\"amount\":50}", {{"X-Azuregw-Deadline-Ms", "2000"}});
    });
    // Points spread over the claim's swap, which takes at least 200 ms.
    std::this_thread::sleep_for(milliseconds(50 + 75 * round));
    cluster->instances()[0].process->Stop();
    const HttpResult other =
        SendOrder(cluster.get(), 1, key, "{\"amount\":50}", {{"X-Azuregw-Deadline-Ms", "2000"}});
    std::this_thread::sleep_for(milliseconds(2500));
    cluster->instances()[0].process->Continue();
    caller.join();
    const HttpResult final_answer = Settle(cluster.get(), {1, 2}, key);
    BOOST_TEST_MESSAGE("round " << round << ": " << other.body << " then " << final_answer.body);
    BOOST_TEST(Effects(*cluster, &cluster->services(), key) <= 1);
    if (OutcomeOf(other) == "not_run" && final_answer.status != 200) {
      BOOST_TEST(Effects(*cluster, &cluster->services(), key) == 0);
    }
  }
}

// Guards against a blind repeat of a swap whose reply was lost after it took effect.
BOOST_AUTO_TEST_CASE(lost_reply_of_the_claim) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  for (int round = 0; round < 5; ++round) {
    const std::string key = "lost-" + std::to_string(round);
    cluster->Control(cluster->kv(), "/test/drop_replies?count=" + std::to_string(1 + round % 2));
    const HttpResult first = SendOrder(cluster.get(), round % 3, key);
    const HttpResult again = Settle(cluster.get(), {0, 1, 2}, key);
    BOOST_TEST((again.status == 200 || OutcomeOf(again) == "unknown"));
    BOOST_TEST(Effects(*cluster, &cluster->services(), key) <= 1);
    if (first.status == 200) {
      BOOST_TEST(Effects(*cluster, &cluster->services(), key) == 1);
    }
  }
}

// Guards against a dishonest refusal: an order that can't be claimed within its deadline is refused
// as not run, and has no effect afterwards either.
BOOST_AUTO_TEST_CASE(platform_down_for_20_seconds) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  cluster->Control(cluster->kv(), "/test/outage?ms=20000");
  const HttpResult refused = SendOrder(cluster.get(), 0, "outage-short", "{\"amount\":50}",
                                       {{"X-Azuregw-Deadline-Ms", "1500"}});
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(OutcomeOf(refused) == "not_run");
  const HttpResult waited = SendOrder(cluster.get(), 1, "outage-long", "{\"amount\":50}",
                                      {{"X-Azuregw-Deadline-Ms", "28000"}});
  BOOST_TEST(waited.status == 200);
  BOOST_TEST(Effects(*cluster, &cluster->services(), "outage-short") == 0);
  BOOST_TEST(Effects(*cluster, &cluster->services(), "outage-long") == 1);
}

// Guards against telling "not run" when the service's reply was lost after the effect.
BOOST_AUTO_TEST_CASE(lost_reply_of_the_service_is_unknown) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  cluster->Control(cluster->services()[0], "/test/drop_replies?count=1");
  const HttpResult first = SendOrder(cluster.get(), 0, "no-answer", "{\"amount\":50}",
                                     {{"X-Azuregw-Deadline-Ms", "1500"}});
  BOOST_TEST(OutcomeOf(first) == "unknown");
  const HttpResult again = Settle(cluster.get(), {1, 2}, "no-answer");
  BOOST_TEST(OutcomeOf(again) == "unknown");
  BOOST_TEST(Effects(*cluster, &cluster->services(), "no-answer") == 1);
}

// Guards against a proof of "not executed" that is not used: another upstream may serve the order.
BOOST_AUTO_TEST_CASE(refusing_service_is_passed_over) {
  ClusterOptions options;
  options.services = 2;
  const auto cluster = Cluster::Make(options);
  BOOST_REQUIRE(cluster);
  cluster->Control(cluster->services()[0], "/test/refuse?count=1000");
  for (int i = 0; i < 5; ++i) {
    const std::string key = "refused-" + std::to_string(i);
    BOOST_TEST(SendOrder(cluster.get(), i % 3, key).status == 200);
    BOOST_TEST(Effects(*cluster, &cluster->services(), key) == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
