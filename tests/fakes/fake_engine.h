// Fake of a model engine that holds a range of layers (docs/assumptions.md). It batches
// continuously, logs every (sequence, layer, token) it runs, and can be made slow, late, leaving or
// strict about fencing numbers under /test/.

#ifndef TESTS_FAKES_FAKE_ENGINE_H_
#define TESTS_FAKES_FAKE_ENGINE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/fakes/http_fake.h"
#include "tests/fakes/reference_model.h"

namespace azuregw::fakes {

struct FakeEngineOptions {
  std::string model;
  int first_layer = 0;
  int last_layer = 1;
  int total_layers = 1;
  int capacity = 8;                            // Steps in one iteration.
  std::chrono::microseconds step_time{10000};  // Of one iteration.
  std::chrono::microseconds prefill_token_time{
      50};  // Added to the iteration for each token beyond the first of a step.
  std::chrono::milliseconds load_lag{1000};
  std::chrono::milliseconds cache_event_lag{500};
  std::chrono::milliseconds sequence_ttl{30000};
  size_t prefix_cache_blocks = 256;
  bool checks_fencing = true;
  std::string version = "1";
  std::string log_path;  // Empty: no log.
};

class FakeEngine {
 public:
  explicit FakeEngine(FakeEngineOptions options);
  ~FakeEngine();
  void Handle(const FakeRequest& request, const ReplyFunction& reply);

 private:
  using Time = std::chrono::steady_clock::time_point;

  struct Sequence {
    uint32_t attempt = 0;
    int tokens = 0;                 // Tokens that ran through this range.
    bool moved = false;             // Exported; no further steps.
    std::vector<uint64_t> caches;   // Digest per layer of the range.
    std::vector<uint64_t> outputs;  // Activation after the last layer, per token.
    std::vector<uint32_t> prompt;   // Ids of the prompt at the first stage.
    std::map<int, Sample>
        samples;  // By the number of tokens before the sampled one; last stage only.
    Time used;
  };

  // One HTTP call with several steps; replies when all results are there.
  struct Call {
    nlohmann::json results = nlohmann::json::array();
    size_t missing = 0;
    ReplyFunction reply;
  };

  struct Step {
    std::shared_ptr<Call> call;
    size_t index = 0;
    nlohmann::json request;
    std::vector<uint64_t> inputs;
    std::vector<uint32_t> tokens;  // At the first stage.
    int priority = 5;
  };

  void HandleTest(const FakeRequest& request, const ReplyFunction& reply);
  void HandleSteps(const FakeRequest& request, const ReplyFunction& reply);
  void PrepareStep(Step step);
  void FetchInput(Step step);
  void RequestInput(const std::string& address, const std::string& path, Step step);
  void Enqueue(Step step);
  void Loop();
  std::chrono::microseconds IterationTime(const std::vector<Step>& batch);
  nlohmann::json Execute(const Step& step);
  nlohmann::json CheckStep(const Step& step, Sequence** sequence);
  nlohmann::json Run(const Step& step, Sequence* sequence);
  nlohmann::json ResultOf(const Step& step, const Sequence& sequence, int first, int count);
  void Complete(const Step& step, nlohmann::json result);
  void LogRun(const Step& step, int first, int count);
  void NotePrefix(const std::string& text);
  FakeReply Cancel(const nlohmann::json& body);
  FakeReply RaiseAttempt(const nlohmann::json& body);
  FakeReply Activations(const FakeRequest& request);
  FakeReply Export(const FakeRequest& request);
  void Import(const nlohmann::json& body, const ReplyFunction& reply);
  FakeReply InstallImport(const nlohmann::json& body, const std::string& exported);
  FakeReply CacheEvents(const FakeRequest& request);
  FakeReply Order(const nlohmann::json& body);
  nlohmann::json Load();
  nlohmann::json CurrentLoad();
  void PurgeSequences();

  const FakeEngineOptions m_options;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Sequence> m_sequences;
  std::deque<Step> m_pending;
  int m_running = 0;
  bool m_stopped = false;
  bool m_leaving = false;
  double m_slow_factor = 1.0;
  std::chrono::milliseconds m_reply_delay{0};
  int m_drop_replies = 0;
  // Time of one fetch by the source's address; stands for the link between the two.
  std::map<std::string, std::chrono::microseconds> m_link_times;
  uint64_t m_new_sequences = 0;
  Time m_last_new_sequence{};
  std::deque<std::pair<Time, nlohmann::json>> m_load_history;
  struct CacheEntry {
    uint64_t id;
    bool stored;
    uint64_t prefix;
    Time time;
  };
  std::deque<CacheEntry> m_cache_events;
  std::deque<uint64_t> m_prefixes;  // Oldest first.
  uint64_t m_next_event = 1;
  nlohmann::json m_state;
  std::ofstream m_log;
  DelayQueue m_delays;
  std::thread m_thread;
};

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_FAKE_ENGINE_H_
