// A small deployment on loopback addresses: stand-ins for the store, the engines and the callers in
// this process, and instances of azuregw as processes of their own.

#ifndef REVIEW_STAND_INS_3_DEPLOYMENT_H_
#define REVIEW_STAND_INS_3_DEPLOYMENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fstream>
#include <functional>
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

// Exit codes of the cases.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Figures of the site that the claims name, where machines differ those of its smallest ones.
struct DeploymentOptions {
  int instances = 1;
  int memory_mb = 391;
  int max_descriptors = 10022;
  int drain_ms = 3000;
  int stable_window_ms = 4000;
};

// Answer that a caller got.
struct Answer {
  int status = 0;  // 0: the connection ended without a complete answer.
  std::string reason;
  std::string body;
};

// One request of a caller.
struct CallerRequest {
  std::string path;
  std::string id;
  std::string body;
  int deadline_ms = 2500;
  bool kept = false;  // May use a connection that an earlier request left open.
};

class Deployment {
 public:
  // `record`: path of the record of what was sent, answered and run.
  Deployment(const DeploymentOptions& options, const std::string& record);
  ~Deployment();

  // Starts the store. The configuration and the engines' entries go to Store().
  bool StartStore();
  // Starts the instances; returns whether all report themselves as ready.
  bool StartInstances();
  // Serves `host`:8201 with `handler`; null when the address cannot be bound.
  std::unique_ptr<fakes::StandInServer> Serve(int host, const fakes::StandInHandler& handler);
  // Address of a host of this deployment.
  boost::asio::ip::tcp::endpoint Address(int host, uint16_t port) const;
  boost::asio::ip::tcp::endpoint CallerAddress(int instance) const;

  // Sends a request and calls `done` once. A caller gives up at its deadline.
  void Send(int instance, const CallerRequest& request, std::function<void(const Answer&)> done);
  // Runs the stand-ins until the condition holds or the time has passed.
  bool Until(const std::function<bool()>& condition, Milliseconds limit);
  void RunFor(Milliseconds time);

  // Writes a line to the record, with the time since the start.
  void Record(const std::string& line);
  fakes::PlatformStore* Store() { return m_store.get(); }
  EventLoop* Loop() { return m_loop.get(); }
  boost::asio::io_context* Io() { return &m_io; }
  testing::Process* Instance(int instance) {
    return m_instances[static_cast<size_t>(instance)].get();
  }
  // Returns the instance that holds the leader lease in the store; -1 if none does.
  int Leader();
  // Starts the process of an instance, which may have ended.
  bool StartInstance(int instance);
  Milliseconds SinceStart() const;

 private:
  std::string Settings(int instance) const;
  bool IsReady(int instance);
  void Ask(const boost::asio::ip::tcp::endpoint& endpoint, HttpRequest message,
           Milliseconds deadline, Milliseconds max_idle, std::function<void(const Answer&)> done);

  const DeploymentOptions m_options;
  std::ofstream m_record;
  boost::asio::io_context m_io{1};
  const std::unique_ptr<EventLoop> m_loop;
  const TimePoint m_started;
  const std::unique_ptr<HttpClient> m_client;
  std::string m_net;  // First three bytes of all addresses, with a dot.
  const std::string m_directory;
  std::unique_ptr<fakes::PlatformStore> m_store;
  std::unique_ptr<fakes::StandInServer> m_store_server;
  std::vector<std::unique_ptr<testing::Process>> m_instances;
};

// Host name, key and workspace of the configuration below.
constexpr char kHost[] = "review.example";
constexpr char kKey[] = "n2ctnfzs989anu6wsjnb";

// Configuration with the routes /order/ (never repeated) and /look/ (idempotent) to the service
// "orders", with the limits of our pages' example.
nlohmann::json PlainConfig(uint64_t version);
// Entry of an engine of "orders" in the store.
nlohmann::json PlainEntry(const std::string& address, int64_t born, uint64_t sequence);

// Returns whether the case is to run with its disruption.
bool WithTrouble();

// Returns whether this process, and an instance that it starts, may each open as many descriptors.
bool MayOpen(int descriptors);

}  // namespace azuregw::review

#endif  // REVIEW_STAND_INS_3_DEPLOYMENT_H_
