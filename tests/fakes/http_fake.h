// A small HTTP server for the fakes, over cpprestsdk's listener, and a queue for delayed work.

#ifndef TESTS_FAKES_HTTP_FAKE_H_
#define TESTS_FAKES_HTTP_FAKE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace azuregw::fakes {

struct FakeRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Query(const std::string& name, const std::string& fallback) const;
  int64_t QueryInt(const std::string& name, int64_t fallback) const;
};

struct FakeReply {
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
};

FakeReply JsonReply(int status, const nlohmann::json& body);

// Sends the reply; calling it later, or never, simulates slow and lost replies.
using ReplyFunction = std::function<void(FakeReply)>;
using RequestHandler = std::function<void(const FakeRequest&, ReplyFunction)>;

class HttpFake {
 public:
  virtual ~HttpFake() = default;

  // Listens on "IP:port" with `threads` threads; null, with a message on stderr, when the port
  // can't be bound.
  static std::unique_ptr<HttpFake> Make(const std::string& address, RequestHandler handler);
};

// Runs functions at given times on one thread.
class DelayQueue {
 public:
  DelayQueue();
  ~DelayQueue();
  void RunAfter(std::chrono::microseconds delay, std::function<void()> work);

 private:
  void Loop();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_work;
  bool m_stopped = false;
  std::thread m_thread;
};

// Sends one request and calls `done` with the status (0: no answer) and the body.
void SendHttp(const std::string& method, const std::string& address, const std::string& path,
              const std::string& body, std::function<void(int, std::string)> done);

// The number of threads of the process's HTTP pool; called first in main.
void InitializeHttpThreads(int threads);

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_HTTP_FAKE_H_
