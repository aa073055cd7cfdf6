// A request whose answer is a stream of events, from engines on a path that holds all layers.
//
// Only whole events are passed on, so that a stream whose engine fails can go on at another path
// after the last event that the caller has.

#ifndef SRC_FORWARD_STREAM_EXCHANGE_H_
#define SRC_FORWARD_STREAM_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "azuregw/admission/wait_policy.h"
#include "azuregw/forward/event_scanner.h"
#include "forward/exchange_base.h"

namespace azuregw {

// A stream that its caller already reads goes on before new ones start.
constexpr double kMaxLoadResumed = 1.05;
// Slower engines are left out of paths as long as there are others.
constexpr double kMaxSlowdown = 3.5;

class StreamExchange final : public ExchangeBase,
                             public HttpCallHandler,
                             public StreamWaiter,
                             public MonitoredStream {
 public:
  StreamExchange(ForwardContext* context, IncomingRequest request, CallerRequest caller,
                 RouteMatch match, CallerResponder* responder);

  ~StreamExchange() override;

  void Start() override;

  bool TryStart() override;

  void RerouteAround(const std::string& engine, bool stopped) override;

  // ---- HttpCallHandler ----

  bool OnHead(const HttpResponseHead& head) override;

  void OnBody(std::string_view bytes) override;

  void OnDone() override;

  void OnFailed(const HttpFailure& failure) override;

 private:
  void AddDetails(nlohmann::ordered_json* line) const override;

  PathQuery Query() const;

  void StartAttempt(EnginePath path);

  void BeginMonitoring();

  bool MayResend() const;

  // Moves the running request to a path that begins with the same engine and leaves `engine`. The
  // other engines keep its memory, and it is no further send. Returns whether this was begun.
  bool Reroute(const std::string& engine);

  double Reservation(const PathHop& hop) const;

  void EndAttempt();

  // Memory became free: waiting streams may start.
  void Freed() { m_context->queue->StartEligible(Now()); }

  void PassOn(const std::string& events);

  // The engine answered with something else than a stream.
  void OnRefusalOrFailure();

  // The attempt ended without a whole answer.
  void OnBroken(const std::string& reason, const std::string& engine);

  // Sends the request again where that is allowed and useful, else ends the exchange. `counted`:
  // the send takes from the budget of repeats.
  void Again(const std::string& reason, bool counted);

  void WaitForPath();

  WaitInputs WaitInputsNow() const;

  int Priority() const;

  void RefuseForLoad();

  void GiveUp(const std::string& reason);

  void OnDeadline() override;

  // ---- Silent paths ----

  void WatchSilence();

  void OnSilenceTimer();

  void OnReport(const std::string& first, const Result<EngineReport>& state);

  // Engines of the path on which no stream of this instance made progress during the silence.
  std::set<std::string> SilentEngines() const;

  void MoveAwayFrom(const std::set<std::string>& engines, const std::string& reason);

  void SuspectEngine(const std::string& id, Milliseconds duration, const std::string& reason);

  void LogAttempt(const char* outcome, const std::string& reason);

  const EngineProfile* m_profile = nullptr;  // Owned by the configuration of `m_match`.
  double m_tokens = 0;                       // Reserved at each engine of the path.
  std::set<std::string> m_excluded;          // Engines that failed this request.
  PathError m_path_problem = PathError::kNoMemory;
  bool m_waited = false;
  int m_not_run = 0;

  // The present attempt.
  bool m_attempting = false;  // `m_path` is reserved and `m_call` runs.
  EnginePath m_path;
  std::shared_ptr<ClientCall> m_call;
  UpstreamResponse m_answer;
  int m_attempt_status = 0;
  bool m_streaming = false;  // The engine's answer is a stream of its own.
  bool m_resumed = false;    // It goes on after `m_last_sent_id`.
  TimePoint m_attempt_started;
  TimePoint m_last_bytes;
  int m_examinations = 0;
  bool m_left_slow = false;   // A slow engine was left.
  int m_repaths = 0;          // Of this request, in which the first engine stayed.
  bool m_moving = false;      // The first engine was asked to change the path.
  uint64_t m_generation = 0;  // Of questions to engines; answers to older ones are ignored.

  BufferedResponse m_head;  // Of the first stream; a failure's body as well.
  bool m_head_sent = false;
  EventScanner m_scanner;
  std::optional<std::string> m_last_sent_id;
  TimePoint m_last_passed_on;
  Milliseconds m_first_event{-1};   // After the request's arrival; -1: none was passed on.
  Milliseconds m_longest_pause{0};  // Between events passed on.
  std::unique_ptr<Timer> m_wait_timer;
  std::unique_ptr<Timer> m_silence_timer;
  // Expires with the exchange, for answers to questions that outlive it.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace azuregw

#endif  // SRC_FORWARD_STREAM_EXCHANGE_H_
