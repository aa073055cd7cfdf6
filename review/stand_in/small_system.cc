// Processes, heartbeats and calls of the small deployment.

#include "review/stand_in/small_system.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <utility>

#include "azuregw/base/clock.h"
#include "azuregw/net/endpoint.h"

namespace azuregw::review {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
namespace http = boost::beast::http;

constexpr Milliseconds kHeartbeatInterval{400};
constexpr int kMaxMissedHeartbeats = 3;
constexpr Milliseconds kReportLimit{300};
constexpr Milliseconds kCallerDeadline{8000};
constexpr char kGatewayBinary[] = "target/azuregw";
constexpr char kEngineBinary[] = "target/review/review_engine";

}  // namespace

// One HTTP exchange of a caller, or the query of an engine's report.
class SmallSystem::Call final : public HttpCallHandler {
 public:
  Call(std::shared_ptr<CallerRequest> request, std::function<void(const CallerRequest&)> done)
      : m_request(std::move(request)), m_done(std::move(done)) {}

  bool OnHead(const HttpResponseHead& head) override {
    m_request->status = static_cast<int>(head.result_int());
    m_request->sealed = head.count("X-Response-Seal") > 0;
    return true;
  }
  void OnBody(std::string_view bytes) override { m_request->answer.append(bytes); }
  void OnDone() override { End(true); }
  void OnFailed(const HttpFailure& /*failure*/) override { End(false); }
  void End(bool complete) {
    m_timer.reset();
    m_request->complete = complete;
    m_request->ended = true;
    m_done(*m_request);
  }

  const std::shared_ptr<CallerRequest> m_request;
  const std::function<void(const CallerRequest&)> m_done;
  std::shared_ptr<ClientCall> m_call;
  std::unique_ptr<Timer> m_timer;
};

SmallSystem::SmallSystem(const std::string& record_path)
    : m_loop(MakeEventLoop(&m_io)),
      m_client(MakeHttpClient(&m_io)),
      m_store(m_loop.get()),
      m_directory(testing::MakeTemporaryDirectory()),
      m_record_path(record_path),
      m_journal_path(m_directory + "/engines.txt"),
      m_started(m_loop->Now()) {
  std::random_device random;
  m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
  std::ofstream(m_record_path, std::ios::trunc) << "addresses " << m_net << "*\n";
}

SmallSystem::~SmallSystem() {
  for (const auto& call : m_calls) {
    if (!call->m_request->ended) {
      call->m_call->Cancel();
    }
  }
  m_instances.clear();  // Kills the processes.
  m_engines.clear();
  std::error_code ignored;  // The folder is in the system's place for temporary files.
  std::filesystem::remove_all(m_directory, ignored);
}

int64_t SmallSystem::ElapsedMs() const {
  return std::chrono::duration_cast<Milliseconds>(Now() - m_started).count();
}

void SmallSystem::Note(const std::string& text) {
  std::ofstream(m_record_path, std::ios::app) << "+" << ElapsedMs() << " ms " << text << "\n";
}

void SmallSystem::EnforceMemoryLimit(StandInInstance* instance, int limit_mb) {
  std::ifstream status("/proc/" + std::to_string(instance->process->pid()) + "/status");
  std::string line;
  int used_mb = 0;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      used_mb = std::stoi(line.substr(6)) / 1024;
    }
  }
  if (used_mb > limit_mb) {
    Note(instance->name + " uses " + std::to_string(used_mb) + " MB and is killed");
    instance->process->Kill();
    return;
  }
  Later(Milliseconds(20), [this, instance, limit_mb] { EnforceMemoryLimit(instance, limit_mb); });
}

bool SmallSystem::AnsweredByEngine(const std::string& id) const {
  return testing::ReadFile(m_journal_path).find(" ends " + id + "\n") != std::string::npos;
}

bool SmallSystem::BegunByEngine(const std::string& id) const {
  return testing::ReadFile(m_journal_path).find(" begins " + id + " ") != std::string::npos;
}

void SmallSystem::RecordRuns() {
  std::ofstream(m_record_path, std::ios::app) << "what the engines ran (Unix ms, engine):\n"
                                              << testing::ReadFile(m_journal_path);
}

tcp::endpoint SmallSystem::FreeEndpoint(int host) {
  boost::asio::io_context io;
  const auto address = boost::asio::ip::make_address(m_net + std::to_string(host));
  for (uint16_t port = 8200; port < 9400; ++port) {
    tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind({address, port}, error);
    const bool taken = std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& engine) {
      return engine->address == EndpointText({address, port});
    });
    if (!error && !taken) {
      return {address, port};
    }
  }
  return {address, 0};
}

bool SmallSystem::ListenStore() {
  m_store_server = fakes::MakeStandInServer(
      &m_io, m_store_address,
      [this](const fakes::StandInRequest& request, std::shared_ptr<fakes::StandInReply> reply) {
        m_store.Handle(request, std::move(reply));
      });
  return m_store_server != nullptr;
}

bool SmallSystem::StartStore() {
  m_store_address = FreeEndpoint(m_next_host++);
  if (!ListenStore()) {
    return false;
  }
  Heartbeat();
  return true;
}

void SmallSystem::StopStore() {
  m_store_server->Stop();
  m_store_server.reset();
}

StandInEngine* SmallSystem::StartEngine(const std::string& id, const std::string& service,
                                        bool model) {
  auto engine = std::make_unique<StandInEngine>();
  engine->id = id;
  engine->service = service;
  engine->model = model;
  engine->address = EndpointText(FreeEndpoint(m_next_host++));
  const std::string log = m_directory + "/" + id + ".log";
  engine->process = testing::Process::Start(
      {kEngineBinary, engine->address, id, model ? "model" : "plain", m_journal_path}, log);
  if (engine->process == nullptr || !engine->process->WaitForOutput("ready", Milliseconds(5000))) {
    return nullptr;
  }
  m_engines.push_back(std::move(engine));
  return m_engines.back().get();
}

void SmallSystem::Heartbeat() {
  for (const auto& entry : m_engines) {
    StandInEngine* const engine = entry.get();
    auto request = std::make_shared<CallerRequest>();
    auto call = std::make_unique<Call>(request, [this, engine](const CallerRequest& reply) {
      const json report = json::parse(reply.answer, nullptr, false);
      if (reply.complete && reply.status == 200 && report.is_object()) {
        engine->missed_heartbeats = 0;
        engine->last_report = report;
        Register(engine, report);
      } else if (++engine->missed_heartbeats == kMaxMissedHeartbeats) {
        Note("the entry of " + engine->id + " is removed");
        m_store.Remove("servers/" + engine->id);
      }
    });
    HttpRequest message(http::verb::get, "/azuregw/report", 11);
    message.set(http::field::host, engine->address);
    HttpCallOptions options;
    options.endpoint = *ParseEndpoint(engine->address);
    options.connect_timeout = kReportLimit;
    call->m_call = m_client->Start(options, std::move(message), call.get());
    m_calls.push_back(std::move(call));
  }
  m_heartbeat = m_loop->After(kHeartbeatInterval, [this] { Heartbeat(); });
}

void SmallSystem::Register(StandInEngine* engine, const json& report) {
  json entry = {{"service", engine->service},
                {"address", engine->address},
                {"zone", "zone-a"},
                {"version", 1},
                {"slots", engine->model ? 192 : 32},
                {"state", engine->draining ? "draining" : "ready"},
                {"warmupLeftMs", 0},
                {"sequence", report.value("sequence", 0)},
                {"born", report.value("born", int64_t{0})}};
  if (engine->model) {
    entry["kind"] = "card";
    if (report.contains("layers")) {
      entry["layers"] = report["layers"];
    }
  }
  m_store.Put("servers/" + engine->id, entry.dump());
}

StandInInstance* SmallSystem::StartInstance(const std::string& name, const std::string& zone) {
  auto instance = std::make_unique<StandInInstance>();
  instance->name = name;
  instance->zone = zone;
  const int host = m_next_host++;
  instance->callers = FreeEndpoint(host);
  const uint16_t port = instance->callers.port();
  const std::string ip = instance->callers.address().to_string();
  instance->readiness = {instance->callers.address(), static_cast<uint16_t>(port + 1)};
  instance->settings_path = m_directory + "/" + name + ".toml";
  std::ofstream(instance->settings_path)
      << "nodeName = \"" << name << "\"\nrole = \"gateway\"\nmachineClass = \"front\"\n"
      << "serves = [\"front\"]\nip = \"" << ip << "\"\nzone = \"" << zone << "\"\n"
      << "internalPorts = [" << port + 2 << "," << port + 17
      << "]\nheartbeatMs = " << kHeartbeatInterval.count()
      << "\nfirstStart = true\n[listen]\nfront = \"" << EndpointText(instance->callers)
      << "\"\nready = \"" << EndpointText(instance->readiness)
      << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
      << "linkMbps = 1000.0\n[bounds]\nreuseAfterS = 2\nstableWindowMs = 3000\ndrainMs = 2000\n"
      << "graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nmaxSkewMs = 5000\n"
      << "strictRevoke = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
      << "budgetSlack = 202\nstall_ms = 3000\nenforceFencing = true\n[platform]\naddress = \""
      << EndpointText(m_store_address) << "\"\nform = \"kv\"\nwritesPerS = 400\n"
      << "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
  m_instances.push_back(std::move(instance));
  Restart(m_instances.back().get());
  return m_instances.back().get();
}

void SmallSystem::Restart(StandInInstance* instance) {
  setenv("AZUREGW_NODE_FILE", instance->settings_path.c_str(), 1);
  instance->process = testing::Process::Start({kGatewayBinary, "gateway"},
                                              m_directory + "/" + instance->name + ".log");
  unsetenv("AZUREGW_NODE_FILE");
}

bool SmallSystem::RunUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const TimePoint end = Now() + limit;
  while (!condition()) {
    if (Now() >= end) {
      return false;
    }
    m_io.run_for(Milliseconds(5));
  }
  return true;
}

bool SmallSystem::WaitReady(const StandInInstance& instance, Milliseconds limit) {
  const TimePoint end = Now() + limit;
  while (Now() < end) {
    auto request = std::make_shared<CallerRequest>();
    auto call = std::make_unique<Call>(request, [](const CallerRequest&) {});
    HttpRequest message(http::verb::get, "/azuregw/readyz", 11);
    message.set(http::field::host, kHostName);
    HttpCallOptions options;
    options.endpoint = instance.readiness;
    call->m_call = m_client->Start(options, std::move(message), call.get());
    m_calls.push_back(std::move(call));
    RunUntil([&] { return request->ended; }, Milliseconds(1000));
    if (request->status == 200) {
      return true;
    }
    RunFor(Milliseconds(50));
  }
  return false;
}

std::shared_ptr<CallerRequest> SmallSystem::Send(const StandInInstance& instance,
                                                 const std::string& path, const std::string& body,
                                                 const std::string& key) {
  auto request = std::make_shared<CallerRequest>();
  request->id = "r" + std::to_string(m_next_id++);
  request->body = body + "-" + request->id;
  request->stream = path == "/model/";
  request->key = key;
  request->sent = Now();
  auto call = std::make_unique<Call>(request, [this](const CallerRequest& reply) {
    Note("answer " + reply.id + ": status " + std::to_string(reply.status) +
         (reply.sealed ? " sealed" : "") + (reply.complete ? ", complete, " : ", broken off, ") +
         std::to_string(reply.answer.size()) + " bytes");
  });
  HttpRequest message(http::verb::post, path + "x", 11);
  message.set(http::field::host, kHostName);
  message.set("X-Request-Id", request->id);
  message.set("X-Deadline-Ms", std::to_string(kCallerDeadline.count()));
  message.set("Api-Key", key);
  if (request->stream) {
    message.set("X-Model", "m");
    message.set("X-Token-Usage", "100,60");
    message.set("X-Prompt-Prefix", "aa:50,bb" + std::to_string(m_next_id) + ":50");
  }
  message.body() = request->body;
  message.prepare_payload();
  HttpCallOptions options;
  options.endpoint = instance.callers;
  options.max_idle = m_max_idle;
  Note("send " + request->id + " " + path + " to " + instance.name + " with " + key);
  call->m_call = m_client->Start(options, std::move(message), call.get());
  request->on_kept_connection = call->m_call->Reused();
  m_calls.push_back(std::move(call));
  m_requests.push_back(request);
  return request;
}

StandInEngine* SmallSystem::BusiestEngine() const {
  const auto running = [](const auto& engine) { return engine->last_report.value("running", 0); };
  return std::max_element(m_engines.begin(), m_engines.end(),
                          [&](const auto& a, const auto& b) { return running(a) < running(b); })
      ->get();
}

void SmallSystem::Drain(StandInEngine* engine) {
  engine->draining = true;
  Register(engine, engine->last_report);
}

void SmallSystem::Later(Milliseconds delay, std::function<void()> action) {
  m_timers.push_back(m_loop->After(delay, std::move(action)));
}

std::string OperatorConfig(uint64_t version, const std::vector<std::string>& keys) {
  const json engine = {
      {"layers", 1},
      {"layerMb", 16000},
      {"kvTokenBytes", 100000},
      {"step_ms", 1},
      {"read_per_s", 100000},
      {"chunk", 512},
      {"slots", 192},
      {"kinds", json::array({{{"name", "card"}, {"mb", 40000}, {"pace", 1}, {"readX", 1}}})},
      {"usual", {{"prompt", 100}, {"answer", 60}}},
      {"models", json::array({{{"name", "m"}, {"version", 1}, {"loadS", 1}}})}};
  const auto route = [](const char* name, const char* kind, const char* service, int attempts,
                        int target_ms) {
    return json{{"name", name},
                {"hostname", kHostName},
                {"pathPrefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"service", service},
                {"timeoutMs", 20000},
                {"targetLatencyMs", target_ms},
                {"maxAttempts", attempts},
                {"gapAimMs", 200},
                {"streamResume", std::string(kind) == "streaming"}};
  };
  return json{
      {"version", version},
      {"routes", json::array({route("model", "streaming", "model", 2, 500),
                              route("order", "non_idempotent", "orders", 1, 1000),
                              route("look", "idempotent", "orders", 2, 1000)})},
      {"services", json::array({{{"name", "model"}, {"engine", engine}}, {{"name", "orders"}}})},
      {"tenants", json::array({{{"name", "tenant"}, {"apiKeys", keys}}})},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}}
      .dump();
}

}  // namespace azuregw::review
