// azuregw-fakes: the stand-ins of the platform and the upstreams as separate processes.
//
//   azuregw-fakes kv|list|engine|service --address=IP:port ...
//   azuregw-fakes platform --net=127.30.1   the users' platform: store, four engines, two services
//   azuregw-fakes platform-settings --net=127.30.1 --instance=N   prints settings of an instance
//   azuregw-fakes expect --prompt=TEXT --total_layers=N --max_tokens=N   prints the text of a right
//   answer

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/fakes/fake_engine.h"
#include "tests/fakes/fake_kv.h"
#include "tests/fakes/fake_list.h"
#include "tests/fakes/fake_service.h"
#include "tests/fakes/platform_upstreams.h"

DEFINE_string(address, "127.0.0.1:0", "IP:port to listen on");
DEFINE_int32(threads, 4, "threads of the HTTP pool");
DEFINE_int32(lag_ms, 0, "list: how long its answers lag");
DEFINE_string(model, "design", "engine: model");
DEFINE_int32(first_layer, 0, "engine: first layer of the range");
DEFINE_int32(last_layer, 1, "engine: end of the range, exclusive");
DEFINE_int32(total_layers, 1, "engine, expect: layers of the model");
DEFINE_int32(capacity, 8, "engine, service: work items at the same time");
DEFINE_double(step_ms, 10, "engine: time of one iteration");
DEFINE_double(prefill_token_ms, 0.05, "engine: time of one more token in a step");
DEFINE_int32(load_lag_ms, 1000, "engine: how long load reports lag");
DEFINE_int32(sequence_ttl_ms, 30000, "engine: how long an unused sequence is kept");
DEFINE_bool(checks_fencing, true, "engine: whether old fencing numbers are refused");
DEFINE_string(model_version, "1", "engine: version of the model at the start");
DEFINE_string(log, "", "engine, service: file for the log of what ran");
DEFINE_int32(work_ms, 5, "service: time of one call");
DEFINE_string(net, "127.30.1", "platform: first three numbers of its addresses");
DEFINE_int32(instance, 1, "platform-settings: number of the instance");
DEFINE_string(prompt, "", "expect: prompt");
DEFINE_int32(max_tokens, 16, "expect: generated tokens");

namespace azuregw::fakes {
namespace {

int Serve(RequestHandler handler) {
  const std::unique_ptr<HttpFake> server = HttpFake::Make(FLAGS_address, std::move(handler));
  if (!server) {
    return 2;
  }
  std::cout << "ready " << FLAGS_address << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
  std::_Exit(0);
}

FakeEngineOptions EngineOptions() {
  FakeEngineOptions options;
  options.model = FLAGS_model;
  options.first_layer = FLAGS_first_layer;
  options.last_layer = FLAGS_last_layer;
  options.total_layers = FLAGS_total_layers;
  options.capacity = FLAGS_capacity;
  options.step_time = std::chrono::microseconds(static_cast<int64_t>(FLAGS_step_ms * 1000));
  options.prefill_token_time =
      std::chrono::microseconds(static_cast<int64_t>(FLAGS_prefill_token_ms * 1000));
  options.load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  options.sequence_ttl = std::chrono::milliseconds(FLAGS_sequence_ttl_ms);
  options.checks_fencing = FLAGS_checks_fencing;
  options.version = FLAGS_model_version;
  options.log_path = FLAGS_log;
  return options;
}

std::string NetAddress(int last) { return FLAGS_net + "." + std::to_string(last); }

constexpr uint16_t kPlatformStorePort = 8223;
constexpr uint16_t kPlatformUpstreamPort = 8201;

// Addresses: the store .1, upstreams from .11 on, instances from .101 on.
int ServePlatform() {
  boost::asio::io_context io{1};
  const std::unique_ptr<EventLoop> loop = MakeEventLoop(&io);
  PlatformStore store(loop.get());
  RunJournal journal;
  PlatformUpstream::Peers peers;
  std::vector<std::unique_ptr<PlatformUpstream>> upstreams;
  const auto server = MakeStandInServer(
      &io, {boost::asio::ip::make_address(NetAddress(1)), kPlatformStorePort},
      [&store](const StandInRequest& request, std::shared_ptr<StandInReply> reply) {
        store.Handle(request, std::move(reply));
      });
  bool started = server != nullptr;
  for (int i = 0; i < 6 && started; ++i) {
    UpstreamSpec spec;
    spec.id = "u" + std::to_string(i);
    spec.failure_domain = i % 2 == 0 ? "a" : "b";
    spec.address = {boost::asio::ip::make_address(NetAddress(11 + i)), kPlatformUpstreamPort};
    spec.service = i < 4 ? "model" : "orders";
    spec.accelerator = i < 4 ? "fast" : "";
    upstreams.push_back(std::make_unique<PlatformUpstream>(&io, loop.get(), &store, &peers,
                                                           &journal, std::move(spec)));
    peers[upstreams.back()->Address()] = upstreams.back().get();
    started = upstreams.back()->Start();
  }
  if (!started) {
    std::cerr << "an address of " << FLAGS_net << " cannot be bound\n";
    return 2;
  }
  store.Put("op/config", PlatformConfig(1, {"key-0"}));
  std::cout << "ready " << NetAddress(1) << std::endl;
  // main() blocks them for sigwait in Serve.
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGTERM);
  sigaddset(&blocked, SIGINT);
  pthread_sigmask(SIG_UNBLOCK, &blocked, nullptr);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  std::_Exit(0);
}

template <class Fake>
int ServeFake(Fake* fake) {
  return Serve([fake](const FakeRequest& request, const ReplyFunction& reply) {
    fake->Handle(request, reply);
  });
}

int Run(const std::string& command) {
  if (command == "kv") {
    FakeKv fake;
    return ServeFake(&fake);
  }
  if (command == "list") {
    FakeList fake{std::chrono::milliseconds(FLAGS_lag_ms)};
    return ServeFake(&fake);
  }
  if (command == "engine") {
    FakeEngine fake(EngineOptions());
    return ServeFake(&fake);
  }
  if (command == "service") {
    FakeService fake(FLAGS_capacity, std::chrono::milliseconds(FLAGS_work_ms), FLAGS_log);
    return ServeFake(&fake);
  }
  if (command == "platform") {
    return ServePlatform();
  }
  if (command == "platform-settings") {
    const int number = FLAGS_instance;
    std::cout << PlatformSettings("gw-" + std::to_string(number), number % 2 == 0 ? "a" : "b",
                                  NetAddress(100 + number),
                                  NetAddress(1) + ":" + std::to_string(kPlatformStorePort));
    return 0;
  }
  if (command == "expect") {
    std::cout << ExpectedText(FLAGS_prompt, FLAGS_total_layers, FLAGS_max_tokens) << "\n";
    return 0;
  }
  std::cerr << "usage: azuregw-fakes "
               "kv|list|engine|service|platform|platform-settings|expect [flags]\n";
  return 1;
}

}  // namespace
}  // namespace azuregw::fakes

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before threads start, so that only sigwait in Serve receives them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  azuregw::fakes::InitializeHttpThreads(FLAGS_threads);
  return azuregw::fakes::Run(argc > 1 ? argv[1] : "");
}
