// A small deployment on loopback addresses: the platform's store and operator and the callers in
// this process, engines and instances of azuregw as processes of their own.

#ifndef REVIEW_STAND_IN_SMALL_SYSTEM_H_
#define REVIEW_STAND_IN_SMALL_SYSTEM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "azuregw/base/event_loop.h"
#include "azuregw/net/http_client.h"
#include "tests/fakes/platform_store.h"
#include "tests/fakes/stand_in_server.h"
#include "tests/support/process.h"

namespace azuregw::review {

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// An engine and its entry in the store. The entry follows the engine's own report, as its heartbeat
// would, and is removed after three heartbeats of silence.
struct StandInEngine {
  std::string id;
  std::string service;
  std::string address;
  bool model = false;
  bool draining = false;
  int missed_heartbeats = 0;
  nlohmann::json last_report = nlohmann::json::object();
  std::unique_ptr<testing::Process> process;
};

struct StandInInstance {
  std::string name;
  std::string zone;
  boost::asio::ip::tcp::endpoint callers;
  boost::asio::ip::tcp::endpoint readiness;
  std::string settings_path;
  std::unique_ptr<testing::Process> process;
};

// One request of a caller, and what came back.
struct CallerRequest {
  std::string id;
  std::string body;
  bool stream = false;
  std::string key;
  TimePoint sent;
  int status = 0;
  bool sealed = false;
  bool on_kept_connection = false;
  bool ended = false;     // The answer is complete, or the connection has ended.
  bool complete = false;  // The answer came with its proper end.
  std::string answer;
};

class SmallSystem {
 public:
  // `record_path`: file that gets what was sent, answered and run.
  explicit SmallSystem(const std::string& record_path);
  ~SmallSystem();

  // Starts the store, then returns whether it listens.
  bool StartStore();
  // Starts an engine of `service`; returns null if it does not come up.
  StandInEngine* StartEngine(const std::string& id, const std::string& service, bool model);
  // Starts an instance as in the deploy file.
  StandInInstance* StartInstance(const std::string& name, const std::string& zone);
  // Starts the process of the instance again.
  void Restart(StandInInstance* instance);
  // Runs the event loop until `condition` holds; returns whether it did within `limit`.
  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit);
  void RunFor(Milliseconds time) { m_io.run_for(time); }
  // Waits until the instance reports itself as ready.
  bool WaitReady(const StandInInstance& instance, Milliseconds limit);
  // Sends a request and keeps what comes back. `path` is that of a route.
  std::shared_ptr<CallerRequest> Send(const StandInInstance& instance, const std::string& path,
                                      const std::string& body, const std::string& key);

  // Lets callers send further requests on connections that are open.
  void KeepConnections() { m_max_idle = Milliseconds(5000); }

  // Runs `action` after `delay`, for as long as the system exists.
  void Later(Milliseconds delay, std::function<void()> action);
  // Returns the engine that ran most requests at its last heartbeat.
  StandInEngine* BusiestEngine() const;
  // Writes the entry of the engine again, as one that drains.
  void Drain(StandInEngine* engine);
  // Makes the store unreachable: its connections end, and new ones are refused.
  void StopStore();
  // Makes the store reachable again.
  bool ResumeStore() { return ListenStore(); }

  fakes::PlatformStore* Store() { return &m_store; }
  TimePoint Now() const { return m_loop->Now(); }
  int64_t ElapsedMs() const;
  const std::vector<std::shared_ptr<CallerRequest>>& Requests() const { return m_requests; }
  // Writes a line with the time since the start to the record.
  void Note(const std::string& text);
  // Returns whether an engine has written the whole answer to the request.
  bool AnsweredByEngine(const std::string& id) const;
  // Returns whether an engine has begun to run the request.
  bool BegunByEngine(const std::string& id) const;
  // Kills the process of the instance once its memory exceeds `limit_mb`, as the platform does.
  void EnforceMemoryLimit(StandInInstance* instance, int limit_mb);
  // Adds the journal of the engines to the record.
  void RecordRuns();

 private:
  class Call;

  bool ListenStore();
  void Heartbeat();
  void Register(StandInEngine* engine, const nlohmann::json& report);
  boost::asio::ip::tcp::endpoint FreeEndpoint(int host);

  boost::asio::io_context m_io;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpClient> m_client;
  fakes::PlatformStore m_store;
  std::unique_ptr<fakes::StandInServer> m_store_server;
  boost::asio::ip::tcp::endpoint m_store_address;
  std::string m_net;  // First three numbers of all addresses.
  std::string m_directory;
  std::string m_record_path;
  std::string m_journal_path;
  TimePoint m_started;
  Milliseconds m_max_idle{0};  // Of callers' connections; 0: each request opens a new one.
  int m_next_host = 1;
  int m_next_id = 1;
  std::vector<std::unique_ptr<StandInEngine>> m_engines;
  std::vector<std::unique_ptr<StandInInstance>> m_instances;
  std::vector<std::shared_ptr<CallerRequest>> m_requests;
  std::vector<std::unique_ptr<Call>> m_calls;
  std::vector<std::unique_ptr<Timer>> m_timers;
  std::unique_ptr<Timer> m_heartbeat;
};

// The operator's configuration: resumable streams under /model/, orders under /order/ and look-ups
// under /look/, for callers with one of `keys`.
std::string OperatorConfig(uint64_t version, const std::vector<std::string>& keys);

// The platform's host name of all routes.
constexpr char kHostName[] = "review.example";

}  // namespace azuregw::review

#endif  // REVIEW_STAND_IN_SMALL_SYSTEM_H_
