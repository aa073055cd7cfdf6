// Fake of a plain service: counts how often each order took effect.

#ifndef TESTS_FAKES_FAKE_SERVICE_H_
#define TESTS_FAKES_FAKE_SERVICE_H_

#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include "tests/fakes/http_fake.h"

namespace azuregw::fakes {

class FakeService {
 public:
  FakeService(int capacity, std::chrono::milliseconds work_time, std::string log_path);
  void Handle(const FakeRequest& request, const ReplyFunction& reply);

 private:
  void HandleTest(const FakeRequest& request, const ReplyFunction& reply);
  FakeReply Execute(const FakeRequest& request);

  int m_capacity;
  std::chrono::milliseconds m_work_time;
  std::string m_log_path;  // Empty: no log.
  std::mutex m_mutex;
  std::map<std::string, int> m_effects;  // By idempotency key; calls without a key under "".
  int m_running = 0;
  int m_drop_replies = 0;  // Replies to lose after the effect.
  int m_refuse = 0;        // Calls to refuse as not executed.
  DelayQueue m_delays;
};

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_FAKE_SERVICE_H_
