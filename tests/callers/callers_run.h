// One instance as a process of its own, with stand-ins for the store and a plain service, and
// callers that break the limits of the configuration. All of them use loopback addresses.

#ifndef TESTS_CALLERS_CALLERS_RUN_H_
#define TESTS_CALLERS_CALLERS_RUN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/base/event_loop.h"
#include "azuregw/net/http_client.h"
#include "tests/fakes/platform_store.h"
#include "tests/fakes/platform_upstreams.h"
#include "tests/support/hostile_caller.h"
#include "tests/support/process.h"

namespace azuregw::callers {

// Limits of the instance. Small, so that a small crowd exceeds them.
struct InstanceLimits {
  int memory_mb = 64;
  int max_descriptors = 4100;
  uint64_t max_body_bytes = 1000000;
  uint32_t max_header_bytes = 16384;
};

// Of the descriptors of a machine, the platform keeps these for files.
constexpr int kFileDescriptors = 200;

// Answer to an ordinary request.
struct Answer {
  int status = 0;  // 0: none.
  std::string body;
  bool complete = false;
};

using testing::HostileCaller;
using testing::HostileRequest;

class CallersRun {
 public:
  explicit CallersRun(const InstanceLimits& limits);
  ~CallersRun();

  // Starts the stand-ins and the instance; returns whether an order is answered.
  bool Start();
  // Opens `connections` connections that each send `request`, and waits until all have finished.
  void Attack(int connections, const HostileRequest& request);
  // Sends an order with this body and returns the answer.
  Answer Order(const std::string& body);
  // Lets the plain service take requests without an answer, or answer again.
  void SetMute(bool mute);
  // Runs the stand-ins and callers until the condition holds; returns false after a limit that only
  // bounds the test.
  bool Until(const std::function<bool()>& condition);
  void RunFor(Milliseconds time) { m_io.run_for(time); }

  // Returns whether the process of the instance runs.
  bool Alive();
  // Returns the peak of the instance's resident memory so far, in MB.
  int PeakMemoryMb() const;
  // Returns the number of sockets that the instance has open.
  int OpenSockets() const;
  const std::vector<std::unique_ptr<HostileCaller>>& Callers() const { return m_callers; }
  std::string LogPath() const { return m_directory + "/gw.log"; }

 private:
  const InstanceLimits m_limits;
  boost::asio::io_context m_io{1};
  const std::unique_ptr<EventLoop> m_loop;
  const std::unique_ptr<HttpClient> m_client;
  std::string m_net;  // First three bytes of all addresses, with a dot.
  std::string m_directory;
  fakes::PlatformStore m_store;
  std::unique_ptr<fakes::StandInServer> m_store_server;
  fakes::PlatformUpstream::Peers m_peers;
  fakes::RunJournal m_journal;
  std::vector<std::unique_ptr<fakes::PlatformUpstream>> m_upstreams;
  boost::asio::ip::tcp::endpoint m_callers_address;
  std::unique_ptr<testing::Process> m_process;
  std::vector<std::unique_ptr<HostileCaller>> m_callers;
  int m_next_id = 0;
};

}  // namespace azuregw::callers

#endif  // TESTS_CALLERS_CALLERS_RUN_H_
