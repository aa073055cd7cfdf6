// Assembly of the instance and its stand-ins, and the connections of untrusted callers.

#include "tests/callers/callers_run.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "azuregw/net/endpoint.h"

namespace azuregw::callers {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr char kKey[] = "key-0";
// Bounds a test that hangs; nothing is judged by it.
constexpr Milliseconds kTestLimit{60000};
constexpr Milliseconds kDeadline{20000};
// Long, so that the instance's time limits play no part.
constexpr int kHeaderTimeoutMs = 60000;

// Collects the answer to an ordinary request.
class OrderCall final : public HttpCallHandler {
 public:
  bool OnHead(const HttpResponseHead& head) override {
    m_answer.status = static_cast<int>(head.result_int());
    return true;
  }
  void OnBody(std::string_view bytes) override { m_answer.body.append(bytes); }
  void OnDone() override {
    m_answer.complete = true;
    m_ended = true;
  }
  void OnFailed(const HttpFailure& /*failure*/) override { m_ended = true; }

  Answer m_answer;
  bool m_ended = false;
};

}  // namespace

CallersRun::CallersRun(const InstanceLimits& limits)
    : m_limits(limits),
      m_loop(MakeEventLoop(&m_io)),
      m_client(MakeHttpClient(&m_io)),
      m_directory(testing::MakeTemporaryDirectory()),
      m_store(m_loop.get()) {
  std::random_device random;
  m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
}

CallersRun::~CallersRun() { m_callers.clear(); }

bool CallersRun::Start() {
  const auto address = [this](int host, uint16_t port) {
    return tcp::endpoint(asio::ip::make_address(m_net + std::to_string(host)), port);
  };
  const tcp::endpoint store_address = address(1, 8223);
  m_store_server = fakes::MakeStandInServer(
      &m_io, store_address,
      [this](const fakes::StandInRequest& request, std::shared_ptr<fakes::StandInReply> reply) {
        m_store.Handle(request, std::move(reply));
      });
  if (m_store_server == nullptr) {
    return false;
  }
  for (int i = 0; i < 2; ++i) {
    fakes::UpstreamSpec spec;
    spec.id = "u" + std::to_string(i);
    spec.service = "orders";
    spec.failure_domain = "a";
    spec.address = address(10 + i, 8201);
    m_upstreams.push_back(std::make_unique<fakes::PlatformUpstream>(
        &m_io, m_loop.get(), &m_store, &m_peers, &m_journal, std::move(spec)));
    if (!m_upstreams.back()->Start()) {
      return false;
    }
  }
  auto config = nlohmann::json::parse(fakes::PlatformConfig(1, {kKey}));
  for (auto& route : config["routes"]) {
    route["timeoutMs"] = kDeadline.count();
  }
  config["limits"] = {{"maxHeaderBytes", m_limits.max_header_bytes},
                      {"maxBodyBytes", m_limits.max_body_bytes},
                      {"headerTimeoutMs", kHeaderTimeoutMs},
                      {"idleTimeoutMs", kHeaderTimeoutMs}};
  m_store.Put("op/config", config.dump());
  m_callers_address = address(30, fakes::kStandInCallerPort);
  std::string settings = fakes::PlatformSettings("gw", "a", m_callers_address.address().to_string(),
                                                 EndpointText(store_address));
  const std::string section = "[limits]\n";
  settings.insert(settings.find(section) + section.size(),
                  "memoryMb = " + std::to_string(m_limits.memory_mb) +
                      "\nmaxFds = " + std::to_string(m_limits.max_descriptors) + "\n");
  const std::string settings_path = m_directory + "/gw.toml";
  std::ofstream(settings_path) << settings;
  setenv("AZUREGW_NODE_FILE", settings_path.c_str(), 1);
  m_process = testing::Process::Start({AZUREGW_BINARY, "gateway"}, LogPath());
  unsetenv("AZUREGW_NODE_FILE");
  if (m_process == nullptr) {
    return false;
  }
  for (int i = 0; i < 100; ++i) {
    if (Order("first").status == 200) {
      return true;
    }
    RunFor(Milliseconds(100));
  }
  return false;
}

void CallersRun::Attack(int connections, const HostileRequest& request) {
  const size_t first = m_callers.size();
  for (int i = 0; i < connections; ++i) {
    m_callers.push_back(testing::MakeHostileCaller(&m_io, m_callers_address, request));
  }
  Until([&] {
    return std::all_of(m_callers.begin() + static_cast<ptrdiff_t>(first), m_callers.end(),
                       [](const auto& caller) { return caller->Finished(); });
  });
  // What was sent last is still to be read.
  RunFor(Milliseconds(300));
}

Answer CallersRun::Order(const std::string& body) {
  HttpRequest message(http::verb::post, "/order/x", 11);
  message.set(http::field::host, "soak.example");
  message.set("X-Request-Id", "r" + std::to_string(m_next_id++));
  message.set("X-Deadline-Ms", std::to_string(kDeadline.count()));
  message.set("Api-Key", kKey);
  message.body() = body;
  message.prepare_payload();
  HttpCallOptions options;
  options.endpoint = m_callers_address;
  options.connect_timeout = kDeadline;
  OrderCall handler;
  const auto call = m_client->Start(options, std::move(message), &handler);
  if (!Until([&] { return handler.m_ended; })) {
    call->Cancel();
  }
  return handler.m_answer;
}

void CallersRun::SetMute(bool mute) {
  for (const auto& upstream : m_upstreams) {
    upstream->SetTrouble(mute ? fakes::UpstreamTrouble::kMute : fakes::UpstreamTrouble::kNone);
  }
}

bool CallersRun::Until(const std::function<bool()>& condition) {
  const TimePoint end = m_loop->Now() + kTestLimit;
  while (!condition()) {
    if (m_loop->Now() > end) {
      return false;
    }
    m_io.restart();
    m_io.run_for(Milliseconds(2));
  }
  return true;
}

bool CallersRun::Alive() { return !m_process->Wait(Milliseconds(0)).has_value(); }

int CallersRun::PeakMemoryMb() const { return testing::PeakMemoryMb(m_process->pid()); }

int CallersRun::OpenSockets() const {
  int sockets = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(m_process->pid()) + "/fd")) {
    std::error_code error;  // The descriptor may be closed meanwhile.
    const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
    sockets += target.rfind("socket:", 0) == 0 ? 1 : 0;
  }
  return sockets;
}

}  // namespace azuregw::callers
