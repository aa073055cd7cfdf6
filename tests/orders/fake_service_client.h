// In-memory service client that counts the executions of calls.

#ifndef TESTS_ORDERS_FAKE_SERVICE_CLIENT_H_
#define TESTS_ORDERS_FAKE_SERVICE_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/service/service_client.h"

namespace azuregw {

// Executes calls with scripted behaviours and counts the executions (effects) by idempotency key
// and by request ID. Answers on the calling thread, except for held calls. Thread-safe.
class FakeServiceClient final : public ServiceClient {
 public:
  enum class Behaviour {
    kAnswer,       // Executes and answers "done <n>", or the body that was set.
    kRefuse,       // Does not execute; the error proves it.
    kUnreachable,  // Does not execute; nothing was sent.
    kLoseReply,    // Executes; the reply is lost.
    kHold,         // Executes; answers when Release is called.
  };

  // Appends the behaviour of a later call; calls without one use kAnswer.
  void Next(Behaviour behaviour) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_behaviours.push_back(behaviour);
  }

  // Sets the body of later answers.
  void SetBody(std::string body) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_body = std::move(body);
  }

  void Call(ServiceRequest request, std::function<void(Result<ServiceReply>)> done) override {
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_calls;
    m_addresses.push_back(request.address);
    Behaviour behaviour = Behaviour::kAnswer;
    if (!m_behaviours.empty()) {
      behaviour = m_behaviours.front();
      m_behaviours.pop_front();
    }
    if (behaviour == Behaviour::kRefuse || behaviour == Behaviour::kUnreachable) {
      lock.unlock();
      done(NotRun(behaviour == Behaviour::kRefuse ? ResultCode::kUpstreamRefused
                                                  : ResultCode::kUpstreamUnreachable,
                  "not executed"));
      return;
    }
    const int effect = ++m_effects[request.idempotency_key];
    ++m_effects_by_request[request.request_id];
    const ServiceReply reply{201, "text/plain",
                             m_body.empty() ? "done " + std::to_string(effect) : m_body};
    if (behaviour == Behaviour::kHold) {
      m_held.push_back([done = std::move(done), reply] { done(reply); });
      return;
    }
    lock.unlock();
    if (behaviour == Behaviour::kLoseReply) {
      done(Unknown(ResultCode::kUpstreamTimeout, "no reply"));
      return;
    }
    done(reply);
  }

  void FetchLoad(const std::string& /*address*/,
                 std::function<void(Result<ServiceLoad>)> done) override {
    done(ServiceLoad{});
  }

  // Answers all held calls.
  void Release() {
    std::vector<std::function<void()>> held;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      held.swap(m_held);
    }
    for (const auto& answer : held) {
      answer();
    }
  }

  int Effects(const std::string& key) const { return Get(m_effects, key); }
  int EffectsOfRequest(const std::string& id) const { return Get(m_effects_by_request, id); }
  int Calls() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_calls;
  }
  std::vector<std::string> Addresses() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_addresses;
  }

 private:
  int Get(const std::map<std::string, int>& counts, const std::string& key) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = counts.find(key);
    return it == counts.end() ? 0 : it->second;
  }

  mutable std::mutex m_mutex;  // Guards all members.
  std::deque<Behaviour> m_behaviours;
  std::map<std::string, int> m_effects;
  std::map<std::string, int> m_effects_by_request;
  std::vector<std::function<void()>> m_held;
  std::vector<std::string> m_addresses;
  std::string m_body;
  int m_calls = 0;
};

}  // namespace azuregw

#endif  // TESTS_ORDERS_FAKE_SERVICE_CLIENT_H_
