// HTTP server and client of the fakes.

#include "tests/fakes/http_fake.h"

#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <iostream>
#include <utility>

namespace azuregw::fakes {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

FakeRequest Convert(const http_request& message, std::string body) {
  FakeRequest request;
  request.method = message.method();
  request.path = web::uri::decode(message.relative_uri().path());
  for (const auto& [name, value] : web::uri::split_query(message.relative_uri().query())) {
    request.query[name] = web::uri::decode(value);
  }
  for (const auto& [name, value] : message.headers()) {
    request.headers[LowerCase(name)] = value;
  }
  request.body = std::move(body);
  return request;
}

void Send(const http_request& message, const FakeReply& reply) {
  http_response response(static_cast<web::http::status_code>(reply.status));
  const auto type = reply.headers.find("content-type");
  response.set_body(reply.body, type == reply.headers.end() ? "application/json" : type->second);
  for (const auto& [name, value] : reply.headers) {
    if (name != "content-type") {
      response.headers().add(name, value);
    }
  }
  message.reply(response).then([](pplx::task<void> task) {
    try {
      task.get();
    } catch (const std::exception&) {
      // The caller is gone; the fake has nothing to clean up.
    }
  });
}

class ListenerFake final : public HttpFake {
 public:
  ListenerFake(const std::string& address, RequestHandler handler)
      : m_handler(std::move(handler)), m_listener(web::uri("http://" + address), Config()) {
    m_listener.support([this](const http_request& message) { Handle(message); });
    m_listener.open().get();
  }
  ~ListenerFake() override {
    try {
      m_listener.close().get();
    } catch (const std::exception&) {
      // Closing an already broken listener.
    }
  }

 private:
  static http_listener_config Config() {
    http_listener_config config;
    config.set_timeout(std::chrono::seconds(120));
    return config;
  }

  void Handle(http_request message) {
    message.extract_string(true).then([this, message](const pplx::task<std::string>& task) {
      try {
        m_handler(Convert(message, task.get()),
                  [message](FakeReply reply) { Send(message, reply); });
      } catch (const std::exception& error) {
        Send(message, JsonReply(400, {{"error", error.what()}}));
      }
    });
  }

  RequestHandler m_handler;
  http_listener m_listener;
};

}  // namespace

std::string FakeRequest::Query(const std::string& name, const std::string& fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? fallback : found->second;
}

int64_t FakeRequest::QueryInt(const std::string& name, int64_t fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? fallback : std::stoll(found->second);
}

FakeReply JsonReply(int status, const nlohmann::json& body) {
  FakeReply reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

std::unique_ptr<HttpFake> HttpFake::Make(const std::string& address, RequestHandler handler) {
  try {
    return std::make_unique<ListenerFake>(address, std::move(handler));
  } catch (const std::exception& error) {
    std::cerr << "cannot listen on " << address << ": " << error.what() << "\n";
    return nullptr;
  }
}

DelayQueue::DelayQueue() : m_thread([this] { Loop(); }) {}

DelayQueue::~DelayQueue() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  m_thread.join();
}

void DelayQueue::RunAfter(std::chrono::microseconds delay, std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_work.emplace(std::chrono::steady_clock::now() + delay, std::move(work));
  }
  m_changed.notify_all();
}

void DelayQueue::Loop() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopped) {
    if (m_work.empty()) {
      m_changed.wait(lock);
      continue;
    }
    const auto due = m_work.begin()->first;
    if (std::chrono::steady_clock::now() < due) {
      m_changed.wait_until(lock, due);
      continue;
    }
    const std::function<void()> work = std::move(m_work.begin()->second);
    m_work.erase(m_work.begin());
    lock.unlock();
    work();
    lock.lock();
  }
}

void SendHttp(const std::string& method, const std::string& address, const std::string& path,
              const std::string& body, std::function<void(int, std::string)> done) {
  static std::mutex mutex;
  static std::map<std::string, std::shared_ptr<web::http::client::http_client>> clients;
  std::shared_ptr<web::http::client::http_client> client;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    auto& slot = clients[address];
    if (!slot) {
      web::http::client::http_client_config config;
      config.set_timeout(std::chrono::seconds(2));
      slot =
          std::make_shared<web::http::client::http_client>(web::uri("http://" + address), config);
    }
    client = slot;
  }
  http_request request(method);
  request.set_request_uri(path);
  if (!body.empty()) {
    request.set_body(body, "application/json");
  }
  client->request(request)
      .then([](const http_response& response) {
        return response.extract_string(true).then(
            [status = response.status_code()](const std::string& text) {
              return std::make_pair(static_cast<int>(status), text);
            });
      })
      .then([done = std::move(done), client](const pplx::task<std::pair<int, std::string>>& task) {
        try {
          const auto [status, text] = task.get();
          done(status, text);
        } catch (const std::exception&) {
          done(0, "");
        }
      });
}

void InitializeHttpThreads(int threads) {
  crossplat::threadpool::initialize_with_threads(static_cast<size_t>(threads));
}

}  // namespace azuregw::fakes
