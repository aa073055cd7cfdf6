// HttpKeyValueStore: which writes were not taken and which have an unknown effect. A wrong "not
// taken" makes an order run twice; a write sent twice by the library would do so too.

#include "azuregw/kv/http_key_value_store.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "azuregw/base/http_call.h"
#include "azuregw/base/listen_address.h"
#include "tests/fakes/scripted_server.h"

namespace azuregw {
namespace {

using Act = ScriptedServer::Act;
using Step = ScriptedServer::Step;

constexpr Milliseconds kTimeout{300};

ScriptedServer::Script Always(const Step& step) {
  return [step](size_t, const std::string&) { return step; };
}

// The code of a swap against a server that always does `step`.
Error SwapError(const Step& step) {
  ScriptedServer server(Always(step));
  const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, nullptr);
  const Result<uint64_t> result = store->CompareAndSwap("k", 3, "value", "");
  BOOST_TEST(server.Requests().size() == 1u);
  BOOST_REQUIRE(!result);
  return result.error();
}

BOOST_AUTO_TEST_SUITE(http_key_value_store)

BOOST_AUTO_TEST_CASE(swap_sends_key_value_and_expected_revision) {
  ScriptedServer server(Always({Act::kReply, 200, R"({"revision":8})"}));
  const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, nullptr);
  BOOST_TEST(store->CompareAndSwap("a/b c&d", 7, "the value", "lease-1").value() == 8u);
  const std::string request = server.Requests().at(0);
  BOOST_TEST(request.find("PUT /v1/kv?key=a%2Fb%20c%26d&expected=7&lease=lease-1 ") == 0u);
  BOOST_TEST(request.find("\r\n\r\nthe value") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refusals_are_proved_not_taken) {
  const Error conflict = SwapError({Act::kReply, 409, R"({"error":"conflict","revision":9})"});
  BOOST_TEST((conflict.code == ResultCode::kKvConflict));
  BOOST_TEST((conflict.outcome == RunOutcome::kNotRun));
  const Error down = SwapError({Act::kReply, 503, ""});
  BOOST_TEST((down.code == ResultCode::kKvUnavailable));
  BOOST_TEST((down.outcome == RunOutcome::kNotRun));
  BOOST_TEST((SwapError({Act::kReply, 404, "{}"}).code == ResultCode::kLeaseLapsed));
  BOOST_TEST((SwapError({Act::kReply, 413, ""}).code == ResultCode::kInvalidField));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_proved_not_taken) {
  const std::string address = ChooseListenAddress("127.0.0.1:0").value();
  const auto store = MakeHttpKeyValueStore(address, kTimeout, nullptr);
  const Result<uint64_t> result = store->CompareAndSwap("k", 0, "v", "");
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().code == ResultCode::kKvUnavailable));
  BOOST_TEST((result.error().outcome == RunOutcome::kNotRun));
}

// Guards against "not taken" for a request that the service may have read.
BOOST_AUTO_TEST_CASE(missing_or_damaged_replies_leave_the_effect_unknown) {
  for (const Step& step :
       {Step{Act::kHang, 0, ""}, Step{Act::kClose, 0, ""}, Step{Act::kReply, 200, "{\"revi"},
        Step{Act::kReply, 200, "{}"}, Step{Act::kReply, 500, ""}}) {
    const Error error = SwapError(step);
    BOOST_TEST((error.code == ResultCode::kKvOutcomeUnknown));
    BOOST_TEST((error.outcome == RunOutcome::kUnknown));
  }
}

// The first request is answered; the server then closes the reused connection after it has read the
// next request. cpprestsdk sends such a request again by itself.
ScriptedServer::Step CloseFromSecond(size_t index, const std::string&) {
  return index == 0 ? Step{Act::kReply, 200, R"({"revision":1})"} : Step{Act::kClose, 0, ""};
}

// Guards against a write that takes effect twice.
BOOST_AUTO_TEST_CASE(write_is_never_sent_twice) {
  ScriptedServer server(CloseFromSecond);
  const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, nullptr);
  BOOST_REQUIRE(store->CompareAndSwap("k", 0, "v", ""));
  const Result<uint64_t> second = store->CompareAndSwap("k", 1, "v", "");
  BOOST_REQUIRE(!second);
  BOOST_TEST((second.error().code == ResultCode::kKvOutcomeUnknown));
  BOOST_TEST(server.Requests().size() == 2u);
}

// Sends two requests over reused connections and returns how many the server received.
size_t RequestsOverReusedConnection() {
  ScriptedServer server(CloseFromSecond);
  const auto caller = MakeHttpCaller(server.Address(), kTimeout);
  HttpCallRequest request;
  request.method = "PUT";
  request.path = "/v1/kv";
  request.body = "v";
  request.repeatable = true;
  BOOST_REQUIRE(caller->Call(request));
  BOOST_TEST(!caller->Call(request));
  return server.Requests().size();
}

// Shows the fault that the connection per write prevents. The library takes a moment to keep the
// first connection for reuse, so that some attempts use a new one.
BOOST_AUTO_TEST_CASE(library_repeats_requests_on_reused_connections) {
  bool repeated = false;
  for (int attempt = 0; attempt < 200 && !repeated; ++attempt) {
    repeated = RequestsOverReusedConnection() == 3;
  }
  BOOST_TEST(repeated);
}

BOOST_AUTO_TEST_CASE(reads_are_decoded) {
  ScriptedServer server([](size_t, const std::string& request) {
    if (request.find("GET /v1/kv?key=gone") == 0) {
      return Step{Act::kReply, 404, "{}"};
    }
    if (request.find("GET /v1/kv?key=") == 0) {
      return Step{Act::kReply, 200, R"({"key":"k","value":"v","revision":5})"};
    }
    return Step{Act::kReply, 200,
                R"({"entries":[{"key":"k","value":"v","revision":5}],"revision":6})"};
  });
  const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, nullptr);
  BOOST_TEST(store->Get("k").value()->revision == 5u);
  BOOST_TEST(!store->Get("gone").value().has_value());
  BOOST_TEST(store->List("p").value().at(0).value == "v");
  const KvWatchReply reply = store->Watch("p", 4, Milliseconds(50)).value();
  BOOST_TEST(reply.revision == 6u);
  BOOST_TEST(reply.entries.size() == 1u);
  BOOST_TEST(server.Requests().back().find("GET /v1/watch?prefix=p&after=4&wait_ms=50 ") == 0u);
}

// Guards against a watch that gives up before the service's wait has ended.
BOOST_AUTO_TEST_CASE(watch_outlasts_the_call_timeout) {
  ScriptedServer server([](size_t, const std::string&) {
    std::this_thread::sleep_for(2 * kTimeout);
    return Step{Act::kReply, 200, R"({"entries":[],"revision":6})"};
  });
  const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, nullptr);
  BOOST_TEST(store->Watch("p", 4, 4 * kTimeout).value().revision == 6u);
}

BOOST_AUTO_TEST_CASE(failed_reads_are_unavailable) {
  for (const Step& step :
       {Step{Act::kHang, 0, ""}, Step{Act::kClose, 0, ""}, Step{Act::kReply, 200, "{}"},
        Step{Act::kReply, 200, "[1"}, Step{Act::kReply, 500, ""}}) {
    ScriptedServer server(Always(step));
    const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, nullptr);
    BOOST_TEST((store->Get("k").error().code == ResultCode::kKvUnavailable));
  }
}

BOOST_AUTO_TEST_CASE(leases) {
  ScriptedServer server([](size_t, const std::string& request) {
    const bool renew = request.find("PUT /v1/leases?id=") == 0;
    return renew ? Step{Act::kReply, 404, "{}"} : Step{Act::kReply, 200, R"({"lease":"L7"})"};
  });
  const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, nullptr);
  BOOST_TEST(store->GrantLease(Milliseconds(900)).value() == "L7");
  BOOST_TEST((store->RenewLease("L7").error().code == ResultCode::kLeaseLapsed));
}

// The calls count towards the service's rate, so operators have to see them.
BOOST_AUTO_TEST_CASE(calls_and_errors_are_counted) {
  ScriptedServer server(Always({Act::kReply, 409, "{}"}));
  const auto metrics = MakeMetrics();
  const auto store = MakeHttpKeyValueStore(server.Address(), kTimeout, metrics.get());
  BOOST_TEST(!store->CompareAndSwap("k", 0, "v", ""));
  const std::string text = metrics->PrometheusText();
  BOOST_TEST(text.find("azuregw_kv_calls_total{op=\"cas\"} 1\n") != std::string::npos);
  BOOST_TEST(text.find("azuregw_kv_errors_total{op=\"cas\",code=\"kv_conflict\"} 1\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
