// Fake engine: HTTP calls and the iteration loop. The sequences' arithmetic stands in
// fake_engine_sequences.cc.

#include "tests/fakes/fake_engine.h"

#include <algorithm>
#include <utility>

namespace azuregw::fakes {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

json StepError(const std::string& error) {
  return {{"status", "error"}, {"error", error}, {"executed", false}};
}

}  // namespace

FakeEngine::FakeEngine(FakeEngineOptions options)
    : m_options(std::move(options)),
      m_state({{"model", m_options.model},
               {"version", m_options.version},
               {"adapters", json::array()},
               {"role", ""},
               {"last_order_id", ""},
               {"fencing", 0}}) {
  if (!m_options.log_path.empty()) {
    m_log.open(m_options.log_path, std::ios::app);
  }
  m_thread = std::thread([this] { Loop(); });
}

FakeEngine::~FakeEngine() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  m_thread.join();
}

void FakeEngine::Handle(const FakeRequest& request, const ReplyFunction& plain_reply) {
  if (request.path.compare(0, 6, "/test/") == 0) {
    HandleTest(request, plain_reply);
    return;
  }
  ReplyFunction reply = [this, plain_reply](FakeReply answer) {
    milliseconds delay{0};
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_drop_replies > 0) {
        --m_drop_replies;
        return;
      }
      delay = m_reply_delay;
    }
    if (delay.count() == 0) {
      plain_reply(std::move(answer));
    } else {
      m_delays.RunAfter(delay, [plain_reply, answer] { plain_reply(answer); });
    }
  };
  if (request.path == "/v1/steps") {
    HandleSteps(request, reply);
  } else if (request.path == "/v1/sequences/cancel") {
    reply(Cancel(json::parse(request.body)));
  } else if (request.path == "/v1/sequences/attempt") {
    reply(RaiseAttempt(json::parse(request.body)));
  } else if (request.path == "/v1/activations") {
    reply(Activations(request));
  } else if (request.path == "/v1/kv/export") {
    reply(Export(request));
  } else if (request.path == "/v1/kv/import") {
    Import(json::parse(request.body), reply);
  } else if (request.path == "/v1/load") {
    reply(JsonReply(200, Load()));
  } else if (request.path == "/v1/cache_events") {
    reply(CacheEvents(request));
  } else if (request.path == "/v1/orders") {
    reply(Order(json::parse(request.body)));
  } else if (request.path == "/v1/state") {
    const std::lock_guard<std::mutex> lock(m_mutex);
    plain_reply(JsonReply(200, m_state));
  } else {
    reply(JsonReply(404, {{"error", "no such call"}}));
  }
}

void FakeEngine::HandleTest(const FakeRequest& request, const ReplyFunction& reply) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  json answer = json::object();
  if (request.path == "/test/leaving") {
    m_leaving = request.QueryInt("on", 1) != 0;
  } else if (request.path == "/test/slow") {
    m_slow_factor = std::stod(request.Query("factor", "1"));
  } else if (request.path == "/test/delay") {
    m_reply_delay = milliseconds(request.QueryInt("ms", 0));
  } else if (request.path == "/test/drop_replies") {
    m_drop_replies = static_cast<int>(request.QueryInt("count", 0));
  } else if (request.path == "/test/links") {  // PUT: {"address": ms}
    const json times = json::parse(request.body);
    for (const auto& [address, ms] : times.items()) {
      m_link_times[address] = microseconds(static_cast<int64_t>(ms.get<double>() * 1000));
    }
  } else if (request.path == "/test/stats") {
    const auto age =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_last_new_sequence);
    answer = {{"sequences", m_sequences.size()},
              {"new_sequences", m_new_sequences},
              {"ms_since_last_new_sequence", m_new_sequences == 0 ? -1 : age.count()},
              {"pending", m_pending.size()}};
  }
  reply(JsonReply(200, answer));
}

void FakeEngine::HandleSteps(const FakeRequest& request, const ReplyFunction& reply) {
  const json body = json::parse(request.body);
  const json& steps = body.at("steps");
  auto call = std::make_shared<Call>();
  call->missing = steps.size();
  call->reply = reply;
  call->results = json::array();
  for (size_t i = 0; i < steps.size(); ++i) {
    call->results.push_back(nullptr);
  }
  for (size_t i = 0; i < steps.size(); ++i) {
    Step step;
    step.call = call;
    step.index = i;
    step.request = steps[i];
    step.priority = steps[i].value("priority", 5);
    PrepareStep(std::move(step));
  }
}

void FakeEngine::PrepareStep(Step step) {
  const json& input = step.request.at("input");
  if (input.contains("text")) {
    step.tokens = Tokenize(input["text"].get<std::string>());
    Enqueue(std::move(step));
  } else if (input.contains("tokens")) {
    step.tokens = input["tokens"].get<std::vector<uint32_t>>();
    Enqueue(std::move(step));
  } else if (input.contains("activations")) {
    for (const json& value : input["activations"]) {
      step.inputs.push_back(FromHex(value.get<std::string>()));
    }
    Enqueue(std::move(step));
  } else {
    FetchInput(std::move(step));
  }
}

void FakeEngine::FetchInput(Step step) {
  const json fetch = step.request.at("input").at("fetch");
  const std::string path = "/v1/activations?sequence=" + fetch.at("sequence").get<std::string>() +
                           "&layer=" + std::to_string(fetch.at("layer").get<int>()) +
                           "&first_token=" + std::to_string(fetch.at("first_token").get<int>()) +
                           "&token_count=" + std::to_string(fetch.at("token_count").get<int>());
  const std::string address = fetch.at("address").get<std::string>();
  microseconds link_time{0};
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_link_times.find(address);
    link_time = found == m_link_times.end() ? link_time : found->second;
  }
  auto fetch_now = [this, address, path, step = std::move(step)]() mutable {
    RequestInput(address, path, std::move(step));
  };
  if (link_time.count() == 0) {
    fetch_now();
  } else {
    m_delays.RunAfter(link_time, std::move(fetch_now));
  }
}

void FakeEngine::RequestInput(const std::string& address, const std::string& path, Step step) {
  SendHttp("GET", address, path, "",
           [this, step = std::move(step)](int status, const std::string& body) mutable {
             if (status != 200) {
               Complete(step, StepError("fetch_failed"));
               return;
             }
             const json fetched = json::parse(body);
             for (const json& value : fetched.at("activations")) {
               step.inputs.push_back(FromHex(value.get<std::string>()));
             }
             Enqueue(std::move(step));
           });
}

void FakeEngine::Enqueue(Step step) {
  for (size_t i = 0; i < step.tokens.size(); ++i) {
    const int position = step.request.value("first_token", 0) + static_cast<int>(i);
    step.inputs.push_back(Embed(step.tokens[i], position));
  }
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    // Higher priorities run first; equal ones in order of arrival.
    const auto place = std::find_if(m_pending.begin(), m_pending.end(), [&step](const Step& other) {
      return other.priority < step.priority;
    });
    m_pending.insert(place, std::move(step));
  }
  m_changed.notify_all();
}

void FakeEngine::Loop() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopped) {
    if (m_pending.empty()) {
      m_changed.wait_for(lock, milliseconds(200));
      PurgeSequences();
      continue;
    }
    std::vector<Step> batch;
    while (!m_pending.empty() && batch.size() < static_cast<size_t>(m_options.capacity)) {
      batch.push_back(std::move(m_pending.front()));
      m_pending.pop_front();
    }
    m_running = static_cast<int>(batch.size());
    const microseconds time = IterationTime(batch);
    const auto end = steady_clock::now() + time;
    lock.unlock();
    std::this_thread::sleep_until(end);
    lock.lock();
    std::vector<json> results;
    for (const Step& step : batch) {
      results.push_back(Execute(step));
    }
    m_running = 0;
    if (m_log.is_open()) {
      m_log.flush();
    }
    lock.unlock();
    for (size_t i = 0; i < batch.size(); ++i) {
      Complete(batch[i], std::move(results[i]));
    }
    lock.lock();
  }
}

microseconds FakeEngine::IterationTime(const std::vector<Step>& batch) {
  int64_t extra = 0;
  for (const Step& step : batch) {
    extra += static_cast<int64_t>(step.inputs.size()) - 1;
  }
  const auto time = m_options.step_time + extra * m_options.prefill_token_time;
  return microseconds(static_cast<int64_t>(static_cast<double>(time.count()) * m_slow_factor));
}

void FakeEngine::Complete(const Step& step, json result) {
  bool last = false;
  json load;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    step.call->results[step.index] = std::move(result);
    last = --step.call->missing == 0;
    load = CurrentLoad();
  }
  if (last) {
    step.call->reply(JsonReply(200, {{"results", step.call->results}, {"load", load}}));
  }
}

json FakeEngine::CurrentLoad() {
  int64_t kv_used = 0;
  for (const auto& [name, sequence] : m_sequences) {
    kv_used += sequence.tokens;
  }
  json load = {
      {"running", m_running}, {"waiting", m_pending.size()}, {"capacity", m_options.capacity},
      {"kv_used", kv_used},   {"kv_capacity", 1 << 20},      {"leaving", m_leaving},
      {"age_ms", 0}};
  const auto now = steady_clock::now();
  m_load_history.emplace_back(now, load);
  while (m_load_history.size() > 1 && m_load_history[1].first <= now - m_options.load_lag) {
    m_load_history.pop_front();
  }
  // The report is the newest one that is at least as old as the lag.
  json report = m_load_history.front().second;
  const auto age = std::chrono::duration_cast<milliseconds>(now - m_load_history.front().first);
  report["age_ms"] = age.count();
  return report;
}

json FakeEngine::Load() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return CurrentLoad();
}

FakeReply FakeEngine::CacheEvents(const FakeRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto after = static_cast<uint64_t>(request.QueryInt("after", 0));
  const auto horizon = steady_clock::now() - m_options.cache_event_lag;
  json events = json::array();
  uint64_t next = after;
  for (const CacheEntry& entry : m_cache_events) {
    if (entry.id > after && entry.time <= horizon) {
      events.push_back({{"id", entry.id},
                        {"op", entry.stored ? "store" : "evict"},
                        {"prefix", ToHex(entry.prefix)}});
      next = entry.id;
    }
  }
  return JsonReply(200, {{"events", events}, {"next", next}});
}

FakeReply FakeEngine::Order(const json& body) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto fencing = body.at("fencing").get<uint64_t>();
  const auto known = m_state["fencing"].get<uint64_t>();
  if (m_options.checks_fencing && fencing < known) {
    return JsonReply(409, {{"error", "stale_fencing"}, {"fencing", known}});
  }
  if (m_leaving) {
    return JsonReply(503, {{"error", "leaving"}});
  }
  const std::string order = body.at("order").get<std::string>();
  const std::string argument = body.at("argument").get<std::string>();
  if (order == "load_model") {
    m_state["model"] = argument;
  } else if (order == "load_version") {
    m_state["version"] = argument;
  } else if (order == "load_adapter") {
    if (std::find(m_state["adapters"].begin(), m_state["adapters"].end(), argument) ==
        m_state["adapters"].end()) {
      m_state["adapters"].push_back(argument);
    }
  } else if (order == "set_role") {
    m_state["role"] = argument;
  } else {
    return JsonReply(400, {{"error", "unknown_order"}});
  }
  m_state["last_order_id"] = body.at("order_id");
  m_state["fencing"] = std::max(known, fencing);
  if (m_log.is_open()) {
    m_log << json({{"order", body}}).dump() << "\n" << std::flush;
  }
  return JsonReply(200, json::object());
}

}  // namespace azuregw::fakes
