// One request of a caller and its answer: identity, refusal, accounting.

#ifndef AZUREGW_SRC_GATEWAY_EXCHANGE_H_
#define AZUREGW_SRC_GATEWAY_EXCHANGE_H_

#include <cpprest/http_msg.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "azuregw/engine/timer_queue.h"
#include "azuregw/gateway/caller_server.h"
#include "gateway/progress_counter.h"

namespace azuregw {

class Exchange;

// The requests whose answers have not been sent. Thread-safe.
class OpenExchanges {
 public:
  void Add(const std::shared_ptr<Exchange>& exchange);
  void Remove(const Exchange* exchange);
  std::vector<std::shared_ptr<Exchange>> All() const;

 private:
  mutable std::mutex m_mutex;
  std::unordered_map<const Exchange*, std::weak_ptr<Exchange>> m_exchanges;
};

// What all requests of one server share.
struct GatewayContext {
  GatewayDependencies dependencies;
  CallerServerOptions options;
  std::unique_ptr<TimerQueue> timers;
  std::unique_ptr<ProgressCounter> progress;
  OpenExchanges open;
  std::atomic<bool> draining{false};
};

// Shared by everything that works on the request. Counts as in progress from its creation until its
// answer has been sent.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<GatewayContext> context, web::http::http_request message);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Answers are sent once; later ones are dropped. Thread-safe.
  void Answer(int status, const std::string& content_type, const std::string& body);
  // Answers with the error and reports the refusal.
  void Refuse(const Error& refusal);
  // Answers with a stream; `done` is told whether the whole stream was sent.
  void AnswerStream(const concurrency::streams::istream& body, std::function<void(bool)> done);

  // Counts and records a refusal whose answer has already begun.
  void ReportRefusal(const Error& error);
  void CountOutcome(const std::string& outcome);
  // Ends the request because the server stops: a stream is broken off, other work is refused.
  void Abort();
  // `abort` breaks off the stream that answers this request.
  void SetStreamAbort(std::function<void()> abort);
  // The request is no longer in progress, for example because its caller is gone. Idempotent.
  void EndProgress();

  // The value of a header, or "".
  std::string Header(const std::string& name) const;

  const web::http::http_request& Message() const { return m_message; }
  GatewayContext& Context() const { return *m_context; }
  const GatewayDependencies& Dependencies() const { return m_context->dependencies; }
  const std::string& RequestId() const { return m_request_id; }
  TimePoint Start() const { return m_start; }

  // Set once by the server, before work begins.
  std::shared_ptr<const Snapshot> snapshot;
  std::string workspace;

 private:
  void Send(web::http::http_response response, std::function<void(bool)> done);

  const std::shared_ptr<GatewayContext> m_context;
  const web::http::http_request m_message;
  const TimePoint m_start;
  std::string m_request_id;
  std::atomic<bool> m_answered{false};
  std::atomic<bool> m_in_progress{true};
  std::mutex m_mutex;
  std::function<void()> m_stream_abort;  // Guarded by m_mutex; empty when no stream answers.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_EXCHANGE_H_
