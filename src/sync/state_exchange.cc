// Links between the instances and the holder of the layout duty.

#include "azuregw/sync/state_exchange.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "azuregw/net/endpoint.h"
#include "sync/sync_connection.h"
#include "sync/sync_sessions.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// The load of the others is not used when it is older; estimates from the own load are better then.
constexpr Milliseconds kLoadLife{1500};
constexpr Milliseconds kReconnect{400};
// Between two reports until the holder has told how often it wants them.
constexpr Milliseconds kFirstInterval{150};
// Changes that come together leave together.
constexpr Milliseconds kPushDelay{20};
// Reports and totals between the regular ones come at most this many times as often.
constexpr int kPushRate = 3;

// The "IP:port" at the end of what the holder stored with its duty.
std::optional<tcp::endpoint> HolderEndpoint(const std::string& value) {
  const size_t space = value.rfind(' ');
  return space == std::string::npos ? std::nullopt : ParseEndpoint(value.substr(space + 1));
}

class TcpStateExchange final : public StateExchange {
 public:
  TcpStateExchange(asio::io_context* io, EventLoop* loop, const GatewaySettings& settings,
                   const StateExchangeDependencies& parts)
      : m_io(io),
        m_loop(loop),
        m_name(settings.name),
        m_address(settings.peer_address),
        m_cpu_share(settings.cpu_share),
        m_parts(parts),
        m_state{loop, parts.fleet, parts.config, parts.lister},
        m_acceptor(*io) {}

  Result<void> Listen() { return OpenAcceptor(m_address, "peer address", &m_acceptor); }

  void Start() override {
    Accept();
    Tick();
  }

  void OnStateChanged() override {
    if (m_holding) {
      Push();
    }
  }
  void OnHealthReport() override { Push(); }

  std::optional<int> InstanceCount() const override {
    if (!m_known || m_loop->Now() - m_received > kLoadLife) {
      return std::nullopt;
    }
    return m_instances;
  }

 private:
  void Push() {
    if (m_pushing) {
      return;
    }
    m_pushing = true;
    const auto since = std::chrono::duration_cast<Milliseconds>(m_loop->Now() - m_ticked);
    const Milliseconds gap = m_interval / kPushRate;
    m_timer = m_loop->After(std::max(kPushDelay, gap - since), [this] { Tick(); });
  }

  void Accept() {
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (!error) {
        auto link = std::make_shared<SyncConnection>(std::move(socket), m_loop);
        link->SetHandler([this, key = link.get()](const SyncMessage& message) {
          OnReporterMessage(key, message);
        });
        m_reporters[link] = FollowerState();
        link->Begin();
        Accept();
        return;
      }
      m_accept_timer = m_loop->After(kReconnect, [this] { Accept(); });
    });
  }

  void OnReporterMessage(SyncConnection* key, const SyncMessage& message) {
    const auto* const report = std::get_if<InstanceReport>(&message);
    const auto found = m_reporters.find(key->shared_from_this());
    if (report == nullptr || !m_holding || found == m_reporters.end()) {
      return;
    }
    const bool first = found->second.stamp_us == 0;
    m_holding->OnReport(*report, &found->second);
    if (first) {
      // It waits for the configuration.
      key->Send(EncodeSync(m_holding->NewsFor(&found->second, m_parts.leader_lease->Held())));
    }
    if (report->urgent) {
      Push();
    }
  }

  void Tick() {
    const bool urgent = m_pushing;
    m_pushing = false;
    m_ticked = m_loop->Now();
    m_timer = m_loop->After(m_interval, [this] { Tick(); });
    for (auto link = m_reporters.begin(); link != m_reporters.end();) {
      if (link->first->Silent()) {
        link->first->Close();
      }
      link = link->first->Closed() ? m_reporters.erase(link) : std::next(link);
    }
    // Without the store nobody can hold the duty, but the instances still need the load of others.
    SetHolding(m_parts.leader_lease->Held() || m_parts.leader_lease->IsLastKnownLeader());
    if (m_holding) {
      Answer();
    } else {
      Report(urgent);
    }
  }

  void SetHolding(bool holding) {
    if (holding == m_holding.has_value()) {
      return;
    }
    m_parts.config->SetRelaying(holding);
    m_parts.lister->SetRelaying(holding);
    DropHolder();
    if (holding) {
      m_holding.emplace(m_state, m_name, m_cpu_share);
      return;
    }
    m_holding.reset();
    for (const auto& [link, state] : m_reporters) {
      link->Close();
    }
    m_reporters.clear();
  }

  void Answer() {
    if (!m_holding->TakeList()) {
      m_parts.leader_lease->StepDown("the numbers of upstreams are used up");
      return;
    }
    const FleetTotals totals = m_holding->Totals();
    const SharedFrame frame = EncodeSync(totals);
    for (auto& [link, state] : m_reporters) {
      if (state.stamp_us != 0) {
        link->Send(EncodeSync(m_holding->NewsFor(&state, m_parts.leader_lease->Held())));
        link->Send(frame);
      }
    }
    OnTotals(totals, m_name);
  }

  void Report(bool urgent) {
    const std::optional<tcp::endpoint> holder = HolderEndpoint(m_parts.leader_lease->LeaderValue());
    if (!holder || *holder == m_address) {
      DropHolder();
      return;
    }
    if (m_holder != nullptr &&
        (m_holder->Closed() || m_holder->Silent() || *holder != m_holder_endpoint)) {
      DropHolder();
      m_parts.leader_lease->PollNow();
    }
    const TimePoint now = m_loop->Now();
    if (m_holder == nullptr) {
      if (now < m_next_connect) {
        return;
      }
      m_next_connect = now + kReconnect;
      m_holder_endpoint = *holder;
      m_reporting.emplace(m_state, m_name, m_cpu_share);
      m_holder = std::make_shared<SyncConnection>(tcp::socket(*m_io), m_loop);
      m_holder->SetHandler([this](const SyncMessage& message) { OnHolderMessage(message); });
      m_holder->Connect(*holder);
    }
    if (m_holder->Open()) {
      InstanceReport report = m_reporting->NextReport();
      report.urgent = urgent;
      m_holder->Send(EncodeSync(report));
    }
  }

  void OnHolderMessage(const SyncMessage& message) {
    if (!m_reporting) {
      return;
    }
    if (const auto* const news = std::get_if<StateUpdate>(&message)) {
      if (news->held) {
        m_parts.leader_lease->OnLeaderMessage();
      }
      m_reporting->OnNews(*news);
    } else if (const auto* const totals = std::get_if<FleetTotals>(&message)) {
      m_reporting->OnTotals(*totals);
      OnTotals(*totals, m_reporting->Holder());
    }
  }

  void DropHolder() {
    if (m_holder != nullptr) {
      m_holder->Close();
      m_holder.reset();
    }
    m_reporting.reset();
  }

  void OnTotals(const FleetTotals& totals, const std::string& holder) {
    if (!m_known || totals.instances != m_instances) {
      m_parts.log->Write("load_shared", {{"instances", totals.instances}, {"holder", holder}},
                         false);
    }
    if (totals.interval.count() > 0) {
      m_interval = totals.interval;
    }
    m_parts.leader_lease->SetCpuShares(m_cpu_share, totals.most_cpu_share);
    m_known = true;
    m_received = m_loop->Now();
    m_instances = totals.instances;
  }

  asio::io_context* const m_io;
  EventLoop* const m_loop;
  const std::string m_name;
  const tcp::endpoint m_address;
  const double m_cpu_share;
  const StateExchangeDependencies m_parts;
  const SharedState m_state;
  tcp::acceptor m_acceptor;
  std::map<std::shared_ptr<SyncConnection>, FollowerState>
      m_reporters;                             // Instances that report here.
  std::optional<LeaderSession> m_holding;      // Set while others report here.
  std::shared_ptr<SyncConnection> m_holder;    // To the holder of the duty.
  std::optional<FollowerSession> m_reporting;  // Set with m_holder.
  tcp::endpoint m_holder_endpoint;
  TimePoint m_next_connect;
  bool m_known = false;
  bool m_pushing = false;  // The next tick is brought forward.
  TimePoint m_ticked;
  TimePoint m_received;
  int m_instances = 0;
  Milliseconds m_interval = kFirstInterval;  // As the holder says.
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_accept_timer;
};

}  // namespace

Result<std::unique_ptr<StateExchange>> MakeStateExchange(asio::io_context* io, EventLoop* loop,
                                                         const GatewaySettings& settings,
                                                         const StateExchangeDependencies& parts) {
  auto exchange = std::make_unique<TcpStateExchange>(io, loop, settings, parts);
  const Result<void> listening = exchange->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<StateExchange>(std::move(exchange));
}

}  // namespace azuregw
