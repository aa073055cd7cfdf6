// An HTTP server that answers requests as a test says, down to closing connections at a chosen
// point. It speaks as little HTTP as needed: requests with Content-Length, one at a time.

#ifndef TESTS_FAKES_SCRIPTED_SERVER_H_
#define TESTS_FAKES_SCRIPTED_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace azuregw {

class ScriptedServer {
 public:
  enum class Act { kReply, kReplyAndClose, kClose, kHang };
  struct Step {
    Act act = Act::kReply;
    int status = 200;
    std::string body;
    std::string raw;      // Not empty: sent as it is, in place of an answer made from the above.
    std::string endless;  // Not empty: sent after `raw` again and again until the client closes.
  };
  // `index` counts requests from 0; `request` is the head and the body.
  using Script = std::function<Step(size_t index, const std::string& request)>;

  explicit ScriptedServer(Script script) : m_script(std::move(script)) {
    m_listen = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(m_listen, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(m_listen, 16) != 0) {
      std::abort();
    }
    socklen_t length = sizeof(address);
    getsockname(m_listen, reinterpret_cast<sockaddr*>(&address), &length);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_accept = std::thread([this] { Accept(); });
  }

  ~ScriptedServer() {
    shutdown(m_listen, SHUT_RDWR);
    m_accept.join();
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const int fd : m_open) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    close(m_listen);
  }

  const std::string& Address() const { return m_address; }

  std::vector<std::string> Requests() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(m_listen, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_open.insert(fd);
      m_threads.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    std::string request;
    while (ReadRequest(fd, &request)) {
      size_t index = 0;
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        index = m_requests.size();
        m_requests.push_back(request);
      }
      const Step step = m_script(index, request);
      if (step.act == Act::kClose) {
        break;
      }
      if (step.act == Act::kHang) {
        char ignored = 0;
        while (recv(fd, &ignored, 1, 0) > 0) {
        }
        break;
      }
      const std::string reply =
          !step.raw.empty() ? step.raw
                            : "HTTP/1.1 " + std::to_string(step.status) +
                                  " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                  std::to_string(step.body.size()) + "\r\n\r\n" + step.body;
      const bool sent = send(fd, reply.data(), reply.size(), MSG_NOSIGNAL) >= 0;
      if (sent && !step.endless.empty()) {
        while (send(fd, step.endless.data(), step.endless.size(), MSG_NOSIGNAL) >= 0) {
        }
        break;
      }
      if (!sent || step.act == Act::kReplyAndClose) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open.erase(fd);
    close(fd);
  }

  static bool ReadRequest(int fd, std::string* request) {
    request->clear();
    char buffer[4096];
    while (true) {
      const size_t head = request->find("\r\n\r\n");
      if (head != std::string::npos && request->size() >= head + 4 + BodyLength(*request)) {
        return true;
      }
      const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        return false;
      }
      request->append(buffer, static_cast<size_t>(count));
    }
  }

  static size_t BodyLength(const std::string& request) {
    const size_t at = request.find("Content-Length:");
    return at == std::string::npos ? 0 : std::strtoul(request.c_str() + at + 15, nullptr, 10);
  }

  const Script m_script;
  int m_listen = -1;
  std::string m_address;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::set<int> m_open;
  std::vector<std::thread> m_threads;
  std::thread m_accept;
};

}  // namespace azuregw

#endif  // TESTS_FAKES_SCRIPTED_SERVER_H_
