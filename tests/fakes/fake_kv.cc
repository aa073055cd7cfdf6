// Fake key-value service.

#include "tests/fakes/fake_kv.h"

#include <algorithm>
#include <utility>

namespace azuregw::fakes {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr size_t kMaxValueBytes = 1 << 20;
constexpr size_t kVersionsKept = 64;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

void FakeKv::Handle(const FakeRequest& request, const ReplyFunction& reply) {
  if (StartsWith(request.path, "/test/")) {
    HandleTest(request, reply);
    return;
  }
  milliseconds delay{0};
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string operation = StartsWith(request.path, "/v1/watch")    ? "watch"
                                  : StartsWith(request.path, "/v1/leases") ? "lease"
                                  : request.method == "GET"                ? "read"
                                                                           : "write";
    ++m_calls[operation];
    if (steady_clock::now() < m_outage_until) {
      if (!m_outage_hangs) {
        reply(JsonReply(503, {{"error", "unavailable"}}));
      }
      return;
    }
    delay = m_delay;
    if (operation == "write" && m_writes_per_second > 0) {
      const auto now = steady_clock::now();
      m_next_write = std::max(m_next_write, now) + milliseconds(1000) / m_writes_per_second;
      delay += std::chrono::duration_cast<milliseconds>(m_next_write - now);
    }
  }
  if (delay.count() > 0) {
    m_delays.RunAfter(delay, [this, request, reply] { Dispatch(request, reply); });
  } else {
    Dispatch(request, reply);
  }
}

void FakeKv::Dispatch(const FakeRequest& request, const ReplyFunction& reply) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ExpireLeases();
  if (request.path == "/v1/watch") {
    Watch(request, reply);
    return;
  }
  const bool is_write = request.method != "GET";
  FakeReply answer = request.path == "/v1/leases" ? LeaseCall(request)
                     : request.path != "/v1/kv"   ? JsonReply(404, {{"error", "no such call"}})
                     : is_write                   ? Write(request)
                                                  : Read(request);
  if (is_write && m_drop_replies > 0) {
    --m_drop_replies;
    return;
  }
  reply(std::move(answer));
}

void FakeKv::HandleTest(const FakeRequest& request, const ReplyFunction& reply) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  json answer = json::object();
  if (request.path == "/test/calls") {
    answer["calls"] = m_calls;
    answer["waiting_watches"] = m_watchers.size();
  } else if (request.path == "/test/outage") {
    m_outage_until = steady_clock::now() + milliseconds(request.QueryInt("ms", 0));
    m_outage_hangs = request.Query("mode", "refuse") == "hang";
    for (const Watcher& watcher : m_watchers) {
      watcher.reply(JsonReply(503, {{"error", "unavailable"}}));
    }
    m_watchers.clear();
  } else if (request.path == "/test/drop_replies") {
    m_drop_replies = static_cast<int>(request.QueryInt("count", 0));
  } else if (request.path == "/test/delay") {
    m_delay = milliseconds(request.QueryInt("ms", 0));
  } else if (request.path == "/test/stale_reads") {
    m_stale = milliseconds(request.QueryInt("lag_ms", 0));
  } else if (request.path == "/test/write_rate") {
    m_writes_per_second = static_cast<int>(request.QueryInt("per_second", 0));
  } else if (request.path == "/test/lapse_leases") {
    for (auto& [id, lease] : m_leases) {
      lease.expires = steady_clock::time_point{};
    }
    ExpireLeases();
  }
  reply(JsonReply(200, answer));
}

const FakeKv::Version* FakeKv::Visible(const std::deque<Version>& versions, bool stale) const {
  const auto horizon = steady_clock::now() - (stale ? m_stale : milliseconds(0));
  for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
    if (it->written <= horizon) {
      return it->present ? &*it : nullptr;
    }
  }
  return nullptr;
}

json FakeKv::EntriesAfter(const std::string& prefix, uint64_t after, bool stale) {
  json entries = json::array();
  for (auto it = m_entries.lower_bound(prefix);
       it != m_entries.end() && StartsWith(it->first, prefix); ++it) {
    const Version* version = Visible(it->second, stale);
    if (version != nullptr && version->revision > after) {
      entries.push_back(
          {{"key", it->first}, {"value", version->value}, {"revision", version->revision}});
    }
  }
  return entries;
}

FakeReply FakeKv::Read(const FakeRequest& request) {
  if (request.query.count("prefix") != 0) {
    return JsonReply(200, {{"entries", EntriesAfter(request.Query("prefix", ""), 0, true)},
                           {"revision", m_revision}});
  }
  const std::string key = request.Query("key", "");
  const auto found = m_entries.find(key);
  const Version* version = found == m_entries.end() ? nullptr : Visible(found->second, true);
  if (version == nullptr) {
    return JsonReply(404, {{"error", "not_found"}});
  }
  return JsonReply(200, {{"key", key}, {"value", version->value}, {"revision", version->revision}});
}

FakeReply FakeKv::Write(const FakeRequest& request) {
  const std::string key = request.Query("key", "");
  const auto expected = static_cast<uint64_t>(request.QueryInt("expected", 0));
  const std::string lease = request.Query("lease", "");
  const auto found = m_entries.find(key);
  const bool present = found != m_entries.end() && found->second.back().present;
  const uint64_t revision = present ? found->second.back().revision : 0;
  if (request.body.size() > kMaxValueBytes) {
    return JsonReply(413, {{"error", "too_large"}});
  }
  if (!lease.empty() && m_leases.count(lease) == 0) {
    return JsonReply(404, {{"error", "lease_lapsed"}});
  }
  if (revision != expected) {
    return JsonReply(409, {{"error", "conflict"}, {"revision", revision}});
  }
  if (request.method == "DELETE" && !present) {
    return JsonReply(404, {{"error", "not_found"}});
  }
  m_key_leases.erase(key);
  if (!lease.empty()) {
    m_key_leases[key] = lease;
  }
  Change(key, request.body, request.method != "DELETE");
  return JsonReply(200, {{"revision", m_revision}});
}

void FakeKv::Change(const std::string& key, const std::string& value, bool present) {
  ++m_revision;
  auto& versions = m_entries[key];
  versions.push_back({value, m_revision, present, steady_clock::now()});
  if (versions.size() > kVersionsKept) {
    versions.pop_front();
  }
  NotifyWatchers();
}

FakeReply FakeKv::LeaseCall(const FakeRequest& request) {
  if (request.method == "POST") {
    const std::string id = "lease-" + std::to_string(m_next_id++);
    Lease& lease = m_leases[id];
    lease.ttl = milliseconds(request.QueryInt("ttl_ms", 10000));
    lease.expires = steady_clock::now() + lease.ttl;
    m_delays.RunAfter(lease.ttl, [this] {
      const std::lock_guard<std::mutex> lock(m_mutex);
      ExpireLeases();
    });
    return JsonReply(200, {{"lease", id}});
  }
  const auto found = m_leases.find(request.Query("id", ""));
  if (found == m_leases.end()) {
    return JsonReply(404, {{"error", "lapsed"}});
  }
  if (request.method == "DELETE") {
    found->second.expires = steady_clock::time_point{};
    ExpireLeases();
  } else {
    found->second.expires = steady_clock::now() + found->second.ttl;
  }
  return JsonReply(200, json::object());
}

void FakeKv::ExpireLeases() {
  const auto now = steady_clock::now();
  for (auto lease = m_leases.begin(); lease != m_leases.end();) {
    if (lease->second.expires > now) {
      ++lease;
      continue;
    }
    for (auto key = m_key_leases.begin(); key != m_key_leases.end();) {
      if (key->second == lease->first) {
        const std::string name = key->first;
        key = m_key_leases.erase(key);
        Change(name, "", false);
      } else {
        ++key;
      }
    }
    lease = m_leases.erase(lease);
  }
}

void FakeKv::Watch(const FakeRequest& request, const ReplyFunction& reply) {
  const std::string prefix = request.Query("prefix", "");
  const auto after = static_cast<uint64_t>(request.QueryInt("after", 0));
  json entries = EntriesAfter(prefix, after, true);
  if (!entries.empty()) {
    reply(JsonReply(200, {{"entries", std::move(entries)}, {"revision", m_revision}}));
    return;
  }
  const uint64_t id = m_next_id++;
  m_watchers.push_back({prefix, after, id, reply});
  m_delays.RunAfter(milliseconds(request.QueryInt("wait_ms", 10000)), [this, id] {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_watchers.begin(); it != m_watchers.end(); ++it) {
      if (it->id == id) {
        it->reply(JsonReply(200, {{"entries", json::array()}, {"revision", m_revision}}));
        m_watchers.erase(it);
        return;
      }
    }
  });
}

void FakeKv::NotifyWatchers() {
  for (auto it = m_watchers.begin(); it != m_watchers.end();) {
    json entries = EntriesAfter(it->prefix, it->after, true);
    if (entries.empty()) {
      ++it;
      continue;
    }
    it->reply(JsonReply(200, {{"entries", std::move(entries)}, {"revision", m_revision}}));
    it = m_watchers.erase(it);
  }
}

}  // namespace azuregw::fakes
