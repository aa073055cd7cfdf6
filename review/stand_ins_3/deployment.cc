// Start of the stand-ins and instances, and the callers' requests.

#include "review/stand_ins_3/deployment.h"

#include <openssl/evp.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <random>
#include <utility>

#include "azuregw/net/endpoint.h"

namespace azuregw::review {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

constexpr int kStoreHost = 1;
constexpr int kFirstInstanceHost = 100;
constexpr uint16_t kStorePort = 8223;
constexpr uint16_t kEnginePort = 8201;
constexpr uint16_t kCallerPort = 8227;
constexpr uint16_t kReadyPort = 8220;
constexpr uint16_t kControlPort = 8229;
constexpr Milliseconds kStartLimit{20000};
constexpr Milliseconds kReadyLimit{1000};
constexpr Milliseconds kTurn{2};
// Callers reuse connections that were idle for up to four fifths of idleTimeoutMs.
constexpr Milliseconds kMaxIdle{12000};
constexpr Milliseconds kNewConnection{0};

// Keeps itself alive until the answer or the deadline.
class Call final : public HttpCallHandler {
 public:
  explicit Call(std::function<void(const Answer&)> done) : m_done(std::move(done)) {}

  void Start(HttpClient* client, EventLoop* loop, const HttpCallOptions& options,
             HttpRequest message, Milliseconds deadline, std::shared_ptr<Call> self) {
    m_self = std::move(self);
    m_timer = loop->After(deadline, [this] {
      m_call->Cancel();
      m_answer = Answer();
      m_answer.reason = "no answer before the deadline";
      End();
    });
    m_call = client->Start(options, std::move(message), this);
  }
  bool OnHead(const HttpResponseHead& head) override {
    m_status = static_cast<int>(head.result_int());
    return true;
  }
  void OnBody(std::string_view bytes) override { m_answer.body.append(bytes); }
  void OnDone() override {
    m_answer.status = m_status;
    End();
  }
  void OnFailed(const HttpFailure& failure) override {
    m_answer.reason = failure.reason;
    End();
  }

 private:
  void End() {
    const std::shared_ptr<Call> self = std::move(m_self);
    m_timer.reset();
    m_done(m_answer);
  }

  const std::function<void(const Answer&)> m_done;
  std::shared_ptr<Call> m_self;  // Set while the call runs.
  std::shared_ptr<ClientCall> m_call;
  std::unique_ptr<Timer> m_timer;
  int m_status = 0;
  Answer m_answer;
};

}  // namespace

bool WithTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

bool MayOpen(int descriptors) {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
         limit.rlim_cur >= static_cast<rlim_t>(descriptors);
}

Deployment::Deployment(const DeploymentOptions& options, const std::string& record)
    : m_options(options),
      m_record(record),
      m_loop(MakeEventLoop(&m_io)),
      m_started(m_loop->Now()),
      m_client(MakeHttpClient(&m_io)),
      m_directory(testing::MakeTemporaryDirectory()) {
  std::random_device random;
  m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
  Record("addresses " + m_net + "0/24, settings and logs of the instances in a temporary folder");
}

Deployment::~Deployment() { m_instances.clear(); }

tcp::endpoint Deployment::Address(int host, uint16_t port) const {
  return tcp::endpoint(asio::ip::make_address(m_net + std::to_string(host)), port);
}

tcp::endpoint Deployment::CallerAddress(int instance) const {
  return Address(kFirstInstanceHost + instance, kCallerPort);
}

bool Deployment::StartStore() {
  m_store = std::make_unique<fakes::PlatformStore>(m_loop.get());
  m_store_server = fakes::MakeStandInServer(
      &m_io, Address(kStoreHost, kStorePort),
      [this](const fakes::StandInRequest& request, std::shared_ptr<fakes::StandInReply> reply) {
        m_store->Handle(request, std::move(reply));
      });
  return m_store_server != nullptr;
}

std::unique_ptr<fakes::StandInServer> Deployment::Serve(int host,
                                                        const fakes::StandInHandler& handler) {
  return fakes::MakeStandInServer(&m_io, Address(host, kEnginePort), handler);
}

std::string Deployment::Settings(int instance) const {
  const std::string ip = Address(kFirstInstanceHost + instance, 0).address().to_string();
  const auto address = [&ip](uint16_t port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"";
  };
  return "nodeName = \"front-" + std::to_string(instance + 1) +
         "\"\nrole = \"gateway\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \"" + ip +
         "\"\nzone = \"zone-a\"\nregion = \"region-a\"\ninternalPorts = [7340,7355]\n"
         "seedNodes = []\nfirstStart = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
         "heartbeatMs = 1200\n"
         "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
         "\"stream\",\"tenants\",\"platform\",\"layers\"]\n[zones]\nzone-a = \"region-a\"\n"
         "[listen]\nfront = " +
         address(kCallerPort) + "\nready = " + address(kReadyPort) +
         "\ncontrol = " + address(kControlPort) +
         "\n[limits]\ncpuShare = 0.29\ncores = 1\nmemoryMb = " +
         std::to_string(m_options.memory_mb) +
         "\nmaxFds = " + std::to_string(m_options.max_descriptors) +
         "\nlinkMbps = 49.0\ndiskMb = 0\n[bounds]\nstableWindowMs = " +
         std::to_string(m_options.stable_window_ms) +
         "\ndrainMs = " + std::to_string(m_options.drain_ms) +
         "\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 3000\nstrictRevoke = true\n"
         "revokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 312\n"
         "recoveryS = 15\nstall_ms = 2500\nenforceFencing = true\n[platform]\naddress = \"" +
         EndpointText(Address(kStoreHost, kStorePort)) +
         "\"\nform = \"kv\"\nwritesPerS = 1200\nreadsPerS = 6000\nhistoryS = 20\n"
         "valueBytes = 1048576\nttlMinMs = 1000\n";
}

bool Deployment::StartInstance(int instance) {
  const std::string name = m_directory + "/front-" + std::to_string(instance + 1);
  std::ofstream(name + ".toml") << Settings(instance);
  setenv("AZUREGW_NODE_FILE", (name + ".toml").c_str(), 1);
  m_instances[static_cast<size_t>(instance)] =
      testing::Process::Start({AZUREGW_BINARY, "gateway"}, name + ".log");
  unsetenv("AZUREGW_NODE_FILE");
  return m_instances[static_cast<size_t>(instance)] != nullptr;
}

bool Deployment::IsReady(int instance) {
  HttpRequest message(http::verb::get, "/azuregw/readyz", 11);
  message.set(http::field::host, kHost);
  std::optional<int> status;
  Ask(Address(kFirstInstanceHost + instance, kReadyPort), std::move(message), kReadyLimit,
      kNewConnection, [&status](const Answer& answer) { status = answer.status; });
  Until([&] { return status.has_value(); }, 2 * kReadyLimit);
  return status == 200;
}

bool Deployment::StartInstances() {
  m_instances.resize(static_cast<size_t>(m_options.instances));
  for (int i = 0; i < m_options.instances; ++i) {
    if (!StartInstance(i)) {
      return false;
    }
  }
  const TimePoint end = m_loop->Now() + kStartLimit;
  for (int i = 0; i < m_options.instances; ++i) {
    while (!IsReady(i)) {
      if (m_loop->Now() > end) {
        Record("an instance does not become ready");
        return false;
      }
      RunFor(Milliseconds(100));
    }
  }
  Record(std::to_string(m_options.instances) + " instances are ready");
  return true;
}

int Deployment::Leader() {
  HttpRequest message(http::verb::get, "/azuregw/kv-key?key=azuregw/layout", 11);
  message.set(http::field::host, kHost);
  std::optional<std::string> item;
  Ask(Address(kStoreHost, kStorePort), std::move(message), kReadyLimit, kNewConnection,
      [&item](const Answer& answer) { item = answer.body; });
  Until([&] { return item.has_value(); }, 2 * kReadyLimit);
  const json document = json::parse(item.value_or(""), nullptr, false);
  const std::string text = document.is_object() ? document.value("value", "") : "";
  std::string value(text.size() / 4 * 3 + 1, '\0');
  EVP_DecodeBlock(reinterpret_cast<unsigned char*>(value.data()),
                  reinterpret_cast<const unsigned char*>(text.data()),
                  static_cast<int>(text.size()));
  for (int i = 0; i < m_options.instances; ++i) {
    if (value.rfind("front-" + std::to_string(i + 1) + " ", 0) == 0) {
      return i;
    }
  }
  return -1;
}

void Deployment::Ask(const tcp::endpoint& endpoint, HttpRequest message, Milliseconds deadline,
                     Milliseconds max_idle, std::function<void(const Answer&)> done) {
  HttpCallOptions options;
  options.endpoint = endpoint;
  options.connect_timeout = std::min(deadline, Milliseconds(1000));
  options.max_idle = max_idle;
  const auto call = std::make_shared<Call>(std::move(done));
  call->Start(m_client.get(), m_loop.get(), options, std::move(message), deadline, call);
}

void Deployment::Send(int instance, const CallerRequest& request,
                      std::function<void(const Answer&)> done) {
  HttpRequest message(request.body.empty() ? http::verb::get : http::verb::post, request.path, 11);
  message.set(http::field::host, kHost);
  message.set("X-Request-Id", request.id);
  message.set("X-Deadline-Ms", std::to_string(request.deadline_ms));
  message.set("Api-Key", kKey);
  message.body() = request.body;
  message.prepare_payload();
  Ask(CallerAddress(instance), std::move(message), Milliseconds(request.deadline_ms),
      request.kept ? kMaxIdle : kNewConnection, std::move(done));
}

bool Deployment::Until(const std::function<bool()>& condition, Milliseconds limit) {
  const TimePoint end = m_loop->Now() + limit;
  while (!condition()) {
    if (m_loop->Now() > end) {
      return false;
    }
    RunFor(kTurn);
  }
  return true;
}

void Deployment::RunFor(Milliseconds time) {
  m_io.restart();
  m_io.run_for(time);
}

Milliseconds Deployment::SinceStart() const {
  return std::chrono::duration_cast<Milliseconds>(m_loop->Now() - m_started);
}

void Deployment::Record(const std::string& line) {
  m_record << SinceStart().count() << " ms: " << line << std::endl;
}

json PlainConfig(uint64_t version) {
  const auto route = [](const char* name, const char* kind, int attempts) {
    return json{{"name", name},
                {"hostname", kHost},
                {"pathPrefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"service", "orders"},
                {"timeoutMs", 1200},
                {"targetLatencyMs", 120},
                {"priority", 2},
                {"maxAttempts", attempts},
                {"public", false}};
  };
  return {{"version", version},
          {"routes",
           json::array({route("order", "non_idempotent", 1), route("look", "idempotent", 2)})},
          {"services", json::array({{{"name", "orders"},
                                     {"healthPath", "/healthz"},
                                     {"maxConnections", 440},
                                     {"protocol", "h1"},
                                     {"tls", false}}})},
          {"tenants", json::array({{{"name", "hule930"}, {"apiKeys", json::array({kKey})}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

json PlainEntry(const std::string& address, int64_t born, uint64_t sequence) {
  return {{"service", "orders"}, {"address", address}, {"zone", "zone-a"},
          {"version", "v1"},     {"slots", 6},         {"state", "ready"},
          {"warmupLeftMs", 0},   {"born", born},       {"sequence", sequence}};
}

}  // namespace azuregw::review
