// Fake of the platform's list of instances; what it shows lags by a set time.

#ifndef TESTS_FAKES_FAKE_LIST_H_
#define TESTS_FAKES_FAKE_LIST_H_

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "tests/fakes/http_fake.h"

namespace azuregw::fakes {

class FakeList {
 public:
  explicit FakeList(std::chrono::milliseconds lag);
  void Handle(const FakeRequest& request, const ReplyFunction& reply);

 private:
  using Time = std::chrono::steady_clock::time_point;

  std::chrono::milliseconds m_lag;
  std::mutex m_mutex;
  nlohmann::json m_current = nlohmann::json::object();    // Entries by name.
  std::deque<std::pair<Time, nlohmann::json>> m_history;  // Oldest first.
  Time m_outage_until{};
};

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_FAKE_LIST_H_
