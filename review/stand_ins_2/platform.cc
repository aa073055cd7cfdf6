// Stand-in of the users' platform for the cases of the second review: the store, model engines that
// hold all layers, and plain engines, on addresses NET.1 (store), NET.11 to NET.13 (model engines)
// and NET.21 to NET.22 (plain engines).
//
//   platform NET RECORD [NAME=VALUE ...]
//
// RECORD gets one line for each request that an engine runs. Options, times in ms:
//   work=N        time that a plain engine works on a request
//   timeout=N     timeout of the plain routes
//   events=N      events of a stream
//   junk=N        the first model engine spoils its answers: after three events it sends an event
//                 whose ID is N bytes long, and closes the connection
//   report=N      the first model engine is faulty: its streams fall silent after three events, and
//                 its report is a whole answer of N times the byte '['
//   foreign=N     after the time foreign_at, another writer adds N entries to the list of engines
//   that
//                 have no `slots`, `version`, `sequence` and `born`, each with a kind of its own
//   keys=A,B      API keys of the only tenant
//   remove_at=N   the operator takes the last key away (version 8) after the time N
//   drill=N       the store keeps a copy just before that, is away from 100 ms after that on for N,
//                 and comes back from the copy
//   rewrite=N     the operator writes version 8 again N after the return
//   head=N        maxHeaderBytes of the configuration
// The process ends with SIGTERM, or by itself after two minutes.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/event_loop.h"
#include "tests/fakes/platform_store.h"
#include "tests/fakes/stand_in_server.h"

namespace azuregw::review {
namespace {

using fakes::StandInFields;
using fakes::StandInReply;
using fakes::StandInRequest;
using nlohmann::json;
using Reply = std::shared_ptr<StandInReply>;

constexpr uint16_t kStorePort = 8223;
constexpr uint16_t kEnginePort = 8201;
constexpr int kLayers = 16;
constexpr int kFirstVersion = 7;
constexpr Milliseconds kStoreLostDelay{100};
constexpr Milliseconds kHeartbeat{1200};
constexpr Milliseconds kEventGap{40};
constexpr Milliseconds kLongestRun{120000};

std::string Field(const StandInRequest& request, const char* name) {
  const auto found = request.find(name);
  return found == request.end() ? "" : std::string(found->value().data(), found->value().size());
}

// Settings of this run, from the command line.
class Options {
 public:
  Options(int argc, char** argv) {
    for (int i = 3; i < argc; ++i) {
      const std::string text = argv[i];
      const size_t equals = text.find('=');
      if (equals != std::string::npos) {
        m_values[text.substr(0, equals)] = text.substr(equals + 1);
      }
    }
  }
  std::string Text(const std::string& name, const std::string& fallback) const {
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
  }
  int Number(const std::string& name, int fallback) const {
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : std::stoi(found->second);
  }

 private:
  std::map<std::string, std::string> m_values;
};

// Lines with the time in ms, flushed one by one.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path, std::ios::app) {}
  void Line(const std::string& text) {
    m_file << SystemClock().WallMs() << " " << text << std::endl;
  }

 private:
  std::ofstream m_file;
};

// One engine. A model engine holds all layers from the start and makes streams alone.
class Engine {
 public:
  struct Spec {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    bool model = false;
    int work_ms = 20;
    int events = 50;
    int junk_bytes = 0;    // 0: its events are sound.
    int report_bytes = 0;  // 0: its reports are sound.
  };

  Engine(EventLoop* loop, fakes::PlatformStore* store, Record* record, Spec spec)
      : m_loop(loop), m_store(store), m_record(record), m_spec(std::move(spec)) {}

  bool Start(boost::asio::io_context* io) {
    m_born = SystemClock().WallMs();
    m_server = fakes::MakeStandInServer(
        io, {boost::asio::ip::make_address(m_spec.ip), kEnginePort},
        [this](const StandInRequest& request, const Reply& reply) { Handle(request, reply); });
    if (m_server != nullptr) {
      Register();
    }
    return m_server != nullptr;
  }

 private:
  std::string Address() const { return m_spec.ip + ":" + std::to_string(kEnginePort); }

  void Register() {
    json entry = {{"service", m_spec.service},
                  {"address", Address()},
                  {"zone", m_spec.zone},
                  {"version", 1},
                  {"slots", 32},
                  {"state", "ready"},
                  {"warmupLeftMs", 0},
                  {"sequence", m_sequence},
                  {"born", m_born}};
    if (m_spec.model) {
      entry["kind"] = "fast";
      entry["layers"] = {{"from", 0}, {"to", kLayers}, {"version", 1}};
    }
    m_store->Put("servers/" + m_spec.id, entry.dump());
    m_heartbeat = m_loop->After(kHeartbeat, [this] { Register(); });
  }

  void Handle(const StandInRequest& request, const Reply& reply) {
    const std::string path = fakes::PathOf(request);
    if (path == "/azuregw/report" && m_spec.report_bytes > 0) {
      m_record->Line("long report of " + m_spec.id);
      reply->Whole(200, {{"Content-Type", "application/json"}},
                   std::string(static_cast<size_t>(m_spec.report_bytes), '['));
      return;
    }
    if (path == "/azuregw/report") {
      json report = {{"busy", false}, {"sequence", m_sequence},   {"born", m_born},
                     {"pace", 1.0},   {"stalled", json::array()}, {"waiting", 0},
                     {"running", 0},  {"stage", "colocated"}};
      if (m_spec.model) {
        report["layers"] = {{"from", 0}, {"to", kLayers}, {"version", 1}};
      }
      reply->Whole(200, {{"Content-Type", "application/json"}}, report.dump());
      return;
    }
    if (path == "/azuregw/order") {
      const json order = json::parse(request.body(), nullptr, false);
      const bool holds = order.is_object() && order.value("operation", "") == "place" &&
                         order.value("from", -1) == 0 && order.value("to", -1) == kLayers;
      reply->Whole(holds ? 200 : 409, {{"Content-Type", "application/json"}}, "{}");
      return;
    }
    const std::string id = Field(request, "X-Request-Id");
    if (Field(request, "X-Target-Instance") != m_spec.id) {
      reply->Whole(421, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}, {"At-Server", Address()}},
                   "");
      return;
    }
    m_record->Line("run " + id + " at " + m_spec.id + " tenant " + Field(request, "X-Tenant") +
                   " after " + Field(request, "Last-Event-Id"));
    if (m_spec.model) {
      const std::string after = Field(request, "Last-Event-Id");
      const bool number =
          !after.empty() && after.size() < 8 &&
          std::all_of(after.begin(), after.end(), [](char c) { return c >= '0' && c <= '9'; });
      reply->Begin(Sealed(id, "text/event-stream"), true);
      Step(id, reply, number ? std::stoi(after) + 1 : 1, 0);
      return;
    }
    Later(Milliseconds(m_spec.work_ms), [this, id, reply] {
      if (reply->Open()) {
        m_record->Line("done " + id + " at " + m_spec.id);
        reply->Whole(200, Sealed(id, "text/plain"), "done " + id);
      }
    });
  }

  StandInFields Sealed(const std::string& id, const std::string& type) const {
    return {{"X-Request-Id", id}, {"X-Response-Seal", "seal-" + id}, {"Content-Type", type}};
  }

  void Step(const std::string& id, const Reply& reply, int event, int sent) {
    Later(kEventGap, [this, id, reply, event, sent] {
      if (!reply->Open()) {
        return;
      }
      if (m_spec.report_bytes > 0 && sent == 3) {
        return;
      }
      if (m_spec.junk_bytes > 0 && sent == 3) {
        m_record->Line("junk " + id + " at " + m_spec.id);
        reply->Chunk("id: " + std::string(static_cast<size_t>(m_spec.junk_bytes), 'x') + "\n\n");
        Later(kEventGap, [reply] { reply->Cut(); });
        return;
      }
      if (event > m_spec.events) {
        reply->End();
        return;
      }
      reply->Chunk("id: " + std::to_string(event) + "\ndata: part " + std::to_string(event) +
                   " of " + id + "\n\n");
      Step(id, reply, event + 1, sent + 1);
    });
  }

  void Later(Milliseconds delay, std::function<void()> action) {
    const int number = m_next_timer++;
    m_timers[number] = m_loop->After(delay, [this, number, action = std::move(action)] {
      action();
      m_done.push_back(number);
    });
    for (const int done : std::exchange(m_done, {})) {
      m_timers.erase(done);
    }
  }

  EventLoop* const m_loop;
  fakes::PlatformStore* const m_store;
  Record* const m_record;
  const Spec m_spec;
  int64_t m_born = 0;
  int m_sequence = 0;
  std::unique_ptr<fakes::StandInServer> m_server;
  std::unique_ptr<Timer> m_heartbeat;
  std::map<int, std::unique_ptr<Timer>> m_timers;
  std::vector<int> m_done;  // Timers that have run.
  int m_next_timer = 0;
};

json Route(const std::string& name, const std::string& kind, const std::string& service,
           int timeout_ms, int attempts) {
  return {{"name", name},
          {"hostname", "review.example"},
          {"pathPrefix", "/" + name + "/"},
          {"kind", kind},
          {"service", service},
          {"timeoutMs", timeout_ms},
          {"targetLatencyMs", 500},
          {"maxAttempts", attempts},
          {"priority", 1},
          {"public", false},
          {"streamResume", kind == "streaming"}};
}

std::string Config(const Options& options, int version) {
  const json engine = {
      {"layers", kLayers},
      {"layerMb", 1000},
      {"kvTokenBytes", 100000},
      {"step_ms", 1},
      {"read_per_s", 100000},
      {"chunk", 512},
      {"slots", 32},
      {"usual", {{"prompt", 100}, {"answer", 50}}},
      {"kinds", json::array({{{"name", "fast"}, {"mb", 40000}, {"pace", 1}, {"readX", 1}}})},
      {"models", json::array({{{"name", "m"}, {"version", 1}, {"loadS", 1}}})}};
  json keys = json::array();
  const std::string list = options.Text("keys", "key-0") + ",";
  for (size_t begin = 0; begin < list.size(); begin = list.find(',', begin) + 1) {
    keys.push_back(list.substr(begin, list.find(',', begin) - begin));
  }
  if (version > kFirstVersion) {
    keys.erase(keys.size() - 1);
  }
  const int timeout_ms = options.Number("timeout", 2000);
  const json config = {
      {"version", version},
      {"routes", json::array({Route("model", "streaming", "model", 20000, 2),
                              Route("order", "non_idempotent", "orders", timeout_ms, 1),
                              Route("look", "idempotent", "orders", timeout_ms, 2)})},
      {"services", json::array({{{"name", "model"}, {"maxConnections", 1000}, {"engine", engine}},
                                {{"name", "orders"}, {"maxConnections", 100}}})},
      {"tenants", json::array({{{"name", "tenant-a"}, {"apiKeys", keys}}})},
      {"limits",
       {{"maxHeaderBytes", options.Number("head", 16384)},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}};
  return config.dump();
}

int Run(int argc, char** argv) {
  const std::string net = argv[1];
  const Options options(argc, argv);
  Record record(argv[2]);
  boost::asio::io_context io{1};
  const std::unique_ptr<EventLoop> loop = MakeEventLoop(&io);
  fakes::PlatformStore store(loop.get());
  const auto server =
      fakes::MakeStandInServer(&io, {boost::asio::ip::make_address(net + ".1"), kStorePort},
                               [&store](const StandInRequest& request, const Reply& reply) {
                                 store.Handle(request, reply);
                               });
  bool started = server != nullptr;
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 5 && started; ++i) {
    Engine::Spec spec;
    spec.model = i < 3;
    spec.id = std::string(spec.model ? "m" : "p") + std::to_string(i);
    spec.service = spec.model ? "model" : "orders";
    spec.zone = "zone-a";
    spec.ip = net + "." + std::to_string(spec.model ? 11 + i : 18 + i);
    spec.work_ms = options.Number("work", spec.work_ms);
    spec.events = options.Number("events", spec.events);
    spec.junk_bytes = i == 0 ? options.Number("junk", 0) : 0;
    spec.report_bytes = i == 0 ? options.Number("report", 0) : 0;
    engines.push_back(std::make_unique<Engine>(loop.get(), &store, &record, std::move(spec)));
    started = engines.back()->Start(&io);
  }
  if (!started) {
    std::cerr << "an address of " << net << " cannot be bound\n";
    return 2;
  }
  store.Put("op/config", Config(options, kFirstVersion));
  const std::string second = Config(options, kFirstVersion + 1);
  std::vector<std::unique_ptr<Timer>> timers;
  const auto at = [&](int time_ms, std::function<void()> action) {
    timers.push_back(loop->After(Milliseconds(time_ms), std::move(action)));
  };
  const int drill_ms = options.Number("drill", 0);
  if (const int remove_at = options.Number("remove_at", 0); remove_at > 0) {
    at(remove_at, [&] {
      store.BackUp();
      store.Put("op/config", second);
      record.Line("acknowledged: version 8, which takes a key away");
    });
    if (drill_ms > 0) {
      const int lost_at = remove_at + static_cast<int>(kStoreLostDelay.count());
      at(lost_at, [&] {
        store.InjectFault(fakes::PlatformStore::Fault::kUnavailable);
        record.Line("store: away");
      });
      at(lost_at + drill_ms, [&] {
        store.Restore();
        store.InjectFault(fakes::PlatformStore::Fault::kNone);
        record.Line("store: back from a copy with version 7");
      });
      at(lost_at + drill_ms + options.Number("rewrite", 0), [&] {
        store.Put("op/config", second);
        record.Line("written: version 8 again");
      });
    }
  }
  const std::unique_ptr<Timer> foreign =
      loop->After(Milliseconds(options.Number("foreign_at", 0)), [&] {
        for (int i = 0; i < options.Number("foreign", 0); ++i) {
          const std::string number = std::to_string(i);
          const json entry = {{"service", "model"},
                              {"address", net + "." + std::to_string(200 + i) + ":8201"},
                              {"zone", "zone-a"},
                              {"state", "ready"},
                              {"kind", "other-" + number}};
          store.Put("servers/foreign-" + number, entry.dump());
          record.Line("foreign entry servers/foreign-" + number + ": " + entry.dump());
        }
      });
  std::cout << "ready" << std::endl;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run_for(kLongestRun);
  std::_Exit(0);
}

}  // namespace
}  // namespace azuregw::review

int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "usage: platform NET RECORD [NAME=VALUE ...]\n";
    return 2;
  }
  return azuregw::review::Run(argc, argv);
}
