// Test fixture for exchanges: an HTTP client whose responses the test sends, a responder that
// records the response to the caller, and the other dependencies of an exchange.

#ifndef TESTS_SUPPORT_FAKE_GATEWAY_H_
#define TESTS_SUPPORT_FAKE_GATEWAY_H_

#include <boost/beast/http/message.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/forward/exchange.h"
#include "tests/support/engine_fixture.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_loop.h"

namespace azuregw {

// Request to an upstream. The test sends the response step by step.
class FakeClientCall final : public ClientCall {
 public:
  FakeClientCall(HttpCallOptions call_options, HttpRequest call_request, HttpCallHandler* handler)
      : options(std::move(call_options)),
        request(WithBody(std::move(call_request), options.shared_body)),
        m_handler(handler) {}

  void Cancel() override { m_handler = nullptr; }
  void Pause() override { paused = true; }
  void Resume() override { paused = false; }
  bool MaybeSent() const override { return true; }
  bool Reused() const override { return reused; }
  // Returns true once the call is cancelled, finished or failed.
  bool Cancelled() const { return m_handler == nullptr; }

  // Sends the response header, with or without the seal and the mark that the request did not run.
  void SendHead(int status, bool sealed, bool not_run = false) {
    HttpResponseHead head;
    head.result(static_cast<unsigned>(status));
    if (!id.empty()) {
      head.set("Id", id);
    }
    if (sealed) {
      head.set("Seal", "s");
    }
    if (not_run) {
      head.set("Not-Run", "1");
    }
    if (length) {
      head.set("Content-Length", std::to_string(*length));
    } else if (framed) {
      head.set("Transfer-Encoding", "chunked");
    }
    if (rate_limit) {
      head.set("Limit", std::to_string(*rate_limit));
    }
    if (leaving) {
      head.set("Leaving", "1");
    }
    if (retry_after) {
      head.set("Retry-After-Ms", std::to_string(retry_after->count()));
    }
    if (m_handler != nullptr && !m_handler->OnHead(head)) {
      foreign = true;
    }
  }
  // Sends part of the response body.
  void SendBody(const std::string& bytes) {
    if (m_handler != nullptr) {
      m_handler->OnBody(bytes);
    }
  }
  // Ends the response as complete.
  void Finish() {
    if (m_handler != nullptr) {
      std::exchange(m_handler, nullptr)->OnDone();
    }
  }
  // Fails the call. `maybe_sent`: the upstream may have received the request.
  void Fail(bool maybe_sent) {
    if (m_handler != nullptr) {
      std::exchange(m_handler, nullptr)->OnFailed({maybe_sent, false, "fake failure"});
    }
  }
  // Sends a complete response.
  void Respond(int status, const std::string& body, bool sealed = true, bool not_run = false) {
    SendHead(status, sealed, not_run);
    SendBody(body);
    Finish();
  }

  const HttpCallOptions options;
  const HttpRequest request;
  std::string id{request["Id"]};            // Of the request, in the response; empty: none.
  bool reused = false;                      // The connection has served another call.
  std::optional<double> rate_limit;         // Limit that the upstream states.
  bool leaving = false;                     // The upstream states that it leaves.
  std::optional<Milliseconds> retry_after;  // Time for which the upstream wants no requests.
  bool foreign = false;                     // A head was taken for the response to another request.
  bool framed = true;  // The response states its end; otherwise it ends with the connection.
  std::optional<uint64_t> length;  // Content-Length of the response.
  bool paused = false;

 private:
  static HttpRequest WithBody(HttpRequest request, const std::shared_ptr<const std::string>& body) {
    if (body != nullptr) {
      request.body() = *body;
    }
    return request;
  }

  HttpCallHandler* m_handler;
};

// Records the calls; the test responds to them.
class FakeHttpClient final : public HttpClient {
 public:
  std::shared_ptr<ClientCall> Start(const HttpCallOptions& options, HttpRequest request,
                                    HttpCallHandler* handler) override {
    calls.push_back(std::make_shared<FakeClientCall>(options, std::move(request), handler));
    return calls.back();
  }
  void CloseIdle() override {}
  uint64_t ConnectionsOpened() const override { return calls.size(); }
  size_t IdleConnections() const override { return 0; }

  std::vector<std::shared_ptr<FakeClientCall>> calls;
};

// Records the response to the caller.
class RecordingResponder final : public CallerResponder {
 public:
  void SendResponse(BufferedResponse reply) override {
    status = reply.status;
    body = reply.body;
    fields = reply.fields;
    ++ends;
  }
  void BeginStream(const BufferedResponse& head, std::optional<uint64_t> stated) override {
    status = head.status;
    begun = true;
    length = stated;
  }
  void SendChunk(std::string_view bytes) override { body.append(bytes); }
  void EndStream() override {
    complete = true;
    ++ends;
  }
  void AbortStream() override {
    broken = true;
    ++ends;
  }
  bool Backlogged() const override { return backlogged; }

  int status = 0;
  std::string body;
  HttpFields fields;
  bool backlogged = false;         // The caller does not read.
  bool begun = false;              // BeginStream() was called.
  std::optional<uint64_t> length;  // Stated by BeginStream().
  bool complete = false;           // EndStream() was called.
  bool broken = false;             // AbortStream() was called.
  int ends = 0;                    // Number of calls that end the response.
};

// Wire protocol with simple header names.
class FakeWireProtocol final : public WireProtocol {
 public:
  CallerRequest ReadCaller(const HttpFields& fields) const override {
    CallerRequest request;
    request.id = std::string(fields["Id"]);
    request.key = std::string(fields["Key"]);
    request.deadline = Milliseconds(20000);
    if (fields.count("Deadline") > 0) {
      request.deadline = Milliseconds(std::stoi(std::string(fields["Deadline"])));
    }
    request.prompt_tokens = 760;
    request.max_answer_tokens = 200;
    std::istringstream parts{std::string(fields["Parts"])};
    for (std::string part; parts >> part;) {
      request.shared_parts.push_back(part);
    }
    return request;
  }
  void WriteForwardedHeaders(const ForwardedRequest& request, HttpFields* fields) const override {
    fields->erase("Key");
    fields->set("Deadline", std::to_string(request.time_left.count()));
    fields->set("Upstream", request.upstream_id);
    fields->set("Workspace", request.workspace);
    fields->set("Hops", std::to_string(request.path.size()));
    if (request.resume_after) {
      fields->set("After", *request.resume_after);
    }
  }
  UpstreamResponse ReadResponse(int /*status*/, const HttpFields& fields) const override {
    UpstreamResponse answer;
    answer.request_id = std::string(fields["Id"]);
    answer.sealed = fields.count("Seal") > 0;
    answer.not_run = fields.count("Not-Run") > 0;
    if (fields.count("Limit") > 0) {
      answer.rate_limit = std::stod(std::string(fields["Limit"]));
    }
    answer.leaving = fields.count("Leaving") > 0;
    if (fields.count("Retry-After-Ms") > 0) {
      answer.retry_after = Milliseconds(std::stoi(std::string(fields["Retry-After-Ms"])));
    }
    return answer;
  }
  std::string_view RequestIdHeader() const override { return "Id"; }
};

// Engines that respond at once with `report` and accept reroutes.
class FakeEngineControl final : public EngineControl {
 public:
  void QueryReport(const std::string& /*address*/, Milliseconds /*limit*/,
                   std::function<void(Result<EngineReport>)> done) override {
    ++report_queries;
    if (holds) {
      held.push_back(std::move(done));
    } else if (refuses) {
      done(Unknown(ResultCode::kUpstreamUnreachable, "refused"));
    } else if (silent) {
      done(Unknown(ResultCode::kUpstreamTimeout, "silent"));
    } else {
      done(report);
    }
  }
  void Place(const PlacementOrder& /*order*/, std::function<void(OrderOutcome)> done) override {
    done(OrderOutcome::kStarted);
  }
  void Reroute(const PathHop& /*first*/, const std::string& /*request_id*/,
               gsl::span<const PathHop> path, std::function<void(OrderOutcome)> done) override {
    reroutes.emplace_back(path.begin(), path.end());
    done(reroute_outcome);
  }

  int report_queries = 0;
  bool holds = false;  // Report queries wait in `held` for the test.
  std::vector<std::function<void(Result<EngineReport>)>> held;
  bool silent = false;   // Report queries time out.
  bool refuses = false;  // Connections for report queries are refused.
  EngineReport report;
  std::vector<std::vector<PathHop>> reroutes;
  OrderOutcome reroute_outcome = OrderOutcome::kStarted;
};

// Instance with a service "model", which has three engines for each of two layer ranges, and a
// service "orders" with three upstreams. Routes: /order/ (run once), /look/ (repeatable), /stream/
// (resumable stream), /final/ (stream that cannot be resumed).
class GatewayFixture {
 public:
  GatewayFixture() {
    RoutingConfig config;
    config.version = 1;
    RoutedService model;
    model.name = "model";
    model.engine = MixedProfile();
    model.engine->layers = 32;
    config.services["model"] = model;
    config.services["orders"].name = "orders";
    AddRoute(&config, "/order/", RetryPolicy::kAtMostOnce, "orders", 1);
    AddRoute(&config, "/look/", RetryPolicy::kIdempotent, "orders", 2);
    AddRoute(&config, "/stream/", RetryPolicy::kStream, "model", 2);
    AddRoute(&config, "/final/", RetryPolicy::kStream, "model", 2);
    config.routes.back().resumable = false;
    config.workspaces.push_back({"w", {"k"}, std::nullopt});
    routes.Adopt(std::make_shared<const RoutingConfig>(std::move(config)));
    std::vector<UpstreamRecord> records;
    for (int i = 0; i < 3; ++i) {
      records.push_back(EngineRecordOf("low" + std::to_string(i), "a", "l40s", LayerRange{0, 16}));
      records.push_back(
          EngineRecordOf("high" + std::to_string(i), "a", "l40s", LayerRange{16, 32}));
      records.push_back(EngineRecordOf("o" + std::to_string(i), "a", "", std::nullopt));
      records.back().service = "orders";
      records.back().slots = 6;
    }
    fleet.Update(std::move(records), loop.Now());
    context.loop = &loop;
    context.client = &client;
    context.routes = &routes;
    context.fleet = &fleet;
    context.paths = &paths;
    context.queue = &queue;
    context.monitor = &monitor;
    context.budget = &budget;
    // Ten instances have shared the budget for longer than its window.
    budget.SetInstances(10, loop.Now() - Milliseconds(20000));
    budget.SetInstances(10, loop.Now());
    context.wire = &wire;
    context.engines = &engines;
    engines.report.started_ms = 1;  // As listed.
    context.exits = &exits;
    context.quarantine = &quarantine;
    context.log = &log;
    context.metrics = metrics.get();
    context.peer_faults = peer_faults.get();
    context.random = random.get();
    context.settings.failure_domain = "a";
    context.assumed_instances = 0;
  }

  // Starts an exchange for a request to `target`. `parts`: the shared parts of its prompt,
  // separated by blanks. `deadline`: that of the caller, if it is not the usual one.
  std::unique_ptr<ForwardExchange> Start(const std::string& target, const std::string& parts = "",
                                         std::optional<Milliseconds> deadline = std::nullopt) {
    IncomingRequest request;
    request.message = HttpRequest(boost::beast::http::verb::post, target, 11);
    request.message.set("Host", "h");
    request.message.set("Id", "r1");
    request.message.set("Key", "k");
    request.message.set("Parts", parts);
    if (deadline) {
      request.message.set("Deadline", std::to_string(deadline->count()));
    }
    request.message.body() = "payload";
    request.arrived = loop.Now();
    auto exchange = MakeExchange(&context, std::move(request), &responder);
    exchange->Start();
    return exchange;
  }
  FakeClientCall& Call(size_t index) { return *client.calls.at(index); }
  // Returns the number of requests reserved on all upstreams.
  int Reserved() const {
    int requests = 0;
    for (const auto& [id, upstream] : fleet.All()) {
      requests += upstream.own_load.requests;
    }
    return requests;
  }

  FakeLoop loop;
  FakeHttpClient client;
  RouteTable routes{Milliseconds(0)};
  Fleet fleet;
  std::unique_ptr<Random> random = MakeRandom(11);
  PathSelector paths{random.get()};
  StreamQueue queue;
  StreamMonitor monitor;
  SharedRetryBudget budget{{0.2, 200, Milliseconds(10000)}};
  FakeWireProtocol wire;
  FakeEngineControl engines;
  FakeLog log;
  std::unique_ptr<Metrics> metrics = MakeMetrics();
  std::unique_ptr<PeerFaultLog> peer_faults = MakePeerFaultLog(&log, metrics.get());
  EngineExitChecker exits{&loop, &fleet, &engines, &log, metrics.get()};
  PromptQuarantine quarantine;
  RecordingResponder responder;
  ForwardContext context;

 private:
  static void AddRoute(RoutingConfig* config, const char* prefix, RetryPolicy retry_policy,
                       const char* service, int attempts) {
    RouteSpec route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    route.retry_policy = retry_policy;
    route.resumable = retry_policy == RetryPolicy::kStream;
    route.timeout = Milliseconds(20000);
    route.target_latency = Milliseconds(retry_policy == RetryPolicy::kStream ? 500 : 100);
    route.services = {{service, 1}};
    route.max_attempts = attempts;
    config->routes.push_back(route);
  }
};

}  // namespace azuregw

#endif  // TESTS_SUPPORT_FAKE_GATEWAY_H_
