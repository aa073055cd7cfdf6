// Tests of the store client against a scripted HTTP server.

#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "azuregw/net/endpoint.h"
#include "tests/fakes/scripted_server.h"
#include "tests/support/fake_log.h"

namespace azuregw::platform {
namespace {

using nlohmann::json;

struct Fixture {
  explicit Fixture(ScriptedServer::Script script)
      : server(std::move(script)),
        loop(MakeEventLoop(&io)),
        client(MakeHttpClient(&io)),
        metrics(MakeMetrics()),
        faults(MakePeerFaultLog(&log, metrics.get())),
        store(MakeStoreClient({loop.get(), client.get(), faults.get()},
                              *ParseEndpoint(server.Address()))) {}

  // Runs the event loop until `result` is set. Calls end at their timeout.
  template <class T>
  const Result<T>& Wait(const std::optional<Result<T>>& result) {
    io.restart();
    while (!result && io.run_one() > 0) {
    }
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  boost::asio::io_context io;
  ScriptedServer server;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<HttpClient> client;
  FakeLog log;
  std::unique_ptr<Metrics> metrics;
  std::unique_ptr<PeerFaultLog> faults;
  std::unique_ptr<AsyncKeyValueStore> store;
};

ScriptedServer::Step Reply(int status, const json& body) {
  ScriptedServer::Step step;
  step.status = status;
  step.body = body.dump();
  return step;
}

BOOST_AUTO_TEST_SUITE(store_client)

BOOST_AUTO_TEST_CASE(values_are_decoded_and_missing_keys_are_reported) {
  Fixture f([](size_t index, const std::string&) {
    return index == 0 ? Reply(200, {{"key", "a b"},
                                    {"value", "bm9kZS0x"},
                                    {"revision", 412},
                                    {"lease", 0},
                                    {"currentRev", 530}})
                      : Reply(404, {{"currentRev", 531}});
  });
  std::optional<Result<KvReading>> result;
  f.store->Get("a b", ReadMode::kBounded, [&](Result<KvReading> r) { result = std::move(r); });
  const auto& reading = f.Wait(result);
  BOOST_REQUIRE(reading.has_value());
  BOOST_TEST(reading.value().entry->value == "node-1");
  BOOST_TEST(reading.value().store_revision == 530U);
  BOOST_TEST(f.server.Requests()[0].find("GET /azuregw/kv-key?key=a%20b&serializable=1 ") == 0U);
  result.reset();
  f.store->Get("none", ReadMode::kNewest, [&](Result<KvReading> r) { result = std::move(r); });
  BOOST_TEST(!f.Wait(result).value().entry.has_value());
}

BOOST_AUTO_TEST_CASE(lists_are_read_page_by_page) {
  Fixture f([](size_t, const std::string& request) {
    const bool second = request.find("after=servers/i-1") != std::string::npos;
    return Reply(200, {{"items", json::array({{{"key", second ? "servers/i-2" : "servers/i-1"},
                                               {"value", "eA=="},
                                               {"revision", 5}}})},
                       {"hasMore", !second},
                       {"currentRev", 9}});
  });
  std::optional<Result<KvListing>> result;
  f.store->List("servers/", ReadMode::kNewest, [&](Result<KvListing> r) { result = std::move(r); });
  const auto& listing = f.Wait(result);
  BOOST_REQUIRE(listing.has_value());
  BOOST_REQUIRE(listing.value().entries.size() == 2U);
  BOOST_TEST(listing.value().entries[1].key == "servers/i-2");
  BOOST_TEST(listing.value().entries[1].value == "x");
}

// Guards against long entries of other writers, of which a list of a few pages would fill the
// memory.
BOOST_AUTO_TEST_CASE(long_values_of_a_list_are_left_out) {
  Fixture f([](size_t, const std::string&) {
    return Reply(
        200,
        {{"items",
          json::array(
              {{{"key", "servers/foreign"}, {"value", std::string(700000, 'A')}, {"revision", 5}},
               {{"key", "servers/i-1"}, {"value", "eA=="}, {"revision", 6}}})},
         {"hasMore", false},
         {"currentRev", 9}});
  });
  std::optional<Result<KvListing>> result;
  f.store->List("servers/", ReadMode::kNewest, [&](Result<KvListing> r) { result = std::move(r); });
  const auto& listing = f.Wait(result);
  BOOST_REQUIRE(listing.has_value());
  BOOST_REQUIRE(listing.value().entries.size() == 2U);
  BOOST_TEST(listing.value().entries[0].value.empty());
  BOOST_TEST(listing.value().entries[1].value == "x");
}

// Guards against answers of the store that grow without end, or into large documents.
BOOST_AUTO_TEST_CASE(answer_beyond_its_limits_fails_the_call) {
  for (const std::string& body : {std::string(6 << 20, 'x'), std::string(100000, '['),
                                  "[" + std::string(100000, ',') + "]"}) {
    Fixture f([&](size_t, const std::string&) {
      ScriptedServer::Step step;
      step.body = body;
      return step;
    });
    std::optional<Result<KvListing>> result;
    f.store->List("servers/", ReadMode::kNewest,
                  [&](Result<KvListing> r) { result = std::move(r); });
    BOOST_TEST((f.Wait(result).error().code == ResultCode::kKvUnavailable));
    BOOST_TEST(f.log.Count("peer_input_rejected") == 1);
  }
}

BOOST_AUTO_TEST_CASE(watch_reports_changes_deletions_and_lost_history) {
  Fixture f([](size_t index, const std::string&) {
    if (index == 0) {
      return Reply(200,
                   {{"events", json::array({{{"key", "k"}, {"value", "eA=="}, {"revision", 7}},
                                            {{"key", "l"}, {"revision", 8}, {"deleted", true}}})},
                    {"currentRev", 8}});
    }
    return Reply(410, json::object());
  });
  std::optional<Result<KvWatchReply>> result;
  const auto take = [&](Result<KvWatchReply> r) { result = std::move(r); };
  f.store->Watch("", 5, Milliseconds(100), take);
  const auto& reply = f.Wait(result);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply.value().revision == 8U);
  BOOST_TEST(reply.value().entries[0].revision == 7U);
  BOOST_TEST(reply.value().entries[1].revision == 0U);
  result.reset();
  f.store->Watch("", 5, Milliseconds(100), take);
  BOOST_TEST((f.Wait(result).error().code == ResultCode::kKvHistoryGone));
}

// Guards against treating a write without a response as not executed.
BOOST_AUTO_TEST_CASE(write_without_response_has_an_unknown_outcome) {
  Fixture f([](size_t index, const std::string&) {
    switch (index) {
      case 0:
        return Reply(200, {{"revision", 412}});
      case 1:
        return Reply(412, {{"items", json::array()}});
      case 2:
        return Reply(404, json::object());
      case 3:
        return Reply(503, json::object());
      default:
        return ScriptedServer::Step{ScriptedServer::Act::kClose, 0, "", ""};
    }
  });
  const ResultCode codes[] = {ResultCode::kOk, ResultCode::kKvConflict, ResultCode::kLeaseLapsed,
                              ResultCode::kKvUnavailable, ResultCode::kKvOutcomeUnknown};
  for (const ResultCode code : codes) {
    std::optional<Result<uint64_t>> result;
    f.store->CompareAndSwap("k", 3, "v", 77, [&](Result<uint64_t> r) { result = std::move(r); });
    const auto& swapped = f.Wait(result);
    if (code == ResultCode::kOk) {
      BOOST_TEST(swapped.value() == 412U);
    } else {
      BOOST_REQUIRE(!swapped.has_value());
      BOOST_TEST((swapped.error().code == code));
    }
  }
  const std::string first = f.server.Requests()[0];
  const json body = json::parse(first.substr(first.find("\r\n\r\n") + 4));
  BOOST_TEST(body["precondition"][0]["revision"] == 3);
  BOOST_TEST(body["puts"][0]["value"] == "dg==");
  BOOST_TEST(body["puts"][0]["lease"] == 77);
}

BOOST_AUTO_TEST_CASE(leases_are_granted_renewed_and_expire) {
  Fixture f([](size_t index, const std::string&) {
    switch (index) {
      case 0:
        return Reply(200, {{"lease", 77120}, {"ttlMs", 3000}});
      case 1:
        return Reply(200, {{"ttlMs", 3000}});
      default:
        return Reply(404, json::object());
    }
  });
  std::optional<Result<uint64_t>> lease;
  f.store->GrantLease(Milliseconds(3000), [&](Result<uint64_t> r) { lease = std::move(r); });
  BOOST_TEST(f.Wait(lease).value() == 77120U);
  std::optional<Result<Milliseconds>> renewed;
  f.store->RenewLease(77120, [&](Result<Milliseconds> r) { renewed = std::move(r); });
  BOOST_TEST((f.Wait(renewed).value() == Milliseconds(3000)));
  renewed.reset();
  f.store->RenewLease(77120, [&](Result<Milliseconds> r) { renewed = std::move(r); });
  BOOST_TEST((f.Wait(renewed).error().code == ResultCode::kLeaseLapsed));
}

// Guards against callers that wait forever for an unresponsive store.
BOOST_AUTO_TEST_CASE(unresponsive_store_times_out) {
  Fixture f([](size_t, const std::string&) {
    return ScriptedServer::Step{ScriptedServer::Act::kHang, 0, "", ""};
  });
  std::optional<Result<KvReading>> result;
  f.store->Get("k", ReadMode::kNewest, [&](Result<KvReading> r) { result = std::move(r); });
  BOOST_TEST((f.Wait(result).error().code == ResultCode::kKvUnavailable));
}

// Returns a reply that states an era.
ScriptedServer::Step ReplyInEra(int era, const json& body) {
  const std::string text = body.dump();
  ScriptedServer::Step step;
  step.raw =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era) +
      "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  return step;
}

// Runs a read in era 1, so that the client knows it.
void ReadInFirstEra(Fixture* f) {
  std::optional<Result<KvReading>> result;
  f->store->Get("x", ReadMode::kNewest, [&](Result<KvReading> r) { result = std::move(r); });
  f->Wait(result);
  BOOST_REQUIRE(f->store->Era()->Current() == 1U);
}

json Item(const std::string& key) { return {{"key", key}, {"value", "eA=="}, {"revision", 5}}; }

// Guards against a list that joins entries from before and after a restore.
BOOST_AUTO_TEST_CASE(pages_of_two_eras_are_not_joined) {
  Fixture f([](size_t index, const std::string&) {
    return ReplyInEra(index == 0 ? 1 : 2,
                      {{"items", json::array({Item("servers/i-" + std::to_string(index))})},
                       {"hasMore", index == 0}});
  });
  std::optional<Result<KvListing>> result;
  f.store->List("servers/", ReadMode::kNewest, [&](Result<KvListing> r) { result = std::move(r); });
  BOOST_TEST(!f.Wait(result).has_value());
}

// Guards against a change that is missed below the revision of the watch.
BOOST_AUTO_TEST_CASE(watch_that_is_answered_after_a_restore_has_lost_its_history) {
  Fixture f([](size_t index, const std::string&) {
    return index == 0 ? ReplyInEra(1, Item("x"))
                      : ReplyInEra(2, {{"events", json::array()}, {"currentRev", 9}});
  });
  ReadInFirstEra(&f);
  std::optional<Result<KvWatchReply>> result;
  f.store->Watch("x", 5, Milliseconds(10), [&](Result<KvWatchReply> r) { result = std::move(r); });
  const auto& reply = f.Wait(result);
  BOOST_REQUIRE(!reply.has_value());
  BOOST_TEST((reply.error().code == ResultCode::kKvHistoryGone));
}

// Guards against a lease that was given to another instance, and against a swap of a value that
// only has the revision of the one that was read.
BOOST_AUTO_TEST_CASE(renewal_and_swap_across_a_restore_prove_nothing) {
  Fixture f([](size_t index, const std::string&) {
    return index == 0   ? ReplyInEra(1, Item("x"))
           : index == 1 ? ReplyInEra(2, {{"ttlMs", 3000}})
           : index == 2 ? ReplyInEra(2, Item("x"))
                        : ReplyInEra(3, {{"revision", 7}});
  });
  ReadInFirstEra(&f);
  std::optional<Result<Milliseconds>> renewed;
  f.store->RenewLease(4, [&](Result<Milliseconds> r) { renewed = std::move(r); });
  BOOST_REQUIRE(!f.Wait(renewed).has_value());
  BOOST_TEST((renewed->error().code == ResultCode::kLeaseLapsed));
  std::optional<Result<KvReading>> reading;
  f.store->Get("x", ReadMode::kNewest, [&](Result<KvReading> r) { reading = std::move(r); });
  f.Wait(reading);
  std::optional<Result<uint64_t>> swapped;
  f.store->CompareAndSwap("x", 5, "y", 0, [&](Result<uint64_t> r) { swapped = std::move(r); });
  BOOST_REQUIRE(!f.Wait(swapped).has_value());
  BOOST_TEST((swapped->error().code == ResultCode::kKvOutcomeUnknown));
}

// Guards against a stale read from before the restore that undoes what a newest read returned.
BOOST_AUTO_TEST_CASE(stale_read_from_before_a_restore_is_no_answer) {
  Fixture f([](size_t index, const std::string&) {
    return ReplyInEra(index == 0 ? 1 : index == 1 ? 2 : 1, Item("x"));
  });
  ReadInFirstEra(&f);
  std::optional<Result<KvReading>> result;
  f.store->Get("x", ReadMode::kNewest, [&](Result<KvReading> r) { result = std::move(r); });
  BOOST_TEST(f.Wait(result).has_value());
  result.reset();
  f.store->Get("x", ReadMode::kBounded, [&](Result<KvReading> r) { result = std::move(r); });
  BOOST_TEST(!f.Wait(result).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::platform
