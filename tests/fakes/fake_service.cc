// Fake plain service.

#include "tests/fakes/fake_service.h"

#include <fstream>
#include <utility>

namespace azuregw::fakes {

using nlohmann::json;
using std::chrono::milliseconds;

FakeService::FakeService(int capacity, milliseconds work_time, std::string log_path)
    : m_capacity(capacity), m_work_time(work_time), m_log_path(std::move(log_path)) {}

void FakeService::Handle(const FakeRequest& request, const ReplyFunction& reply) {
  if (request.path.compare(0, 6, "/test/") == 0) {
    HandleTest(request, reply);
    return;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (request.path == "/load") {
    reply(JsonReply(200, {{"running", m_running}, {"waiting", 0}, {"capacity", m_capacity}}));
    return;
  }
  if (m_refuse > 0) {
    --m_refuse;
    FakeReply refusal = JsonReply(503, {{"error", "busy"}});
    refusal.headers["X-Not-Executed"] = "true";
    reply(refusal);
    return;
  }
  ++m_running;
  m_delays.RunAfter(m_work_time, [this, request, reply] {
    const std::lock_guard<std::mutex> work_lock(m_mutex);
    --m_running;
    FakeReply answer = Execute(request);
    if (m_drop_replies > 0) {
      --m_drop_replies;
      return;
    }
    reply(std::move(answer));
  });
}

FakeReply FakeService::Execute(const FakeRequest& request) {
  const auto key_header = request.headers.find("idempotency-key");
  const std::string key = key_header == request.headers.end() ? "" : key_header->second;
  if (request.method == "GET") {
    return JsonReply(200, {{"path", request.path}, {"available", true}});
  }
  const int count = ++m_effects[key];
  if (!m_log_path.empty()) {
    std::ofstream(m_log_path, std::ios::app)
        << json({{"effect", count}, {"key", key}, {"path", request.path}}).dump() << "\n";
  }
  return JsonReply(200, {{"confirmed", true}, {"path", request.path}, {"effect", count}});
}

void FakeService::HandleTest(const FakeRequest& request, const ReplyFunction& reply) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  json answer = json::object();
  if (request.path == "/test/effects") {
    answer = m_effects;
  } else if (request.path == "/test/drop_replies") {
    m_drop_replies = static_cast<int>(request.QueryInt("count", 0));
  } else if (request.path == "/test/refuse") {
    m_refuse = static_cast<int>(request.QueryInt("count", 0));
  } else if (request.path == "/test/work_time") {
    m_work_time = milliseconds(request.QueryInt("ms", 0));
  }
  reply(JsonReply(200, answer));
}

}  // namespace azuregw::fakes
