// One request of a caller and its answer.

#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "azuregw/base/random.h"
#include "gateway/completion_json.h"

namespace azuregw {
namespace {

namespace http = web::http;

constexpr size_t kMaxRequestIdLength = 128;

// A caller's id is repeated in headers and logs, so only harmless characters are accepted.
bool IsValidRequestId(const std::string& id) {
  const auto valid = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  };
  return !id.empty() && id.size() <= kMaxRequestIdLength &&
         std::all_of(id.begin(), id.end(), valid);
}

std::string RetryAfterSeconds(Milliseconds wait) {
  return std::to_string(std::max<int64_t>(1, (wait.count() + 999) / 1000));
}

}  // namespace

Exchange::Exchange(std::shared_ptr<GatewayContext> context, http::http_request message)
    : m_context(std::move(context)),
      m_message(std::move(message)),
      m_start(m_context->dependencies.clock->Now()) {
  m_context->progress->Begin();
  const std::string given = Header("X-Request-Id");
  m_request_id = IsValidRequestId(given) ? given : MakeUniqueId();
}

Exchange::~Exchange() {
  EndProgress();
  m_context->open.Remove(this);
}

void OpenExchanges::Add(const std::shared_ptr<Exchange>& exchange) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_exchanges.emplace(exchange.get(), exchange);
}

void OpenExchanges::Remove(const Exchange* exchange) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_exchanges.erase(exchange);
}

std::vector<std::shared_ptr<Exchange>> OpenExchanges::All() const {
  std::vector<std::shared_ptr<Exchange>> all;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [key, weak] : m_exchanges) {
    if (auto exchange = weak.lock()) {
      all.push_back(std::move(exchange));
    }
  }
  return all;
}

void Exchange::SetStreamAbort(std::function<void()> abort) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stream_abort = std::move(abort);
}

void Exchange::Abort() {
  std::function<void()> abort;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    abort = m_stream_abort;
  }
  if (abort) {
    abort();
  } else {
    Refuse(Unknown(ResultCode::kDraining, "the instance stopped before the answer was complete"));
  }
}

std::string Exchange::Header(const std::string& name) const {
  const auto found = m_message.headers().find(name);
  return found == m_message.headers().end() ? "" : found->second;
}

void Exchange::Answer(int status, const std::string& content_type, const std::string& body) {
  http::http_response response(static_cast<http::status_code>(status));
  response.set_body(body, content_type);
  Send(std::move(response), [](bool) {});
}

void Exchange::Refuse(const Error& refusal) {
  if (m_answered) {
    return;
  }
  Error error = refusal;
  if (!Header("X-Azuregw-Resume").empty() && error.outcome == RunOutcome::kNotRun) {
    error.outcome = RunOutcome::kUnknown;  // A part of the answer ran at an earlier instance.
  }
  http::http_response response(static_cast<http::status_code>(HttpStatus(error.code)));
  response.set_body(ErrorBody(error, m_request_id), "application/json");
  if (error.retry_after) {
    response.headers().add("Retry-After", RetryAfterSeconds(*error.retry_after));
  }
  ReportRefusal(error);
  Send(std::move(response), [](bool) {});
}

void Exchange::ReportRefusal(const Error& error) {
  const GatewayDependencies& deps = Dependencies();
  deps.refusals->OnRefusal(workspace, error.code, deps.clock->WallMs());
  deps.events->Record("gateway", "refused", m_request_id, error.message, error.code);
  const std::string reason(ResultCodeName(error.code));
  deps.metrics->Add("azuregw_refusals_total", "reason=\"" + reason + "\"", 1);
  CountOutcome(std::string(RunOutcomeName(error.outcome)));
}

void Exchange::CountOutcome(const std::string& outcome) {
  Dependencies().metrics->Add("azuregw_requests_total", "outcome=\"" + outcome + "\"", 1);
}

void Exchange::AnswerStream(const concurrency::streams::istream& body,
                            std::function<void(bool)> done) {
  http::http_response response(http::status_codes::OK);
  response.set_body(body, "text/event-stream");
  response.headers().add("Cache-Control", "no-cache");
  Send(std::move(response), std::move(done));
}

void Exchange::Send(http::http_response response, std::function<void(bool)> done) {
  if (m_answered.exchange(true)) {
    return;
  }
  response.headers().add("X-Request-Id", m_request_id);
  const auto self = shared_from_this();
  m_message.reply(response).then([self, done = std::move(done)](const pplx::task<void>& task) {
    bool sent = true;
    try {
      task.get();
    } catch (const std::exception&) {
      sent = false;  // The caller closed the connection.
    }
    done(sent);
    self->EndProgress();
  });
}

void Exchange::EndProgress() {
  if (m_in_progress.exchange(false)) {
    m_context->progress->End();
  }
}

}  // namespace azuregw
