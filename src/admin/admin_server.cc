// Operators' HTTP listener over cpprestsdk.

#include "azuregw/admin/admin_server.h"

#include <cpprest/http_listener.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "admin/admin_router.h"

namespace azuregw {
namespace {

namespace http = web::http;

// Operators send names and numbers; presets go to the key-value service.
constexpr uint64_t kMaxBodyBytes = 65536;

void SendReply(const http::http_request& request, const AdminReply& reply) {
  http::http_response response(static_cast<http::status_code>(reply.status));
  response.set_body(reply.body, reply.content_type);
  // A caller that has gone needs no reply, so errors of sending are dropped.
  request.reply(response).then([](const pplx::task<void>& sent) {
    try {
      sent.get();
    } catch (const std::exception&) {
      return;
    }
  });
}

class CpprestAdminServer final : public AdminServer {
 public:
  CpprestAdminServer(const std::string& address, std::string key)
      : m_address(address), m_router(std::move(key)) {}

  ~CpprestAdminServer() override { Stop(); }

  void Register(const std::string& method, const std::string& path, Handler handler,
                Execution execution) override {
    m_router.Register(method, path, {std::move(handler), execution});
  }

  Result<void> Start() override {
    try {
      m_listener = std::make_unique<http::experimental::listener::http_listener>(
          web::uri("http://" + m_address));
      m_listener->support([this](const http::http_request& request) { Receive(request); });
      m_listener->open().wait();
      m_worker = std::thread([this] { RunWorker(); });
      return boost::outcome_v2::success();
    } catch (const std::exception& error) {
      m_listener.reset();
      return NotRun(ResultCode::kPortInUse,
                    "cannot listen on " + m_address + " (admin): " + error.what());
    }
  }

  void Stop() override {
    if (!m_listener) {
      return;
    }
    try {
      m_listener->close().wait();
    } catch (const std::exception&) {
      // The listener is given up in any case.
    }
    m_listener.reset();
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopped = true;
    }
    m_changed.notify_all();
    m_worker.join();
  }

 private:
  void Receive(const http::http_request& request) {
    if (request.headers().content_length() > kMaxBodyBytes) {
      SendReply(request, MakeErrorReply(NotRun(ResultCode::kBodyTooLarge, "body too large")));
      return;
    }
    http::http_request copy = request;
    copy.extract_utf8string(/*ignore_content_type=*/true)
        .then([this, copy](const pplx::task<std::string>& body) {
          try {
            Dispatch(copy, body.get());
          } catch (const std::exception& error) {
            SendReply(copy, MakeErrorReply(Unknown(ResultCode::kInternal, error.what())));
          }
        });
  }

  void Dispatch(const http::http_request& request, std::string body) {
    AdminRequest admin;
    admin.method = request.method();
    const web::uri& uri = request.request_uri();
    admin.path = web::uri::decode(uri.path());
    for (const auto& [name, value] : web::uri::split_query(uri.query())) {
      admin.query[web::uri::decode(name)] = web::uri::decode(value);
    }
    admin.body = std::move(body);
    std::string authorization;
    const auto header = request.headers().find("Authorization");
    if (header != request.headers().end()) {
      authorization = header->second;
    }
    Result<AdminRouter::Route> route = m_router.Find(admin.method, admin.path, authorization);
    if (!route) {
      SendReply(request, MakeErrorReply(route.error()));
      return;
    }
    Handler handler = std::move(route.value().handler);
    if (route.value().execution == Execution::kInline) {
      SendReply(request, handler(admin));
      return;
    }
    QueueWork([request, admin = std::move(admin), handler = std::move(handler)] {
      SendReply(request, handler(admin));
    });
  }

  void QueueWork(std::function<void()> work) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_work.push_back(std::move(work));
    }
    m_changed.notify_one();
  }

  // Requests that are still queued at the stop get no reply, because their connections are closed.
  void RunWorker() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
      m_changed.wait(lock, [this] { return m_stopped || !m_work.empty(); });
      if (m_stopped) {
        return;
      }
      const std::function<void()> work = std::move(m_work.front());
      m_work.pop_front();
      lock.unlock();
      work();
      lock.lock();
    }
  }

  const std::string m_address;
  AdminRouter m_router;
  std::unique_ptr<http::experimental::listener::http_listener> m_listener;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::function<void()>> m_work;
  bool m_stopped = false;
  std::thread m_worker;
};

}  // namespace

std::unique_ptr<AdminServer> MakeAdminServer(const std::string& address, std::string key) {
  return std::make_unique<CpprestAdminServer>(address, std::move(key));
}

}  // namespace azuregw
