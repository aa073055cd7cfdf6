// Fake list of instances.

#include "tests/fakes/fake_list.h"

namespace azuregw::fakes {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

FakeList::FakeList(milliseconds lag) : m_lag(lag) {}

void FakeList::Handle(const FakeRequest& request, const ReplyFunction& reply) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto now = steady_clock::now();
  if (request.path == "/test/entries") {  // PUT: a JSON array of entries to add or replace.
    for (const json& entry : json::parse(request.body)) {
      m_current[entry.at("name").get<std::string>()] = entry;
    }
    m_history.emplace_back(now, m_current);
    reply(JsonReply(200, json::object()));
  } else if (request.path == "/test/remove") {
    m_current.erase(request.Query("name", ""));
    m_history.emplace_back(now, m_current);
    reply(JsonReply(200, json::object()));
  } else if (request.path == "/test/lag") {
    m_lag = milliseconds(request.QueryInt("ms", 0));
    reply(JsonReply(200, json::object()));
  } else if (request.path == "/test/outage") {
    m_outage_until = now + milliseconds(request.QueryInt("ms", 0));
    reply(JsonReply(200, json::object()));
  } else if (now < m_outage_until) {
    reply(JsonReply(503, {{"error", "unavailable"}}));
  } else if (request.path == "/v1/instances") {
    json entries = json::array();
    for (auto it = m_history.rbegin(); it != m_history.rend(); ++it) {
      if (it->first <= now - m_lag) {
        for (const json& entry : it->second) {
          entries.push_back(entry);
        }
        break;
      }
    }
    reply(JsonReply(200, {{"instances", entries}}));
  } else {
    reply(JsonReply(404, {{"error", "no such call"}}));
  }
}

}  // namespace azuregw::fakes
