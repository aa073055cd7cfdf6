// In-memory fake of the platform's store with items, watches, transactions, leases and injected
// faults.

#ifndef TESTS_FAKES_PLATFORM_STORE_H_
#define TESTS_FAKES_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/event_loop.h"
#include "tests/fakes/stand_in_server.h"

namespace azuregw::fakes {

// Serves the store's HTTP interface from memory. Runs on the event loop's thread.
class PlatformStore {
 public:
  enum class Fault {
    kNone,
    kUnavailable,   // Replies 503 to every request.
    kUnresponsive,  // Never replies.
    kDropsReplies,  // Closes the connection without a reply, but applies writes.
    kSlow,          // Delays every reply.
    kHistoryLost    // Replies 410 to every watch.
  };

  explicit PlatformStore(EventLoop* loop) : m_loop(loop) {}

  // Serves a request according to the injected fault.
  void Handle(const StandInRequest& request, std::shared_ptr<StandInReply> reply);
  void InjectFault(Fault fault) { m_fault = fault; }
  // Put and Remove act as the operator or an upstream; injected faults do not affect them.
  void Put(const std::string& key, const std::string& value, uint64_t lease = 0);
  void Remove(const std::string& key);
  // Keeps a copy of all items and leases.
  void BackUp();
  // Returns to the copy in a new era: revisions and lease IDs are given out again, and watches end
  // without a reply. The leases of the copy run on from now.
  void Restore();

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Watcher {
    std::string prefix;
    uint64_t after;
    std::shared_ptr<StandInReply> reply;
    std::unique_ptr<Timer> timer;
  };

  struct Backup {
    uint64_t revision = 1;
    uint64_t next_lease = 1;
    std::map<std::string, Item> items;
    std::map<uint64_t, std::pair<TimePoint, Milliseconds>> leases;
  };

  void ReplyJson(const std::shared_ptr<StandInReply>& reply, int status,
                 const nlohmann::json& body) const;
  void Serve(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void Watch(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void Transact(const nlohmann::json& body, const std::shared_ptr<StandInReply>& reply);
  void ExpireLeases();
  void NotifyWatchers();
  nlohmann::json ItemJson(const std::string& key) const;
  // Returns the changes after revision `after` of keys with the prefix.
  nlohmann::json EventsAfter(const std::string& prefix, uint64_t after) const;

  EventLoop* const m_loop;
  Fault m_fault = Fault::kNone;
  uint64_t m_revision = 1;
  uint64_t m_next_lease = 1;
  std::map<std::string, Item> m_items;
  std::map<std::string, uint64_t> m_removal_revisions;              // Removal revision by key.
  std::map<uint64_t, std::pair<TimePoint, Milliseconds>> m_leases;  // Expiry time and TTL by ID.
  uint64_t m_era = 1;
  Backup m_backup;
  std::vector<std::shared_ptr<Watcher>> m_watchers;
  std::vector<std::unique_ptr<Timer>> m_delayed_replies;
};

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_PLATFORM_STORE_H_
