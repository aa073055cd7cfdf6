// ServiceClient over HTTP.

#include "azuregw/service/http_service_client.h"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "azuregw/engine/timer_queue.h"
#include "engine/http_transport.h"

namespace azuregw {
namespace {

constexpr Milliseconds kLoadTimeout{2000};
// The transport's own timeout restarts with each chunk; it only has to end after the call's.
constexpr Milliseconds kTransportMargin{1000};

using CallDone = std::function<void(Result<ServiceReply>)>;

// Passes on the first of the reply and the timeout.
class PendingCall {
 public:
  PendingCall(TimerQueue* timers, CallDone done) : m_timers(timers), m_done(std::move(done)) {}

  void SetTimer(uint64_t timer) { m_timer = timer; }

  void SetHandle(std::shared_ptr<HttpCallHandle> handle) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_handle = std::move(handle);
  }

  void Finish(Result<ServiceReply> result) {
    CallDone done;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      done.swap(m_done);
    }
    if (done) {
      m_timers->Cancel(m_timer);
      done(std::move(result));
    }
  }

  void OnTimeout() {
    Finish(Unknown(ResultCode::kUpstreamTimeout, "the service did not answer in time"));
    std::shared_ptr<HttpCallHandle> handle;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      handle = m_handle;
    }
    if (handle != nullptr) {
      handle->Abandon();
    }
  }

 private:
  TimerQueue* const m_timers;
  uint64_t m_timer = 0;  // Set before the call is sent.
  std::mutex m_mutex;
  CallDone m_done;  // Empty once it has been called.
  std::shared_ptr<HttpCallHandle> m_handle;
};

HttpCall ToHttp(ServiceRequest request) {
  HttpCall call;
  call.method = std::move(request.method);
  call.path = std::move(request.path);
  call.content_type = std::move(request.content_type);
  call.body = std::move(request.body);
  call.headers.push_back({"X-Request-Id", std::move(request.request_id)});
  if (!request.idempotency_key.empty()) {
    call.headers.push_back({"Idempotency-Key", std::move(request.idempotency_key)});
  }
  return call;
}

Result<ServiceReply> FromHttp(const Result<HttpReply>& reply) {
  if (!reply) {
    return reply.error();
  }
  const HttpReply& http = reply.value();
  if (http.status == 503 && http.not_executed) {
    return NotRun(ResultCode::kUpstreamRefused, "the upstream did not run the call");
  }
  return ServiceReply{http.status, http.content_type, http.body};
}

Result<ServiceLoad> DecodeServiceLoad(const Result<HttpReply>& reply) {
  if (!reply) {
    return reply.error();
  }
  const auto document = nlohmann::json::parse(reply.value().body, nullptr, false);
  if (reply.value().status != 200 || !document.is_object()) {
    return Unknown(ResultCode::kUpstreamProtocol, "the load report cannot be read");
  }
  try {
    return ServiceLoad{document.value("running", 0), document.value("waiting", 0),
                       document.value("capacity", 1)};
  } catch (const nlohmann::json::exception& exception) {
    return Unknown(ResultCode::kUpstreamProtocol, exception.what());
  }
}

class HttpServiceClient : public ServiceClient {
 public:
  HttpServiceClient() : m_timers(MakeTimerQueue()) {}

  void Call(ServiceRequest request, CallDone done) override {
    auto pending = std::make_shared<PendingCall>(m_timers.get(), std::move(done));
    const std::string address = request.address;
    const Milliseconds timeout = request.timeout;
    pending->SetTimer(m_timers->Schedule(std::chrono::steady_clock::now() + timeout,
                                         [pending] { pending->OnTimeout(); }));
    pending->SetHandle(
        CallOnce(address, timeout + kTransportMargin, ToHttp(std::move(request)),
                 [pending](const Result<HttpReply>& reply) { pending->Finish(FromHttp(reply)); }));
  }

  void FetchLoad(const std::string& address,
                 std::function<void(Result<ServiceLoad>)> done) override {
    HttpCall call;
    call.path = "/load";
    CallOnce(address, kLoadTimeout, std::move(call),
             [done = std::move(done)](const Result<HttpReply>& reply) {
               done(DecodeServiceLoad(reply));
             });
  }

 private:
  const std::unique_ptr<TimerQueue> m_timers;
};

}  // namespace

std::unique_ptr<ServiceClient> MakeHttpServiceClient() {
  return std::make_unique<HttpServiceClient>();
}

}  // namespace azuregw
