// Stand-ins for the platform's upstreams: model engines that hold layers and pass streams on to
// each other, and plain services. They register in the store and note what ran.

#ifndef TESTS_FAKES_PLATFORM_UPSTREAMS_H_
#define TESTS_FAKES_PLATFORM_UPSTREAMS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/base/event_loop.h"
#include "tests/fakes/platform_store.h"
#include "tests/fakes/stand_in_server.h"

namespace azuregw::fakes {

// Layers of the model, and events of each stream.
constexpr int kModelLayers = 16;
constexpr int kStreamEvents = 25;
// The data of one event of the answer to a request with this body.
std::string EventData(const std::string& body, int event);

enum class UpstreamTrouble {
  kNone,
  kMute,     // Takes requests and answers nothing.
  kRefuses,  // Says that it has not run the request.
  kCuts,     // Runs the request and closes the connection.
  kGarbles,  // Answers with bytes that are no answer.
  kDead,     // No process.
};

struct UpstreamSpec {
  std::string id;
  std::string service;
  std::string failure_domain;
  boost::asio::ip::tcp::endpoint address;
  std::string accelerator;  // Empty: a plain service.
  int slots = 32;
  bool framed = true;  // Its answers state where they end; otherwise they end with the connection.
};

// Prompt part that crashes each engine that begins an answer to it. The engine is back after
// kCrashDowntime.
constexpr char kBadPart[] = "bad0";
constexpr Milliseconds kCrashDowntime{1500};

// Body of a look-up that crashes each plain upstream that runs it, likewise.
constexpr char kBadBody[] = "bad request";

// Requests to plain services whose body begins so get an answer of kLongAnswerBytes and more.
constexpr char kLongBody[] = "long ";
constexpr size_t kLongAnswerBytes = size_t{5} << 20;
// Returns the answer of a plain service to a request with this body.
std::string PlainAnswer(const std::string& body);

// What an upstream asks of the instance that sent it a request: at most `requests` further ones
// between `from` and `until` after its answer.
struct Quota {
  Milliseconds from{0};
  Milliseconds until{0};
  int requests = 0;
};

// What ran, by request id, at all upstreams.
struct RunJournal {
  std::map<std::string, int> runs;
  int bad_part_crashes = 0;
  // Called for each request that reaches a process of an upstream, and for each quota that it
  // states in the answer to one.
  std::function<void(const std::string& process, const std::string& id)> on_arrival =
      [](const std::string&, const std::string&) {};
  std::function<void(const std::string& process, const std::string& id, const Quota&)> on_quota =
      [](const std::string&, const std::string&, const Quota&) {};
  // Called for each request with kBadPart or kBadBody that reaches an upstream, and for each crash
  // by one.
  std::function<void(const std::string& id)> on_bad_part = [](const std::string&) {};
  std::function<void()> on_bad_part_crash = [] {};
};

class PlatformUpstream {
 public:
  // Upstreams know each other through `peers`, by address.
  using Peers = std::map<std::string, PlatformUpstream*>;

  // Pointers must outlive the upstream.
  PlatformUpstream(boost::asio::io_context* io, EventLoop* loop, PlatformStore* store,
                   const Peers* peers, RunJournal* journal, UpstreamSpec spec);
  ~PlatformUpstream();

  // Registers and serves. False when its address cannot be bound.
  bool Start();
  // Ends without a word; its layers are lost.
  void Crash();
  // States in its answers that it leaves, and is gone after `after`. `listed`: its entry says so,
  // too.
  void Leave(Milliseconds after, bool listed);
  void SetTrouble(UpstreamTrouble trouble) { m_trouble = trouble; }

  const UpstreamSpec& Spec() const { return m_spec; }
  std::string Address() const;
  bool Alive() const { return m_server != nullptr && m_trouble != UpstreamTrouble::kDead; }
  bool Holds(int first, int last) const {
    return m_last > m_first && m_first <= first && last <= m_last;
  }
  // Work that reached it after it had said, long enough ago, that it leaves.
  int LateWork() const { return m_late_work; }

 private:
  struct Hop {
    std::string address;
    int first = 0;
    int last = 0;
  };
  struct Stream {
    std::string id;
    std::string body;
    std::vector<Hop> path;
    int next_event = 1;
    std::shared_ptr<StandInReply> reply;
    bool begun = false;
    bool bad_part = false;
    TimePoint stalled_since;  // Zero while it goes on.
    std::unique_ptr<Timer> timer;
  };

  void Handle(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void Serve(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void BeginStream(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void Step(const std::shared_ptr<Stream>& stream);
  void Order(const StandInRequest& request, const std::shared_ptr<StandInReply>& reply);
  void Report(const std::shared_ptr<StandInReply>& reply);
  void Register();
  // The hop that is not there or does not hold its layers; null when all are.
  const Hop* Missing(const std::vector<Hop>& path) const;
  // Returns the fields of an answer to the request, with what the upstream states.
  StandInFields Sealed(const std::string& id) const;
  std::string Process() const { return m_spec.id + "@" + std::to_string(m_started_ms); }
  // Crashes after the present event, and is back after kCrashDowntime.
  void CrashUnder();
  static std::vector<Hop> ParsePath(const std::string& text);

  boost::asio::io_context* const m_io;
  EventLoop* const m_loop;
  PlatformStore* const m_store;
  const Peers* const m_peers;
  RunJournal* const m_journal;
  const UpstreamSpec m_spec;
  UpstreamTrouble m_trouble = UpstreamTrouble::kNone;
  std::unique_ptr<StandInServer> m_server;
  int64_t m_started_ms = 0;
  uint64_t m_sequence = 0;
  uint64_t m_highest_token = 0;
  int m_first = 0;
  int m_last = 0;  // Not above m_first: it holds nothing.
  bool m_leaving = false;
  bool m_leaving_listed = false;
  TimePoint m_leaving_since;
  int m_late_work = 0;
  std::vector<std::shared_ptr<Stream>> m_streams;
  std::vector<std::unique_ptr<Timer>> m_timers;
  std::unique_ptr<Timer> m_heartbeat;
};

// The operator's configuration for these upstreams: streams under /model/, which may be resumed,
// orders under /order/ and look-ups under /look/, for callers with one of `keys`.
std::string PlatformConfig(uint64_t version, const std::vector<std::string>& keys);

// Settings of an instance in the platform's form; it listens on fixed ports of `ip`.
std::string PlatformSettings(const std::string& name, const std::string& failure_domain,
                             const std::string& ip, const std::string& store_address);
constexpr uint16_t kStandInCallerPort = 8227;
constexpr uint16_t kStandInReadyPort = 8220;

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_PLATFORM_UPSTREAMS_H_
