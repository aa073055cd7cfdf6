// Request handling of the fake store.

#include "tests/fakes/platform_store.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace azuregw::fakes {
namespace {

using nlohmann::json;

// Reply delay under Fault::kSlow.
constexpr Milliseconds kSlowReplyDelay{400};

std::string ToBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes(text.size() / 4 * 3 + 1, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  const auto padding = std::count(text.begin(), text.end(), '=');
  bytes.resize(static_cast<size_t>(std::max<int64_t>(0, size - padding)));
  return bytes;
}

uint64_t ParseNumber(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

}  // namespace

void PlatformStore::ReplyJson(const std::shared_ptr<StandInReply>& reply, int status,
                              const json& body) const {
  reply->Whole(status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}},
               body.dump());
}

void PlatformStore::BackUp() { m_backup = {m_revision, m_next_lease, m_items, m_leases}; }

void PlatformStore::Restore() {
  m_revision = m_backup.revision;
  m_next_lease = m_backup.next_lease;
  m_items = m_backup.items;
  m_leases = m_backup.leases;
  for (auto& [id, lease] : m_leases) {
    lease.first = m_loop->Now() + lease.second;
  }
  m_removal_revisions.clear();
  ++m_era;
  for (const auto& watcher : m_watchers) {
    watcher->reply->Cut();
  }
  m_watchers.clear();
}

void PlatformStore::Put(const std::string& key, const std::string& value, uint64_t lease) {
  Item& item = m_items[key];
  item.value = value;
  item.revision = ++m_revision;
  item.created = item.created == 0 ? item.revision : item.created;
  item.lease = lease;
  m_removal_revisions.erase(key);
  NotifyWatchers();
}

void PlatformStore::Remove(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_removal_revisions[key] = ++m_revision;
    NotifyWatchers();
  }
}

void PlatformStore::Handle(const StandInRequest& request, std::shared_ptr<StandInReply> reply) {
  ExpireLeases();
  switch (m_fault) {
    case Fault::kUnavailable:
      ReplyJson(reply, 503, json::object());
      return;
    case Fault::kUnresponsive:
      return;
    case Fault::kSlow: {
      m_delayed_replies.push_back(
          m_loop->After(kSlowReplyDelay, [this, request, reply] { Serve(request, reply); }));
      return;
    }
    case Fault::kDropsReplies:
      if (request.method() != boost::beast::http::verb::get) {
        // Applies the write, but drops the reply.
        class DiscardedReply final : public StandInReply {
          void Whole(int, const StandInFields&, const std::string&) override {}
          void Begin(const StandInFields&, bool) override {}
          void Chunk(const std::string&) override {}
          void End() override {}
          void Cut() override {}
          bool Open() const override { return true; }
        };
        Serve(request, std::make_shared<DiscardedReply>());
      }
      reply->Cut();
      return;
    case Fault::kNone:
    case Fault::kHistoryLost:
      Serve(request, reply);
  }
}

void PlatformStore::Serve(const StandInRequest& request,
                          const std::shared_ptr<StandInReply>& reply) {
  const std::string path = PathOf(request);
  const std::string lease_id = path.substr(path.rfind('/') + 1);
  const json body = json::parse(request.body(), nullptr, false);
  if (path == "/azuregw/kv-key") {
    const std::string key = QueryValue(request, "key");
    if (m_items.count(key) == 0) {
      ReplyJson(reply, 404, {{"currentRev", m_revision}});
      return;
    }
    json item = ItemJson(key);
    item["currentRev"] = m_revision;
    ReplyJson(reply, 200, item);
  } else if (path == "/azuregw/kv-range") {
    json items = json::array();
    for (const auto& [key, item] : m_items) {
      if (key.rfind(QueryValue(request, "pathPrefix"), 0) == 0) {
        items.push_back(ItemJson(key));
      }
    }
    ReplyJson(reply, 200, {{"items", items}, {"hasMore", false}, {"currentRev", m_revision}});
  } else if (path == "/azuregw/kv-watch") {
    Watch(request, reply);
  } else if (path == "/azuregw/kv-txn" && body.is_object()) {
    Transact(body, reply);
  } else if (path == "/azuregw/kv-lease" && body.is_object()) {
    const Milliseconds ttl(body.value("ttlMs", int64_t{1000}));
    const uint64_t lease = m_next_lease++;
    m_leases[lease] = {m_loop->Now() + ttl, ttl};
    ReplyJson(reply, 200, {{"lease", lease}, {"ttlMs", ttl.count()}});
  } else if (path.rfind("/azuregw/kv-keep/", 0) == 0) {
    const auto lease = m_leases.find(ParseNumber(lease_id));
    if (lease == m_leases.end()) {
      ReplyJson(reply, 404, json::object());
      return;
    }
    lease->second.first = m_loop->Now() + lease->second.second;
    ReplyJson(reply, 200, {{"ttlMs", lease->second.second.count()}});
  } else if (path.rfind("/azuregw/kv-lease-end/", 0) == 0) {
    const auto lease = m_leases.find(ParseNumber(lease_id));
    if (lease != m_leases.end()) {
      lease->second.first = TimePoint();
      ExpireLeases();
    }
    ReplyJson(reply, 200, json::object());
  } else {
    ReplyJson(reply, 400, json::object());
  }
}

void PlatformStore::Watch(const StandInRequest& request,
                          const std::shared_ptr<StandInReply>& reply) {
  const std::string prefix = QueryValue(request, "pathPrefix");
  const uint64_t after = ParseNumber(QueryValue(request, "after"));
  if (m_fault == Fault::kHistoryLost || after > m_revision) {
    ReplyJson(reply, 410, json::object());
    return;
  }
  const json events = EventsAfter(prefix, after);
  if (!events.empty()) {
    ReplyJson(reply, 200, {{"events", events}, {"currentRev", m_revision}});
    return;
  }
  auto watcher = std::make_shared<Watcher>(Watcher{prefix, after, reply, nullptr});
  const Milliseconds wait(static_cast<int64_t>(ParseNumber(QueryValue(request, "waitMs"))));
  watcher->timer = m_loop->After(wait, [this, weak = std::weak_ptr<Watcher>(watcher)] {
    const auto expired = weak.lock();
    if (!expired) {
      return;
    }
    m_watchers.erase(std::remove(m_watchers.begin(), m_watchers.end(), expired), m_watchers.end());
    ReplyJson(expired->reply, 200, {{"events", json::array()}, {"currentRev", m_revision}});
  });
  m_watchers.push_back(std::move(watcher));
}

void PlatformStore::NotifyWatchers() {
  std::vector<std::shared_ptr<Watcher>> waiting;
  waiting.swap(m_watchers);
  for (const auto& watcher : waiting) {
    const json events = EventsAfter(watcher->prefix, watcher->after);
    if (events.empty()) {
      m_watchers.push_back(watcher);
    } else {
      ReplyJson(watcher->reply, 200, {{"events", events}, {"currentRev", m_revision}});
    }
  }
}

void PlatformStore::Transact(const json& body, const std::shared_ptr<StandInReply>& reply) {
  for (const json& row : body.value("precondition", json::array())) {
    const auto found = m_items.find(row.value("key", ""));
    if ((found == m_items.end() ? 0 : found->second.revision) != row.value("revision", 0U)) {
      ReplyJson(reply, 412, {{"items", json::array()}});
      return;
    }
  }
  for (const json& put : body.value("puts", json::array())) {
    const uint64_t lease = put.value("lease", uint64_t{0});
    if (lease != 0 && m_leases.count(lease) == 0) {
      ReplyJson(reply, 404, json::object());
      return;
    }
    Put(put.value("key", ""), FromBase64(put.value("value", "")), lease);
  }
  for (const json& key : body.value("remove", json::array())) {
    Remove(key.get<std::string>());
  }
  ReplyJson(reply, 200, {{"revision", m_revision}});
}

void PlatformStore::ExpireLeases() {
  for (auto lease = m_leases.begin(); lease != m_leases.end();) {
    if (lease->second.first > m_loop->Now()) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == lease->first) {
        keys.push_back(key);
      }
    }
    lease = m_leases.erase(lease);
    for (const std::string& key : keys) {
      Remove(key);
    }
  }
}

json PlatformStore::ItemJson(const std::string& key) const {
  const Item& item = m_items.at(key);
  return {{"key", key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"createRevision", item.created},
          {"lease", item.lease}};
}

json PlatformStore::EventsAfter(const std::string& prefix, uint64_t after) const {
  json events = json::array();
  for (const auto& [key, item] : m_items) {
    if (item.revision > after && key.rfind(prefix, 0) == 0) {
      events.push_back(ItemJson(key));
    }
  }
  for (const auto& [key, revision] : m_removal_revisions) {
    if (revision > after && key.rfind(prefix, 0) == 0) {
      events.push_back({{"key", key}, {"revision", revision}, {"deleted", true}});
    }
  }
  return events;
}

}  // namespace azuregw::fakes
