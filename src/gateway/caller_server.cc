// The HTTP listener for callers: routes, authorisation and limits.

#include "azuregw/gateway/caller_server.h"

#include <cpprest/http_listener.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <thread>
#include <utility>

#include "gateway/body_reader.h"
#include "gateway/completion_handler.h"
#include "gateway/completion_json.h"
#include "gateway/exchange.h"
#include "gateway/service_handler.h"
#include "gateway/workspace_keys.h"

namespace azuregw {
namespace {

namespace http = web::http;
using http::experimental::listener::http_listener;

constexpr int kPortAttempts = 20;
constexpr Milliseconds kDrainRetryAfter{1000};
// Requests that arrive while the listener closes are aborted this often.
constexpr Milliseconds kAbortInterval{10};
const char kServicesPrefix[] = "/v1/services/";

enum class Route { kChat, kText, kModels, kService, kHealth, kReady, kNone };

Route FindRoute(const std::string& path) {
  if (path == "/v1/chat/completions") {
    return Route::kChat;
  }
  if (path == "/v1/completions") {
    return Route::kText;
  }
  if (path == "/v1/models") {
    return Route::kModels;
  }
  if (path == "/healthz") {
    return Route::kHealth;
  }
  if (path == "/readyz") {
    return Route::kReady;
  }
  const std::string prefix = kServicesPrefix;
  return path.compare(0, prefix.size(), prefix) == 0 && path.size() > prefix.size()
             ? Route::kService
             : Route::kNone;
}

bool MethodAllowed(Route route, const std::string& method) {
  switch (route) {
    case Route::kChat:
    case Route::kText:
      return method == "POST";
    case Route::kModels:
    case Route::kHealth:
    case Route::kReady:
      return method == "GET";
    default:
      return true;
  }
}

std::optional<Error> CheckHeaders(const http::http_headers& headers,
                                  const CallerServerOptions& options) {
  size_t count = 0;
  size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    ++count;
    bytes += name.size() + value.size();
  }
  if (count > options.max_header_count || bytes > options.max_header_bytes) {
    return NotRun(ResultCode::kHeaderTooLarge, "too many or too large headers");
  }
  return std::nullopt;
}

// A port that is free now; another process may take it before it is used.
int PickFreePort(const std::string& host) {
  boost::asio::io_context context;
  const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address(host), 0);
  return boost::asio::ip::tcp::acceptor(context, any).local_endpoint().port();
}

class HttpCallerServer : public CallerServer {
 public:
  HttpCallerServer(const CallerServerOptions& options, const GatewayDependencies& dependencies)
      : m_context(std::make_shared<GatewayContext>()) {
    m_context->dependencies = dependencies;
    m_context->options = options;
    m_context->timers = MakeTimerQueue();
    Metrics* metrics = dependencies.metrics;
    m_context->progress = std::make_unique<ProgressCounter>(
        [metrics](int count) { metrics->Set("azuregw_inflight", "", count); });
  }

  ~HttpCallerServer() override { Stop(); }

  // cpprestsdk cannot listen on port 0, so a free port is picked first.
  Result<void> Listen() {
    const std::string& address = m_context->options.address;
    const size_t colon = address.rfind(':');
    const bool any_port = colon != std::string::npos && address.substr(colon) == ":0";
    Error error = NotRun(ResultCode::kPortInUse, "cannot listen on " + address);
    for (int attempt = 0; attempt < (any_port ? kPortAttempts : 1); ++attempt) {
      try {
        const std::string host = address.substr(0, colon);
        const std::string chosen =
            any_port ? host + ":" + std::to_string(PickFreePort(host)) : address;
        Open(chosen);
        return boost::outcome_v2::success();
      } catch (const std::exception& exception) {
        error.message = "cannot listen on " + address + ": " + exception.what();
      }
    }
    return error;
  }

  std::string Address() const override { return m_address; }
  void BeginDrain() override { m_context->draining = true; }
  int InProgress() const override { return m_context->progress->Count(); }
  bool WaitIdle(TimePoint deadline) override { return m_context->progress->WaitIdle(deadline); }

  void Stop() override {
    if (m_listener == nullptr) {
      return;
    }
    // cpprestsdk waits for the answers to all requests when it closes a listener.
    BeginDrain();
    AbortOpen();
    pplx::task<void> closing = m_listener->close();
    while (!closing.is_done()) {
      AbortOpen();
      std::this_thread::sleep_for(kAbortInterval);
    }
    try {
      closing.get();
    } catch (const std::exception&) {
      // The listener is closed already.
    }
    m_listener.reset();
  }

 private:
  void AbortOpen() {
    for (const std::shared_ptr<Exchange>& exchange : m_context->open.All()) {
      exchange->Abort();
    }
  }

  void Open(const std::string& address) {
    auto listener = std::make_unique<http_listener>("http://" + address);
    listener->support([context = m_context](const http::http_request& message) {
      const auto exchange = std::make_shared<Exchange>(context, message);
      context->open.Add(exchange);
      OnRequest(exchange);
    });
    listener->open().get();
    m_listener = std::move(listener);
    m_address = address;
  }

  static void OnRequest(const std::shared_ptr<Exchange>& exchange) {
    const std::string path = exchange->Message().relative_uri().path();
    const Route route = FindRoute(path);
    if (route == Route::kHealth || route == Route::kReady) {
      DiscardBody(exchange->Message());
      AnswerHealth(exchange, route);
      return;
    }
    if (const auto error = Check(exchange, route)) {
      DiscardBody(exchange->Message());
      exchange->Refuse(*error);
      return;
    }
    const int64_t max_body = exchange->snapshot->preset->limits.max_body_bytes;
    ReadBody(exchange->Message(), max_body, [exchange, route, path](Result<std::string> body) {
      if (body) {
        Dispatch(exchange, route, path, std::move(body.value()));
      } else {
        exchange->Refuse(body.error());
      }
    });
  }

  // Everything that can be refused without the body. Sets the exchange's snapshot and workspace.
  static std::optional<Error> Check(const std::shared_ptr<Exchange>& exchange, Route route) {
    const GatewayContext& context = exchange->Context();
    if (route == Route::kNone) {
      return NotRun(ResultCode::kUnknownRoute, "no such path");
    }
    if (!MethodAllowed(route, exchange->Message().method())) {
      return NotRun(ResultCode::kMethodNotAllowed, "the path does not allow this method");
    }
    if (auto error = CheckHeaders(exchange->Message().headers(), context.options)) {
      return error;
    }
    const SnapshotSource& snapshots = *context.dependencies.snapshots;
    if (snapshots.IsStale(context.dependencies.clock->Now())) {
      // The process was paused; the preset may have changed meanwhile.
      Error error =
          NotRun(ResultCode::kNotReady, "this instance refreshes its state after a pause");
      error.retry_after = kDrainRetryAfter;
      return error;
    }
    exchange->snapshot = snapshots.Current();
    if (exchange->snapshot->preset == nullptr) {
      Error error = NotRun(ResultCode::kNoPreset, "no preset is known yet");
      error.retry_after = kDrainRetryAfter;
      return error;
    }
    auto workspace = FindWorkspace(*exchange->snapshot->preset, exchange->Header("Authorization"));
    if (!workspace) {
      return workspace.error();
    }
    exchange->workspace = std::move(workspace.value());
    if (context.draining) {
      Error error = NotRun(ResultCode::kDraining, "this instance is shutting down");
      error.retry_after = kDrainRetryAfter;
      return error;
    }
    return std::nullopt;
  }

  static void Dispatch(const std::shared_ptr<Exchange>& exchange, Route route,
                       const std::string& path, std::string body) {
    switch (route) {
      case Route::kChat:
        HandleCompletion(exchange, CompletionKind::kChat, body);
        break;
      case Route::kText:
        HandleCompletion(exchange, CompletionKind::kText, body);
        break;
      case Route::kModels:
        exchange->Answer(200, "application/json", ModelList(*exchange->snapshot->preset));
        break;
      case Route::kService:
        HandleServiceCall(exchange, path.substr(sizeof(kServicesPrefix) - 1), std::move(body));
        break;
      default:
        break;
    }
  }

  static void AnswerHealth(const std::shared_ptr<Exchange>& exchange, Route route) {
    std::optional<std::string> reason;
    if (route == Route::kReady && exchange->Dependencies().not_ready_reason) {
      reason = exchange->Dependencies().not_ready_reason();
    }
    if (reason) {
      const Error error = NotRun(ResultCode::kNotReady, *reason);
      exchange->Answer(HttpStatus(error.code), "application/json",
                       ErrorBody(error, exchange->RequestId()));
    } else {
      exchange->Answer(200, "text/plain", "ok\n");
    }
  }

  const std::shared_ptr<GatewayContext> m_context;
  std::unique_ptr<http_listener> m_listener;  // Null when stopped.
  std::string m_address;
};

}  // namespace

Result<std::unique_ptr<CallerServer>> MakeCallerServer(const CallerServerOptions& options,
                                                       const GatewayDependencies& dependencies) {
  auto server = std::make_unique<HttpCallerServer>(options, dependencies);
  auto listening = server->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<CallerServer>(std::move(server));
}

}  // namespace azuregw
