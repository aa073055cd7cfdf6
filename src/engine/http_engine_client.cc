// EngineClient over HTTP and JSON.

#include "azuregw/engine/http_engine_client.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "engine/engine_json.h"
#include "engine/engine_lane.h"
#include "engine/http_transport.h"

namespace azuregw {
namespace {

// Steps end by their own timeouts; this only bounds a call whose abandonment had no effect.
constexpr Milliseconds kStepCallTimeout{120000};

HttpCall Get(std::string path) {
  HttpCall call;
  call.path = std::move(path);
  return call;
}

HttpCall Post(std::string path, std::string body) {
  HttpCall call;
  call.method = "POST";
  call.path = std::move(path);
  call.content_type = "application/json";
  call.body = std::move(body);
  return call;
}

// What a status other than 200 means for calls on sequences and orders.
Error FromStatus(int status, ResultCode conflict) {
  const std::string message = "the engine answered " + std::to_string(status);
  switch (status) {
    case 404:
      return NotRun(ResultCode::kUnknownSequence, message);
    case 409:
      return NotRun(conflict, message);
    case 502:
      return Unknown(ResultCode::kFetchFailed, message);
    case 503:
      return NotRun(ResultCode::kUpstreamLeaving, message);
    default:
      return Unknown(ResultCode::kUpstreamProtocol, message);
  }
}

// Adapts a decoder of bodies to a callback on replies.
template <class T>
std::function<void(Result<HttpReply>)> Decoded(Result<T> (*decode)(std::string_view),
                                               EngineClient::Callback<T> done,
                                               ResultCode conflict = ResultCode::kStaleAttempt) {
  return [decode, done = std::move(done), conflict](const Result<HttpReply>& reply) {
    if (!reply) {
      done(reply.error());
    } else if (reply.value().status != 200) {
      done(FromStatus(reply.value().status, conflict));
    } else {
      done(decode(reply.value().body));
    }
  };
}

Result<bool> Accepted(std::string_view) { return true; }

class HttpEngineClient : public EngineClient {
 public:
  explicit HttpEngineClient(const HttpEngineClientOptions& options)
      : m_options(options), m_timers(MakeTimerQueue()) {}

  ~HttpEngineClient() override {
    for (auto& [address, entry] : m_lanes) {
      entry.lane->FailAll();
    }
  }

  void Step(StepRequest request, Callback<StepResult> done) override {
    auto lane = Entry(request.address).lane;
    lane->Add(std::move(request), std::move(done));
  }

  void Cancel(const std::string& address, const std::string& sequence, uint32_t attempt) override {
    Entry(address).control->Call(Post("/v1/sequences/cancel", EncodeSequence(sequence, attempt)),
                                 [](const Result<HttpReply>&) {});
  }

  // A repeated raise would be refused as stale, so it does not use a pooled connection.
  void RaiseAttempt(const std::string& address, const std::string& sequence, uint32_t attempt,
                    Callback<AttemptReply> done) override {
    CallOnce(address, m_options.call_timeout,
             Post("/v1/sequences/attempt", EncodeSequence(sequence, attempt)),
             Decoded<AttemptReply>(DecodeAttempt, std::move(done)));
  }

  // The source gives up the sequence when it exports it, so an import is not repeated either.
  void ImportKv(const std::string& address, const std::string& sequence, uint32_t attempt,
                const std::string& source, Callback<int> done) override {
    CallOnce(address, m_options.call_timeout,
             Post("/v1/kv/import", EncodeImport(sequence, attempt, source)),
             Decoded<int>(DecodeTokens, std::move(done)));
  }

  void FetchLoad(const std::string& address, Callback<EngineLoad> done) override {
    Entry(address).control->Call(Get("/v1/load"), Decoded<EngineLoad>(DecodeLoad, std::move(done)));
  }

  void FetchCacheEvents(const std::string& address, uint64_t after,
                        Callback<CacheEvents> done) override {
    Entry(address).control->Call(Get("/v1/cache_events?after=" + std::to_string(after)),
                                 Decoded<CacheEvents>(DecodeCacheEvents, std::move(done)));
  }

  void SendOrder(const std::string& address, const EngineOrder& order,
                 Callback<bool> done) override {
    CallOnce(address, m_options.call_timeout, Post("/v1/orders", EncodeOrder(order)),
             Decoded<bool>(Accepted, std::move(done), ResultCode::kStaleFencing));
  }

  void FetchState(const std::string& address, Callback<EngineState> done) override {
    Entry(address).control->Call(Get("/v1/state"),
                                 Decoded<EngineState>(DecodeState, std::move(done)));
  }

 private:
  struct LaneEntry {
    std::shared_ptr<EngineLane> lane;
    // For calls other than steps; their timeout is shorter than that of a long prefill.
    std::shared_ptr<HttpTransport> control;
    TimePoint last_used;
  };

  LaneEntry Entry(const std::string& address) {
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<EngineLane>> dropped;  // Destroyed outside the lock.
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_lanes.find(address);
    if (found == m_lanes.end()) {
      DropIdle(now, &dropped);
      LaneEntry entry;
      entry.lane = std::make_shared<EngineLane>(MakeHttpTransport(address, kStepCallTimeout),
                                                m_timers, m_options.batching);
      entry.control = MakeHttpTransport(address, m_options.call_timeout);
      found = m_lanes.emplace(address, std::move(entry)).first;
    }
    found->second.last_used = now;
    return found->second;
  }

  void DropIdle(TimePoint now, std::vector<std::shared_ptr<EngineLane>>* dropped) {
    for (auto it = m_lanes.begin(); it != m_lanes.end();) {
      const bool unused = now - it->second.last_used > m_options.idle_retention;
      if (unused && it->second.lane->Idle()) {
        dropped->push_back(std::move(it->second.lane));
        it = m_lanes.erase(it);
      } else {
        ++it;
      }
    }
  }

  const HttpEngineClientOptions m_options;
  const std::shared_ptr<TimerQueue> m_timers;
  std::mutex m_mutex;
  std::map<std::string, LaneEntry> m_lanes;  // By address; idle ones are dropped.
};

}  // namespace

std::unique_ptr<EngineClient> MakeHttpEngineClient(const HttpEngineClientOptions& options) {
  return std::make_unique<HttpEngineClient>(options);
}

}  // namespace azuregw
