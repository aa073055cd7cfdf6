// Open-loop load with one thread per caller in flight.

#include "bench/load/load_run.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace azuregw::load {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kMaxConnects = 6;  // Instances tried by one caller.
constexpr milliseconds kCallerTimeout{20000};

class LoadRun {
 public:
  LoadRun(testing::Cluster* cluster, milliseconds duration, int max_callers)
      : m_cluster(cluster),
        m_max_callers(max_callers),
        m_bins(static_cast<size_t>((duration + kCallerTimeout) / kBin) + 1),
        m_start(steady_clock::now()) {}

  void Dispatch(const std::vector<Arrival>& schedule) {
    std::vector<std::thread> threads;
    threads.reserve(schedule.size());
    for (const Arrival& arrival : schedule) {
      std::this_thread::sleep_until(m_start + arrival.at);
      if (m_in_flight.load() >= m_max_callers) {
        CallerRecord record = Begin(arrival);
        record.error = "load tool limit";
        Add(std::move(record));
        continue;
      }
      ++m_in_flight;
      threads.emplace_back([this, &arrival] {
        Add(Call(arrival));
        --m_in_flight;
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  LoadResult Take() {
    LoadResult result;
    result.records = std::move(m_records);
    for (const std::atomic<int64_t>& bin : m_bins) {
      result.tokens_per_bin.push_back(bin.load());
    }
    result.duration_s = std::chrono::duration<double>(steady_clock::now() - m_start).count();
    return result;
  }

  steady_clock::time_point start() const { return m_start; }

 private:
  CallerRecord Begin(const Arrival& arrival) const {
    CallerRecord record;
    record.kind = arrival.kind;
    record.workspace = arrival.workspace;
    record.at_s = std::chrono::duration<double>(arrival.at).count();
    return record;
  }

  void Add(CallerRecord record) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_records.push_back(std::move(record));
  }

  // Stands for the platform's balancer: instances in turn.
  const testing::Node& NextInstance() {
    auto& instances = m_cluster->instances();
    return instances[m_next.fetch_add(1) % instances.size()];
  }

  CallerRecord Call(const Arrival& arrival) {
    return arrival.kind == ArrivalKind::kStream ? CallStream(arrival) : CallService(arrival);
  }

  void CountToken() {
    const auto bin = static_cast<size_t>((steady_clock::now() - m_start) / kBin);
    if (bin < m_bins.size()) {
      ++m_bins[bin];
    }
  }

  static bool HasToken(const testing::SseEvent& event) {
    return event.data.find("\"text\"") != std::string::npos &&
           event.data.find("\"text\":\"\"") == std::string::npos;
  }

  CallerRecord CallStream(const Arrival& arrival) {
    CallerRecord record = Begin(arrival);
    const json body = {{"model", "design"},
                       {"prompt", arrival.prompt},
                       {"max_tokens", arrival.max_tokens},
                       {"stream", true}};
    testing::Headers headers = m_cluster->Auth(arrival.workspace);
    std::string text;
    std::string resume_token;
    const auto start = steady_clock::now();
    for (int connect = 0; connect < kMaxConnects; ++connect) {
      const auto attempt_start = steady_clock::now();
      const testing::StreamResult reply = testing::StreamCompletion(
          NextInstance().address, "/v1/completions", body.dump(), headers,
          [this](const testing::SseEvent& event) {
            if (HasToken(event)) {
              CountToken();
            }
            return true;
          },
          kCallerTimeout);
      if (reply.status == 0 && record.tokens == 0 && resume_token.empty()) {
        continue;  // The balancer passes over an instance that does not accept connections.
      }
      if (record.tokens == 0 && reply.first_token_ms >= 0) {
        const auto waited = std::chrono::duration<double, std::milli>(attempt_start - start);
        record.first_token_ms = waited.count() + reply.first_token_ms;
      }
      record.tokens += reply.tokens;
      text += reply.text;
      record.gaps_ms.insert(record.gaps_ms.end(), reply.gaps_ms.begin(), reply.gaps_ms.end());
      if (reply.done) {
        record.complete = true;
        break;
      }
      if (reply.status >= 400 || (reply.status == 200 && IsRefusal(reply.error))) {
        TakeRefusal(reply, &record);
        break;
      }
      resume_token = reply.resume_token.empty() ? resume_token : reply.resume_token;
      if (resume_token.empty()) {
        record.error = "connection lost: " + reply.error;
        break;
      }
      ++record.resumes;
      headers["X-Azuregw-Resume"] = resume_token;
      headers["Last-Event-ID"] = reply.last_id.empty() ? headers["Last-Event-ID"] : reply.last_id;
    }
    if (!record.complete && record.error.empty() && record.refusal_code == 0) {
      record.error = "no instance answered";
    }
    if (record.complete) {
      record.right_text = text == m_cluster->Expected(arrival.prompt, arrival.max_tokens);
    }
    return record;
  }

  static bool IsRefusal(const std::string& error) { return !error.empty() && error[0] == '{'; }

  static void TakeRefusal(const testing::StreamResult& reply, CallerRecord* record) {
    const json document =
        json::parse(reply.body.empty() ? reply.error : reply.body, nullptr, false);
    const json error =
        document.is_object() && document.contains("error") ? document["error"] : document;
    const int code = error.is_object() ? error.value("code", -1) : -1;
    if (record->tokens == 0) {
      record->refusal_code = code;
    } else {
      record->error = "failed after " + std::to_string(record->tokens) + " tokens, code " +
                      std::to_string(code);
    }
  }

  CallerRecord CallService(const Arrival& arrival) {
    CallerRecord record = Begin(arrival);
    testing::Headers headers = m_cluster->Auth(arrival.workspace);
    const bool is_order = arrival.kind == ArrivalKind::kOrder;
    if (is_order) {
      headers["Idempotency-Key"] = arrival.key;
    }
    const auto start = steady_clock::now();
    for (int connect = 0; connect < kMaxConnects; ++connect) {
      const testing::HttpResult reply = testing::SendRequest(
          is_order ? "POST" : "GET", NextInstance().address,
          is_order ? "/v1/services/bookings/deposits" : "/v1/services/bookings/availability",
          is_order ? R"({"amount":50})" : "", headers, kCallerTimeout);
      if (reply.status == 0) {
        record.error = reply.error;
        ++record.resumes;  // A keyed order or a look-up may be repeated by its caller.
        continue;
      }
      record.error.clear();
      const json document = json::parse(reply.body, nullptr, false);
      if (reply.status < 300) {
        record.complete = true;
        record.first_token_ms =
            std::chrono::duration<double, std::milli>(steady_clock::now() - start).count();
      } else if (document.is_object() && document.contains("error")) {
        record.refusal_code = document["error"].value("code", -1);
      } else {
        record.error = "status " + std::to_string(reply.status);
      }
      break;
    }
    return record;
  }

  testing::Cluster* m_cluster;
  int m_max_callers;
  std::vector<std::atomic<int64_t>> m_bins;
  steady_clock::time_point m_start;
  std::atomic<int> m_in_flight{0};
  std::atomic<size_t> m_next{0};
  std::mutex m_mutex;
  std::vector<CallerRecord> m_records;
};

}  // namespace

LoadResult RunLoad(testing::Cluster* cluster, const std::vector<Arrival>& schedule,
                   milliseconds duration, const std::vector<TimedAction>& actions,
                   int max_callers) {
  LoadRun run(cluster, duration, max_callers);
  std::thread action_thread([&run, &actions] {
    for (const TimedAction& action : actions) {
      std::this_thread::sleep_until(run.start() + action.at);
      action.run();
    }
  });
  run.Dispatch(schedule);
  action_thread.join();
  return run.Take();
}

}  // namespace azuregw::load
