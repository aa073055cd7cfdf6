// Fake of the platform's key-value service (docs/assumptions.md): compare-and-swap, leases,
// watches, with a call counter, outages, lost replies, delays and stale reads under /test/.

#ifndef TESTS_FAKES_FAKE_KV_H_
#define TESTS_FAKES_FAKE_KV_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "tests/fakes/http_fake.h"

namespace azuregw::fakes {

class FakeKv {
 public:
  void Handle(const FakeRequest& request, const ReplyFunction& reply);

 private:
  using Time = std::chrono::steady_clock::time_point;

  struct Version {
    std::string value;
    uint64_t revision = 0;
    bool present = false;
    Time written;
  };
  struct Watcher {
    std::string prefix;
    uint64_t after = 0;
    uint64_t id = 0;
    ReplyFunction reply;
  };
  struct Lease {
    std::chrono::milliseconds ttl{0};
    Time expires;
  };

  void HandleTest(const FakeRequest& request, const ReplyFunction& reply);
  void Dispatch(const FakeRequest& request, const ReplyFunction& reply);
  FakeReply Read(const FakeRequest& request);
  FakeReply Write(const FakeRequest& request);
  FakeReply LeaseCall(const FakeRequest& request);
  void Watch(const FakeRequest& request, const ReplyFunction& reply);
  void ExpireLeases();
  void Change(const std::string& key, const std::string& value, bool present);
  void NotifyWatchers();
  nlohmann::json EntriesAfter(const std::string& prefix, uint64_t after, bool stale);
  const Version* Visible(const std::deque<Version>& versions, bool stale) const;

  std::mutex m_mutex;
  std::map<std::string, std::deque<Version>> m_entries;  // Newest version last.
  std::map<std::string, std::string> m_key_leases;
  std::map<std::string, Lease> m_leases;
  std::list<Watcher> m_watchers;
  uint64_t m_revision = 0;
  uint64_t m_next_id = 1;
  std::map<std::string, uint64_t> m_calls;
  Time m_outage_until{};
  bool m_outage_hangs = false;
  int m_drop_replies = 0;  // Replies of writes to lose after the change took effect.
  std::chrono::milliseconds m_delay{0};
  std::chrono::milliseconds m_stale{0};
  // Writes are spaced so that at most this many take effect a second; 0 means no limit.
  int m_writes_per_second = 0;
  Time m_next_write{};
  DelayQueue m_delays;
};

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_FAKE_KV_H_
