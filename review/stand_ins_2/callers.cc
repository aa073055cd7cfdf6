// Stand-in of the callers, and of the platform's balancer, for the cases of the second review.
//
//   callers streams RECORD seconds=N count=N key=K to=IP[,IP...]
//       Streams, `count` at a time, each on a new connection. A broken one is not resumed.
//   callers lookups RECORD seconds=N count=N key=K to=IP[,IP...]
//       Idempotent requests, one after the other on each of `count` kept connections.
//   callers orders RECORD seconds=N gap=MS key=K zone=IP,IP,IP
//       Orders, one every `gap` ms, each on a new connection through the balancer of one zone: a
//       machine leaves the rotation after two readiness probes in a row without a 200; while fewer
//       than half of the zone's machines are in rotation, all of them are used.
//   callers trailers RECORD seconds=N key=K bytes=N to=IP[,IP...]
//       A hostile caller: every two seconds a chunked request whose only trailer is `bytes` long,
//       sent in two pieces.
//
// RECORD gets one line for each request: when it was sent and ended, its id, the machine, whether
// the connection had served an earlier request, and how it ended. The process ends by itself.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace azuregw::review {
namespace {

constexpr uint16_t kFrontPort = 8227;
constexpr uint16_t kReadyPort = 8220;
constexpr int kStreamTimeoutMs = 25000;
constexpr int kPlainTimeoutMs = 6000;
constexpr int kProbeTimeoutMs = 800;

int64_t NowMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void Sleep(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  for (size_t begin = 0; begin <= text.size();) {
    const size_t end = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

class Record {
 public:
  explicit Record(const std::string& path) : m_file(path, std::ios::app) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << NowMs() << " " << text << std::endl;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// How a request ended.
struct Outcome {
  int status = 0;         // 0: no status line came.
  bool complete = false;  // The whole answer came.
  bool connected = false;
  bool keep = false;  // The connection may carry another request.
  bool timed_out = false;
  int64_t begun_ms = 0;  // Time at which the request was sent.
  std::string body;
};

// A connection to one machine.
class Connection {
 public:
  ~Connection() { Close(); }

  bool Open(const std::string& ip, uint16_t port, int timeout_ms) {
    Close();
    m_buffer.clear();
    m_socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    timeval limit{};
    limit.tv_sec = timeout_ms / 1000;
    limit.tv_usec = timeout_ms % 1000 * 1000;
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      Close();
    }
    return m_socket >= 0;
  }
  bool IsOpen() const { return m_socket >= 0; }
  void Close() {
    if (m_socket >= 0) {
      ::close(m_socket);
      m_socket = -1;
    }
  }

  bool Send(const std::string& bytes) {
    return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  Outcome Exchange(const std::string& request) {
    Outcome outcome;
    outcome.begun_ms = NowMs();
    outcome.connected = true;
    if (Send(request)) {
      ReadAnswer(&outcome);
    }
    if (!outcome.complete || !outcome.keep) {
      Close();
    }
    return outcome;
  }

 private:
  // Reads more bytes; false at the end of the connection or at the time limit.
  bool More(Outcome* outcome) {
    char bytes[16384];
    const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      outcome->timed_out = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }
  bool Line(Outcome* outcome, std::string* line) {
    size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
      if (!More(outcome)) {
        return false;
      }
    }
    *line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
  }
  bool Take(Outcome* outcome, size_t count) {
    while (m_buffer.size() < count) {
      if (!More(outcome)) {
        return false;
      }
    }
    outcome->body.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
  }

  void ReadAnswer(Outcome* outcome) {
    std::string line;
    if (!Line(outcome, &line)) {
      return;
    }
    outcome->status = line.size() > 12 ? std::stoi(line.substr(9, 3)) : 0;
    outcome->keep = true;
    bool chunked = false;
    size_t length = 0;
    while (true) {
      if (!Line(outcome, &line)) {
        return;
      }
      if (line.empty()) {
        break;
      }
      std::transform(line.begin(), line.end(), line.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      if (line.rfind("content-length:", 0) == 0) {
        length = std::stoull(line.substr(15));
      }
      chunked |= line.rfind("transfer-encoding:", 0) == 0;
      outcome->keep &= line != "connection: close";
    }
    if (!chunked) {
      outcome->complete = Take(outcome, length);
      return;
    }
    while (Line(outcome, &line)) {
      const size_t size = std::stoull(line, nullptr, 16);
      if (!Take(outcome, size) || !Line(outcome, &line)) {
        return;
      }
      if (size == 0) {
        outcome->complete = true;
        return;
      }
    }
  }

  int m_socket = -1;
  std::string m_buffer;
};

struct Run {
  std::string mode;
  Record* record = nullptr;
  int64_t end_ms = 0;
  int count = 1;
  int gap_ms = 50;
  int bytes = 0;
  std::string key;
  std::vector<std::string> machines;
};

std::atomic<int> g_next_id{0};

std::string NextId(const std::string& mode) {
  return mode.substr(0, 1) + std::to_string(getpid()) + "-" + std::to_string(g_next_id++);
}

std::string Request(const std::string& path, const std::string& id, const std::string& key,
                    int deadline_ms) {
  const std::string body = "body of " + id;
  return "POST " + path + " HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nApi-Key: " + key +
         "\r\nX-Token-Usage: 100,50\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Names: answered, refused (a promise that it did not run), failed (502, 504 and others), closed
// (no byte of an answer), cut (an incomplete answer), late (the caller gave up), unreached.
std::string Name(const Outcome& outcome) {
  if (!outcome.connected) {
    return "unreached";
  }
  if (outcome.complete) {
    const int status = outcome.status;
    const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
    return status < 300 ? "answered" : promise ? "refused" : "failed";
  }
  if (outcome.timed_out) {
    return "late";
  }
  return outcome.status == 0 ? "closed" : "cut";
}

std::string Describe(const std::string& id, const std::string& machine, bool kept,
                     const Outcome& outcome) {
  return Name(outcome) + " " + id + " status " + std::to_string(outcome.status) + " by " + machine +
         (kept ? " kept" : " new") + " sent " + std::to_string(outcome.begun_ms);
}

void Streams(const Run& run, int number) {
  for (int i = number; NowMs() < run.end_ms; ++i) {
    const std::string& machine = run.machines[static_cast<size_t>(i) % run.machines.size()];
    const std::string id = NextId(run.mode);
    Connection connection;
    Outcome outcome;
    if (connection.Open(machine, kFrontPort, kStreamTimeoutMs)) {
      outcome = connection.Exchange(Request("/model/x", id, run.key, 20000));
    }
    run.record->Line(Describe(id, machine, false, outcome));
    Sleep(100);
  }
}

void Lookups(const Run& run, int number) {
  const std::string& machine = run.machines[static_cast<size_t>(number) % run.machines.size()];
  Connection connection;
  bool kept = false;
  while (NowMs() < run.end_ms) {
    const std::string id = NextId(run.mode);
    if (!connection.IsOpen()) {
      kept = false;
      if (!connection.Open(machine, kFrontPort, kPlainTimeoutMs)) {
        run.record->Line(Describe(id, machine, false, Outcome()));
        Sleep(200);
        continue;
      }
    }
    const Outcome outcome = connection.Exchange(Request("/look/x", id, run.key, 2500));
    run.record->Line(Describe(id, machine, kept, outcome));
    kept = true;
    if (Name(outcome) != "answered") {
      Sleep(100);
    }
  }
}

// The platform's balancer for one zone.
class Balancer {
 public:
  Balancer(std::vector<std::string> machines, int64_t end_ms)
      : m_machines(std::move(machines)), m_misses(m_machines.size(), 0) {
    for (size_t i = 0; i < m_machines.size(); ++i) {
      m_probes.emplace_back([this, i, end_ms] {
        while (NowMs() < end_ms) {
          const int64_t begun = NowMs();
          Probe(i);
          Sleep(std::max<int64_t>(0, 1000 - (NowMs() - begun)));
        }
      });
    }
  }
  ~Balancer() {
    for (std::thread& probe : m_probes) {
      probe.join();
    }
  }

  // Returns the machine for the client with this number.
  std::string Pick(size_t client) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> in_rotation;
    for (size_t i = 0; i < m_machines.size(); ++i) {
      if (m_misses[i] < 2) {
        in_rotation.push_back(m_machines[i]);
      }
    }
    const bool enough = 2 * in_rotation.size() >= m_machines.size();
    const std::vector<std::string>& used = enough ? in_rotation : m_machines;
    return used[client % used.size()];
  }

 private:
  void Probe(size_t i) {
    Connection connection;
    Outcome outcome;
    if (connection.Open(m_machines[i], kReadyPort, kProbeTimeoutMs)) {
      outcome = connection.Exchange("GET /azuregw/readyz HTTP/1.1\r\nHost: review.example\r\n\r\n");
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_misses[i] = outcome.status == 200 ? 0 : m_misses[i] + 1;
  }

  const std::vector<std::string> m_machines;
  std::mutex m_mutex;
  std::vector<int> m_misses;
  std::vector<std::thread> m_probes;
};

void Orders(const Run& run) {
  Balancer balancer(run.machines, run.end_ms);
  std::vector<std::thread> callers;
  for (size_t client = 0; NowMs() < run.end_ms; ++client) {
    const std::string machine = balancer.Pick(client);
    callers.emplace_back([&run, machine] {
      const std::string id = NextId(run.mode);
      Connection connection;
      Outcome outcome;
      if (connection.Open(machine, kFrontPort, kPlainTimeoutMs)) {
        outcome = connection.Exchange(Request("/order/x", id, run.key, 4000));
      }
      run.record->Line(Describe(id, machine, false, outcome));
    });
    Sleep(run.gap_ms);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

void Trailers(const Run& run) {
  for (size_t i = 0; NowMs() < run.end_ms; ++i) {
    const std::string& machine = run.machines[i % run.machines.size()];
    const std::string id = NextId(run.mode);
    Connection connection;
    Outcome outcome;
    if (connection.Open(machine, kFrontPort, 3000)) {
      const size_t rest = static_cast<size_t>(run.bytes) / 7;
      connection.Send("POST /look/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: 2500\r\nApi-Key: " + run.key +
                      "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Note: " +
                      std::string(static_cast<size_t>(run.bytes) - rest, 'x'));
      Sleep(300);
      outcome = connection.Exchange(std::string(rest, 'x') + "\r\n\r\n");
    }
    run.record->Line(Describe(id, machine, false, outcome));
    Sleep(2000);
  }
}

int Main(int argc, char** argv) {
  std::map<std::string, std::string> values;
  for (int i = 3; i < argc; ++i) {
    const std::string text = argv[i];
    values[text.substr(0, text.find('='))] = text.substr(text.find('=') + 1);
  }
  Record record(argv[2]);
  Run run;
  run.mode = argv[1];
  run.record = &record;
  run.end_ms = NowMs() + 1000 * std::stoll(values["seconds"]);
  run.key = values["key"];
  run.machines = Split(values.count("zone") > 0 ? values["zone"] : values["to"]);
  if (values.count("count") > 0) {
    run.count = std::stoi(values["count"]);
  }
  if (values.count("gap") > 0) {
    run.gap_ms = std::stoi(values["gap"]);
  }
  if (values.count("bytes") > 0) {
    run.bytes = std::stoi(values["bytes"]);
  }
  if (run.mode == "orders") {
    Orders(run);
    return 0;
  }
  if (run.mode == "trailers") {
    Trailers(run);
    return 0;
  }
  std::vector<std::thread> callers;
  for (int i = 0; i < run.count; ++i) {
    callers.emplace_back([&run, i] { run.mode == "streams" ? Streams(run, i) : Lookups(run, i); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return 0;
}

}  // namespace
}  // namespace azuregw::review

int main(int argc, char** argv) {
  if (argc < 4) {
    std::cerr << "usage: callers streams|lookups|orders|trailers RECORD NAME=VALUE ...\n";
    return 2;
  }
  return azuregw::review::Main(argc, argv);
}
