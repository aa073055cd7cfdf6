// TCP implementation of StateExchange.

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

// Maximum age of the load of the others. Estimates from the own load are better than staler values.
constexpr Milliseconds kMaxLoadAge{1500};
// Delay before the next attempt to connect or, after an error, to accept.
constexpr Milliseconds kReconnectDelay{400};
// Report interval until the leader has sent one.
constexpr Milliseconds kInitialInterval{150};
// Batches changes that occur together into one message.
constexpr Milliseconds kPushDelay{20};
// Maximum rate of reports and totals ahead of schedule, as a multiple of the regular rate.
constexpr int kMaxPushRate = 3;

// Part of the leader's link that may be used to send large configurations to instances that cannot
// read them from the store; the rest is for callers and reports.
constexpr double kDocumentLinkShare = 0.25;

// Returns the "IP:port" at the end of the value that the leader stored with its lease.
std::optional<tcp::endpoint> LeaderEndpoint(const std::string& value) {
  const size_t space = value.rfind(' ');
  return space == std::string::npos ? std::nullopt : ParseEndpoint(value.substr(space + 1));
}

// Ticks at the interval that the leader sets. The leader accepts connections on the peer address;
// followers connect to the endpoint stored with the leader lease.
class TcpStateExchange final : public StateExchange {
 public:
  TcpStateExchange(asio::io_context* io, EventLoop* loop, const GatewaySettings& settings,
                   const StateExchangeDependencies& dependencies)
      : m_io(io),
        m_loop(loop),
        m_name(settings.name),
        m_address(settings.peer_address),
        m_cpu_share(settings.cpu_share),
        m_document_bytes_per_s(kDocumentLinkShare * settings.link_mbps * 1e6 / 8),
        m_dependencies(dependencies),
        m_state{loop,
                dependencies.fleet,
                dependencies.config,
                dependencies.lister,
                dependencies.quarantine,
                dependencies.store_era},
        m_acceptor(*io) {}

  Result<void> Listen() { return OpenAcceptor(m_address, "peer address", &m_acceptor); }

  void Start() override {
    Accept();
    Tick();
  }

  void OnStateChanged() override {
    if (m_leader_session) {
      Push();
    }
  }
  void OnHealthReport() override { Push(); }

  std::optional<int> InstanceCount() const override {
    if (!m_totals_known || m_loop->Now() - m_totals_received > kMaxLoadAge) {
      return std::nullopt;
    }
    return m_instances;
  }

  InstanceNumber Number() const override { return m_number; }

  Milliseconds LoadAge() const override {
    // A report is half an interval old on average when it enters the totals.
    return std::chrono::duration_cast<Milliseconds>(m_loop->Now() - m_totals_received) +
           m_interval / 2;
  }

 private:
  // Brings the next tick forward, within the limit of kMaxPushRate.
  void Push() {
    if (m_push_pending) {
      return;
    }
    m_push_pending = true;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_loop->Now() - m_last_tick);
    const Milliseconds min_gap = m_interval / kMaxPushRate;
    m_timer = m_loop->After(std::max(kPushDelay, min_gap - elapsed), [this] { Tick(); });
  }

  void Accept() {
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (!error) {
        auto connection = std::make_shared<SyncConnection>(std::move(socket), m_loop);
        connection->SetHandler([this, key = connection.get()](const SyncMessage& message) {
          OnFollowerMessage(key, message);
        });
        m_followers[connection] = FollowerState();
        connection->Start();
        Accept();
        return;
      }
      m_accept_timer = m_loop->After(kReconnectDelay, [this] { Accept(); });
    });
  }

  void OnFollowerMessage(SyncConnection* key, const SyncMessage& message) {
    const auto* const report = std::get_if<InstanceReport>(&message);
    const auto found = m_followers.find(key->shared_from_this());
    if (report == nullptr || !m_leader_session || found == m_followers.end()) {
      return;
    }
    const bool first = found->second.stamp_us == 0;
    m_leader_session->OnReport(*report, &found->second);
    if (first) {
      // The new follower has no configuration yet.
      key->Send(EncodeSyncMessage(
          m_leader_session->UpdateFor(&found->second, m_dependencies.lease->Held())));
    }
    if (report->urgent) {
      Push();
    }
  }

  // Drops dead connections, switches the role if the lease changed, and sends this round's
  // messages.
  void Tick() {
    const bool urgent = m_push_pending;
    m_push_pending = false;
    m_last_tick = m_loop->Now();
    m_timer = m_loop->After(m_interval, [this] { Tick(); });
    for (auto connection = m_followers.begin(); connection != m_followers.end();) {
      if (connection->first->Silent()) {
        connection->first->Close();
      }
      connection =
          connection->first->Closed() ? m_followers.erase(connection) : std::next(connection);
    }
    // Nobody can hold the lease during a store outage, but the instances still need the load of the
    // others, so the last leader continues.
    SetLeading(m_dependencies.lease->Held() || m_dependencies.lease->IsLastKnownLeader());
    if (m_leader_session) {
      SendUpdates();
    } else {
      SendReport(urgent);
    }
  }

  // Switches between leader and follower; drops the connections of the previous role.
  void SetLeading(bool leading) {
    if (leading == m_leader_session.has_value()) {
      return;
    }
    m_dependencies.config->SetRelaying(leading);
    m_dependencies.lister->SetRelaying(leading);
    DropLeader();
    if (leading) {
      m_leader_session.emplace(m_state, m_name, m_cpu_share);
      return;
    }
    m_leader_session.reset();
    for (const auto& [connection, state] : m_followers) {
      connection->Close();
    }
    m_followers.clear();
  }

  // Sends an update and the totals to every follower that has reported.
  void SendUpdates() {
    if (!m_leader_session->UpdateUpstreams()) {
      m_dependencies.lease->StepDown("upstream numbers are exhausted");
      return;
    }
    m_leader_session->SetDocumentBudget(static_cast<int64_t>(
        m_document_bytes_per_s * std::chrono::duration<double>(m_interval).count()));
    const FleetTotals totals = m_leader_session->Totals();
    const SharedFrame frame = EncodeSyncMessage(totals);
    for (auto& [connection, state] : m_followers) {
      if (state.stamp_us != 0) {
        connection->Send(
            EncodeSyncMessage(m_leader_session->UpdateFor(&state, m_dependencies.lease->Held())));
        connection->Send(frame);
      }
    }
    OnTotals(totals, m_name, LeaderSession::kOwnNumber);
  }

  // Reports to the leader; connects to it first if necessary.
  void SendReport(bool urgent) {
    const std::optional<tcp::endpoint> leader = LeaderEndpoint(m_dependencies.lease->LeaderValue());
    if (!leader || *leader == m_address) {
      DropLeader();
      return;
    }
    if (m_leader != nullptr &&
        (m_leader->Closed() || m_leader->Silent() || *leader != m_leader_endpoint)) {
      DropLeader();
      m_dependencies.lease->PollNow();
    }
    const TimePoint now = m_loop->Now();
    if (m_leader == nullptr) {
      if (now < m_next_connect) {
        return;
      }
      m_next_connect = now + kReconnectDelay;
      m_leader_endpoint = *leader;
      m_follower_session.emplace(m_state, m_name, m_cpu_share);
      m_leader = std::make_shared<SyncConnection>(tcp::socket(*m_io), m_loop);
      m_leader->SetHandler([this](const SyncMessage& message) { OnLeaderMessage(message); });
      m_leader->Connect(*leader);
    }
    if (m_leader->Open()) {
      InstanceReport report = m_follower_session->BuildReport();
      report.urgent = urgent;
      m_leader->Send(EncodeSyncMessage(report));
    }
  }

  void OnLeaderMessage(const SyncMessage& message) {
    if (!m_follower_session) {
      return;
    }
    if (const auto* const update = std::get_if<StateUpdate>(&message)) {
      if (update->lease_held) {
        m_dependencies.lease->OnLeaderMessage();
      }
      m_follower_session->OnUpdate(*update);
    } else if (const auto* const totals = std::get_if<FleetTotals>(&message)) {
      m_follower_session->OnTotals(*totals);
      OnTotals(*totals, m_follower_session->Leader(), m_follower_session->Number());
    }
  }

  void DropLeader() {
    if (m_leader != nullptr) {
      m_leader->Close();
      m_leader.reset();
    }
    m_follower_session.reset();
  }

  void OnTotals(const FleetTotals& totals, const std::string& leader, InstanceNumber number) {
    if (!m_totals_known || totals.instances != m_instances) {
      m_dependencies.log->Write("load_shared",
                                {{"instances", totals.instances}, {"holder", leader}}, false);
    }
    if (totals.interval.count() > 0) {
      m_interval = totals.interval;
    }
    m_dependencies.lease->SetCpuShares(m_cpu_share, totals.max_cpu_share);
    m_totals_known = true;
    m_totals_received = m_loop->Now();
    m_instances = totals.instances;
    m_number = number;
  }

  asio::io_context* const m_io;
  EventLoop* const m_loop;
  const std::string m_name;
  const tcp::endpoint m_address;
  const double m_cpu_share;
  const double m_document_bytes_per_s;  // Rate at which large configurations may be sent.
  const StateExchangeDependencies m_dependencies;
  const SharedState m_state;
  tcp::acceptor m_acceptor;
  std::map<std::shared_ptr<SyncConnection>, FollowerState> m_followers;  // Connected followers.
  std::optional<LeaderSession> m_leader_session;      // Set while this instance leads.
  std::shared_ptr<SyncConnection> m_leader;           // Connection to the leader.
  std::optional<FollowerSession> m_follower_session;  // Set if and only if m_leader is set.
  tcp::endpoint m_leader_endpoint;
  TimePoint m_next_connect;
  bool m_totals_known = false;
  bool m_push_pending = false;  // The next tick is ahead of schedule.
  TimePoint m_last_tick;
  TimePoint m_totals_received;
  int m_instances = 0;
  InstanceNumber m_number = 0;  // As of the last totals; kept while there is no leader.
  Milliseconds m_interval = kInitialInterval;  // Interval of ticks, set by the leader.
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_accept_timer;
};

}  // namespace

Result<std::unique_ptr<StateExchange>> MakeStateExchange(
    asio::io_context* io, EventLoop* loop, const GatewaySettings& settings,
    const StateExchangeDependencies& dependencies) {
  auto exchange = std::make_unique<TcpStateExchange>(io, loop, settings, dependencies);
  const Result<void> listening = exchange->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<StateExchange>(std::move(exchange));
}

}  // namespace azuregw
