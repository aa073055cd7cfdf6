// Runs completions.

#include "gateway/completion_handler.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

#include "gateway/event_stream.h"
#include "gateway/request_headers.h"

namespace azuregw {
namespace {

// Holds what is common to whole and streamed answers. Sink calls are serialised by the runner.
class CompletionSink : public AnswerSink, public std::enable_shared_from_this<CompletionSink> {
 public:
  CompletionSink(std::shared_ptr<Exchange> exchange, AnswerHead head,
                 std::shared_ptr<AdmissionTicket> ticket)
      : m_exchange(std::move(exchange)),
        m_head(std::move(head)),
        m_ticket(std::move(ticket)),
        m_admitted(m_exchange->Dependencies().clock->Now()) {}

  // Called after Start, whose sequence may have ended by then.
  void SetGeneration(std::shared_ptr<Generation> generation) {
    std::optional<ResultCode> gone;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_generation = generation;
      gone = m_gone;
    }
    if (gone) {
      generation->OnCallerGone(*gone);
    }
  }

  void OnRepair() override { m_repaired = true; }

  void OnToken(int position, const std::string& text, bool end) override {
    const TimePoint now = m_exchange->Dependencies().clock->Now();
    const TimePoint since = m_first ? m_exchange->Start() : m_last_token;
    const double seconds = std::chrono::duration<double>(now - since).count();
    const char* name = m_first ? "azuregw_first_token_seconds" : "azuregw_between_tokens_seconds";
    m_exchange->Dependencies().metrics->Observe(name, "", seconds);
    if (m_first) {
      OnFirstToken(now);
    }
    m_last_token = now;
    Add(position, text);
  }

  void OnFinish(const Finish& finish) override {
    m_exchange->CountOutcome("ok");
    End(finish);
    m_ticket.reset();
  }

  void OnFail(const Error& error) override {
    if (error.code == ResultCode::kOverloaded || error.code == ResultCode::kUpstreamTimeout) {
      m_ticket->OnOverload();
    }
    Break(error);
    m_ticket.reset();
  }

 protected:
  virtual void Add(int position, const std::string& text) = 0;
  virtual void End(const Finish& finish) = 0;
  virtual void Break(const Error& error) = 0;

  // The caller is gone: the sequence ends and its place becomes free. May run while the sink is
  // being called, so it leaves the ticket to the sink's destruction.
  void OnCallerGone(ResultCode code) {
    std::shared_ptr<Generation> generation;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_gone = code;
      generation = m_generation.lock();
    }
    m_exchange->CountOutcome("cancelled");
    if (generation != nullptr) {
      generation->OnCallerGone(code);
    }
  }

  const std::shared_ptr<Exchange> m_exchange;
  const AnswerHead m_head;

 private:
  void OnFirstToken(TimePoint now) {
    m_first = false;
    // Without the wait for admission, which would make the limit react to its own queue, and
    // without the time of repairs, which would lower the limit after each failure.
    if (!m_repaired) {
      m_ticket->OnFirstResult(std::chrono::duration_cast<Milliseconds>(now - m_admitted));
    }
    m_exchange->Dependencies().events->Record("gateway", "first_token", m_exchange->RequestId(), "",
                                              ResultCode::kOk);
  }

  std::shared_ptr<AdmissionTicket> m_ticket;
  const TimePoint m_admitted;
  bool m_first = true;
  bool m_repaired = false;
  TimePoint m_last_token;

  std::mutex m_mutex;
  std::weak_ptr<Generation> m_generation;  // Guarded by m_mutex.
  std::optional<ResultCode> m_gone;        // Guarded by m_mutex.
};

class WholeAnswerSink : public CompletionSink {
 public:
  using CompletionSink::CompletionSink;

  void OnResumeToken(const std::string&) override {}

 protected:
  void Add(int, const std::string& text) override { m_text += text; }

  void End(const Finish& finish) override {
    m_exchange->Answer(200, "application/json", WholeAnswer(m_head, m_text, finish));
  }

  void Break(const Error& error) override { m_exchange->Refuse(error); }

 private:
  std::string m_text;
};

class StreamSink : public CompletionSink {
 public:
  using CompletionSink::CompletionSink;

  void OnResumeToken(const std::string& token) override { m_resume_token = token; }

 protected:
  void Add(int position, const std::string& text) override {
    Open();
    m_stream->Write(TokenEvent(m_head, position, text, m_resume_token));
    m_resume_token.clear();
  }

  void End(const Finish& finish) override {
    Open();  // A resumed stream may have nothing left to send.
    m_stream->Write(FinishEvent(m_head, finish));
    m_stream->Write(DoneEvent());
    m_stream->Close();
  }

  void Break(const Error& error) override {
    if (m_stream == nullptr) {
      m_exchange->Refuse(error);
      return;
    }
    m_exchange->ReportRefusal(error);
    m_stream->Write(ErrorEvent(ErrorBody(error, m_exchange->RequestId())));
    m_stream->Close();
  }

 private:
  // The head of the answer is sent with the first token, so that earlier errors have a status.
  void Open() {
    if (m_stream != nullptr) {
      return;
    }
    const auto self = std::static_pointer_cast<StreamSink>(shared_from_this());
    m_stream = std::make_shared<EventStream>(
        m_exchange, [weak = std::weak_ptr<StreamSink>(self)](ResultCode code) {
          if (const auto sink = weak.lock()) {
            sink->OnCallerGone(code);
          }
        });
    m_stream->Open();
  }

  std::shared_ptr<EventStream> m_stream;
  std::string m_resume_token;  // Empty once it has been sent.
};

void StartGeneration(const std::shared_ptr<Exchange>& exchange, const CompletionRequest& request,
                     GenerationRequest generation, std::shared_ptr<AdmissionTicket> ticket) {
  const GatewayDependencies& deps = exchange->Dependencies();
  deps.events->Record("gateway", "admitted", exchange->RequestId(), "", ResultCode::kOk);
  AnswerHead head{request.kind, exchange->RequestId(), request.model, deps.clock->WallMs() / 1000};
  std::shared_ptr<CompletionSink> sink;
  if (request.stream) {
    sink = std::make_shared<StreamSink>(exchange, std::move(head), std::move(ticket));
  } else {
    sink = std::make_shared<WholeAnswerSink>(exchange, std::move(head), std::move(ticket));
  }
  auto started = deps.runner->Start(std::move(generation), sink);
  if (started) {
    sink->SetGeneration(std::move(started.value()));
  } else {
    exchange->Refuse(started.error());
  }
}

Result<GenerationRequest> MakeGeneration(const Exchange& exchange,
                                         const CompletionRequest& request) {
  const Preset& preset = *exchange.snapshot->preset;
  const auto model = preset.models.find(request.model);
  if (model == preset.models.end()) {
    return NotRun(ResultCode::kUnknownModel, "unknown model " + request.model);
  }
  const auto deadline =
      ParseDeadline(exchange.Header("X-Azuregw-Deadline-Ms"), preset.limits.default_deadline);
  const auto last_event_id = ParseLastEventId(exchange.Header("Last-Event-ID"));
  if (!deadline || !last_event_id) {
    return deadline ? last_event_id.error() : deadline.error();
  }
  GenerationRequest generation;
  generation.snapshot = exchange.snapshot;
  generation.request_id = exchange.RequestId();
  generation.workspace = exchange.workspace;
  generation.model = request.model;
  generation.prompt = request.prompt;
  const int most = model->second.max_tokens;
  generation.max_tokens = request.max_tokens == 0 ? most : std::min(request.max_tokens, most);
  generation.priority = preset.workspaces.at(exchange.workspace).priority;
  generation.deadline = exchange.Start() + deadline.value();
  generation.progress_timeout = deadline.value();
  generation.resume_token = exchange.Header("X-Azuregw-Resume");
  generation.last_event_id = last_event_id.value();
  return generation;
}

}  // namespace

void HandleCompletion(const std::shared_ptr<Exchange>& exchange, CompletionKind kind,
                      const std::string& body) {
  auto request = ParseCompletionRequest(kind, body);
  if (!request) {
    exchange->Refuse(request.error());
    return;
  }
  auto generation = MakeGeneration(*exchange, request.value());
  if (!generation) {
    exchange->Refuse(generation.error());
    return;
  }
  AdmissionRequest admission;
  admission.workspace = exchange->workspace;
  admission.target = "model/" + request.value().model;
  admission.priority = generation.value().priority;
  admission.deadline = generation.value().deadline;
  admission.resumed = !generation.value().resume_token.empty();
  const GatewayDependencies& deps = exchange->Dependencies();
  deps.admission->Admit(exchange->snapshot, admission, deps.clock->Now(),
                        [exchange, request = request.value(), generation = generation.value()](
                            const Result<std::shared_ptr<AdmissionTicket>>& ticket) {
                          if (ticket) {
                            StartGeneration(exchange, request, generation, ticket.value());
                          } else {
                            exchange->Refuse(ticket.error());
                          }
                        });
}

}  // namespace azuregw
