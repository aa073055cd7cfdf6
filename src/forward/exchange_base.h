// What plain and streamed exchanges have in common: the deadline, refusals and the closing log
// line.

#ifndef SRC_FORWARD_EXCHANGE_BASE_H_
#define SRC_FORWARD_EXCHANGE_BASE_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "azuregw/forward/exchange.h"

namespace azuregw {

class ExchangeBase : public ForwardExchange {
 public:
  ExchangeBase(ForwardContext* context, IncomingRequest request, CallerRequest caller,
               RouteMatch match, CallerResponder* responder);
  // Kinds of exchange write the closing line of a caller that left, as long as they are whole.
  ~ExchangeBase() override = default;

 protected:
  // Called once, when neither the caller nor the operator waits any longer.
  virtual void OnDeadline() = 0;
  // Further members of the closing log line.
  virtual void AddDetails(nlohmann::ordered_json* /*line*/) const {}

  TimePoint Now() const { return m_context->loop->Now(); }
  Milliseconds TimeLeft() const;
  void StartDeadline();
  // The caller's request for an upstream, with the time that is left now.
  HttpRequest ForwardedMessage(const std::string& upstream_id, gsl::span<const PathHop> path,
                               const std::optional<std::string>& resume_after) const;

  // Sends a refusal that states that the request has not run.
  void Refuse(ResultCode code, const std::string& reason, std::optional<Milliseconds> retry_after);
  // Sends a failure that promises nothing.
  void Fail(ResultCode code, const std::string& reason);
  void Deliver(BufferedResponse reply, const std::string& reason);
  // Writes the closing log line; the exchange sends nothing after it.
  void Close(int status, const std::string& outcome, const std::string& reason);
  bool Closed() const { return m_closed; }
  void CloseIfCallerLeft() {
    if (!m_closed) {
      Close(0, "caller_gone", "the caller closed its connection");
    }
  }
  // Whether the route has failed upstream answers replaced by a repeat.
  bool MayRetry() const { return m_match.route->MayRetry(); }
  const RouteSpec& Route() const { return *m_match.route; }

  ForwardContext* const m_context;
  const IncomingRequest m_request;
  const CallerRequest m_caller;
  const RouteMatch m_match;
  CallerResponder* const m_responder;
  const std::string m_service;
  TimePoint m_deadline;
  int m_sends = 0;  // To upstreams that may have run the request.

 private:
  std::unique_ptr<Timer> m_deadline_timer;
  bool m_closed = false;
};

// The header fields of an upstream's answer that go on to the caller.
HttpFields EndToEndFields(const HttpFields& fields);

// Whether callers take the status for a promise that the request has not run. An answer with such a
// status is passed on only if its upstream proves that.
inline bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// A failure or refusal made by azuregw.
BufferedResponse OwnReply(int status, ResultCode code, RunOutcome outcome,
                          const std::string& message, const std::string& request_id,
                          std::string_view request_id_header,
                          std::optional<Milliseconds> retry_after);

// The address of a listed upstream; nullopt when it is not listed.
std::optional<boost::asio::ip::tcp::endpoint> UpstreamEndpoint(const Fleet& fleet,
                                                               const std::string& id);

std::unique_ptr<ForwardExchange> MakePlainExchange(ForwardContext* context, IncomingRequest request,
                                                   CallerRequest caller, RouteMatch match,
                                                   CallerResponder* responder);
std::unique_ptr<ForwardExchange> MakeStreamExchange(ForwardContext* context,
                                                    IncomingRequest request, CallerRequest caller,
                                                    RouteMatch match, CallerResponder* responder);

}  // namespace azuregw

#endif  // SRC_FORWARD_EXCHANGE_BASE_H_
