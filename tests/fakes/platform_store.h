// A stand-in for the platform's store: items, watches, transactions and leases in memory, with the
// troubles that a test asks for.

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

class PlatformStore {
 public:
  enum class Fault { kNone, kUnavailable, kUnresponsive, kDropsReplies, kSlow, kHistoryLost };

  explicit PlatformStore(EventLoop* loop) : m_loop(loop) {}

  void Handle(const StandInRequest& request, std::shared_ptr<StandInReply> reply);
  void InjectFault(Fault fault) { m_fault = fault; }
  // Writes of the operator and of upstreams, which no trouble of the callers concerns.
  void Put(const std::string& key, const std::string& value, uint64_t lease = 0);
  void Remove(const std::string& key);

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

  void Answer(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void Watch(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void Transact(const nlohmann::json& body, const std::shared_ptr<StandInReply>& reply);
  void ExpireLeases();
  void NotifyWatchers();
  nlohmann::json ItemJson(const std::string& key) const;
  // Changes after a revision, under a prefix.
  nlohmann::json EventsAfter(const std::string& prefix, uint64_t after) const;

  EventLoop* const m_loop;
  Fault m_fault = Fault::kNone;
  uint64_t m_revision = 1;
  uint64_t m_next_lease = 1;
  std::map<std::string, Item> m_items;
  std::map<std::string, uint64_t> m_removed;  // Revisions of removals.
  std::map<uint64_t, std::pair<TimePoint, Milliseconds>> m_leases;
  std::vector<std::shared_ptr<Watcher>> m_watchers;
  std::vector<std::unique_ptr<Timer>> m_delayed;
};

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_PLATFORM_STORE_H_
