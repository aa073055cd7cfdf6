// Exchange for a streamed response, produced by the engines of a path that holds all layers.

#ifndef SRC_FORWARD_STREAM_EXCHANGE_H_
#define SRC_FORWARD_STREAM_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/admission/wait_policy.h"
#include "azuregw/forward/event_scanner.h"
#include "forward/exchange_base.h"

namespace azuregw {

// Load limit of engines for a stream whose caller already received events. Above kMaxLoadNew, so
// that running streams resume before new ones start.
constexpr double kMaxLoadResumed = 1.05;
// Utilization limit of links between failure domains for a stream whose caller already received
// events. It also bounds how many prompts are read again at once after the loss of an engine.
constexpr double kMaxLinkLoadResumed = 0.85;
// Slowdown above which an engine is used only if there is no other path.
constexpr double kMaxSlowdown = 3.5;

// Forwards a request to the first engine of a path and its events to the caller. Only complete
// events are forwarded, so that a stream whose engine fails can resume on another path after the
// last event that the caller received.
class StreamExchange final : public ExchangeBase,
                             public HttpCallHandler,
                             public StreamWaiter,
                             public MonitoredStream {
 public:
  StreamExchange(ForwardContext* context, IncomingRequest request, CallerRequest caller,
                 RouteMatch match, CallerResponder* responder);

  ~StreamExchange() override;

  void Start() override;

  void OnCallerReads() override;

  // ---- StreamWaiter ----

  bool TryStart() override;

  // ---- MonitoredStream ----

  void RerouteAround(const std::string& engine, bool stopped) override;

  // ---- HttpCallHandler ----

  bool OnHead(const HttpResponseHead& head) override;

  void OnBody(std::string_view bytes) override;

  void OnDone() override;

  void OnFailed(const HttpFailure& failure) override;

 private:
  void AddDetails(nlohmann::ordered_json* line) const override;

  PathQuery BuildPathQuery() const;

  // Reserves memory on the engines of `path` and sends the request to the first one.
  void StartAttempt(EnginePath path);

  void BeginMonitoring();

  // Returns whether route, deadline and retry budget allow another send of the request now.
  bool MayResend() const;

  // Asks the first engine to reroute the running request to a path without `engine`. The other
  // engines keep the memory of the request, and it does not count as another send. Returns whether
  // the engine was asked.
  bool Reroute(const std::string& engine);

  // Accounts for the prompt on the links that the path crosses.
  void RecordTransfers();

  // Returns the memory to reserve on the engine of `hop`, in tokens times layers.
  double Reservation(const PathHop& hop) const;

  // Cancels the current attempt and releases its reservations; does nothing if there is none.
  void EndAttempt();

  // Starts queued streams after this one released memory.
  void StartQueuedStreams() { m_context->queue->StartEligible(Now()); }

  // Sends complete events to the caller, after the response header if it is not sent yet.
  void ForwardEvents(const std::string& events);

  // Ends the response to the caller as complete.
  void CompleteStream();

  // Breaks the attempt off because the engine exceeded `limit`.
  void RejectBytes(std::string_view limit, const std::string& reason);

  // Handles a response that is not an event stream: a refusal or an error.
  void OnNonStreamResponse();

  // Handles an attempt that ended without a complete response. `engine`, unless empty, is
  // suspected.
  void OnAttemptBroken(const std::string& reason, const std::string& engine);

  // Handles the end of the connection to the first engine before the response was complete. If its
  // prompt may have crashed the engine, it is sent again only after that is known.
  void OnConnectionEnded(const std::string& reason);

  // Records that the engine wrote to this prompt without a crash, once per attempt.
  void RecordAnswer();

  // Returns whether a part of the prompt is quarantined.
  bool Blocked() const {
    return m_context->quarantine->Check(m_parts, m_crashed, Now()).has_value();
  }

  // Ends the exchange of a prompt with a quarantined part.
  void EndBlocked(const PromptQuarantine::Block& block);

  // Sends the request again if route, deadline and limits allow it; ends the exchange otherwise.
  // `counted`: the send consumes the retry budget.
  void Retry(const std::string& reason, bool counted);

  // Queues the stream until a path has memory, or refuses it if waiting is not worthwhile.
  void WaitForPath();

  WaitInputs CurrentWaitInputs() const;

  int Priority() const;

  void RefuseForLoad();

  // Returns when a refused caller should come back.
  Milliseconds RetryAfterTime() const;

  // Ends the exchange without a complete response.
  void GiveUp(const std::string& reason);

  void OnDeadline() override;

  // ---- Silent paths ----

  // Schedules the next check for silence of the path.
  void StartSilenceTimer();

  void OnSilenceTimer();

  // Handles the report of the first engine of a silent path.
  void OnEngineReport(const std::string& first, const Result<EngineReport>& state);

  // Returns the engines of the path that are not known to have made progress during the silence.
  std::set<std::string> FindSilentEngines() const;

  // Ends the attempt and retries on a path without `engines`.
  void RetryAvoiding(const std::set<std::string>& engines, const std::string& reason);

  // Marks an engine as suspect for at least `duration` and logs it.
  void SuspectEngine(const std::string& id, Milliseconds duration, const std::string& reason);

  void LogAttempt(const char* outcome, const std::string& reason);

  std::vector<PartId> m_parts;  // Shared parts of the prompt, then the request as a whole.
  bool m_crashed = false;       // An engine exited while it began an answer to this request.
  TimePoint m_crashed_at;       // Time of the last such exit.
  const EngineProfile* m_profile = nullptr;  // Owned by the configuration of `m_match`.
  double m_reserved_tokens = 0;              // Tokens reserved per layer on each engine.
  std::set<std::string> m_excluded_engines;  // Engines that refused or failed this request.
  std::set<std::string> m_refused_by;  // Engines that stated that they did not run the request.
  PathError m_path_error = PathError::kNoCapacity;
  bool m_was_queued = false;  // True once the request has been queued for a path.
  int m_refusals = 0;         // Number of retries while the request provably did not run.

  // ---- Current attempt ----
  bool m_attempt_active = false;  // `m_path` is reserved and `m_call` is running.
  EnginePath m_path;
  UpstreamProcess m_process;  // First engine of the path.
  std::shared_ptr<ClientCall> m_call;
  UpstreamResponse m_response_info;
  int m_attempt_status = 0;
  size_t m_error_body_bytes = 0;  // Body bytes of a response that is no event stream.
  bool m_streaming = false;       // The response is a sealed event stream.
  // The response states where it ends. Otherwise it ends with the connection, also if the engine
  // exits between two events.
  bool m_framed = false;
  bool m_paused = false;           // The engine waits, since the caller does not read.
  bool m_answer_recorded = false;  // RecordAnswer() was called.
  bool m_resumed = false;          // The attempt resumes after `m_last_sent_id`.
  TimePoint m_attempt_started;
  TimePoint m_last_bytes;           // Time of the last bytes received, or of the start or reroute.
  int m_silence_checks = 0;         // Number of checks during the current silence.
  bool m_left_slow_engine = false;  // The exchange avoided a slow engine once.
  int m_reroutes = 0;               // Number of reroutes requested; the first engine stays.
  bool m_rerouting = false;         // The first engine was asked to reroute the request.
  uint64_t m_query_generation = 0;  // Replies to engine queries of older generations are ignored.

  BufferedResponse m_response;  // Response header, with the body if it is an error.
  bool m_head_sent = false;     // The response header was sent to the caller.
  EventScanner m_scanner;
  std::optional<std::string> m_last_sent_id;  // ID of the last event sent to the caller.
  TimePoint m_last_sent_time;                 // Time of the last event sent to the caller.
  Milliseconds m_first_event_delay{-1};  // Delay from arrival to first event sent; -1: none yet.
  Milliseconds m_longest_pause{0};       // Longest interval between events sent.
  std::unique_ptr<Timer> m_wait_timer;
  std::unique_ptr<Timer> m_silence_timer;
  // Expires with the exchange; callbacks that may outlive it hold a weak reference.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace azuregw

#endif  // SRC_FORWARD_STREAM_EXCHANGE_H_
