// Start, readiness, reload and shutdown of a gateway instance.

#include "azuregw/forward/gateway.h"

#include <malloc.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "azuregw/base/rendezvous.h"
#include "azuregw/forward/caller_listener.h"
#include "azuregw/forward/exchange.h"
#include "azuregw/forward/transfer_limits.h"
#include "azuregw/net/endpoint.h"
#include "azuregw/net/status_server.h"
#include "azuregw/placement/layout_controller.h"
#include "azuregw/placement/leader_lease.h"
#include "azuregw/sync/config_watcher.h"
#include "azuregw/sync/quarantine_store.h"
#include "azuregw/sync/removal_bounds.h"
#include "azuregw/sync/state_exchange.h"
#include "azuregw/sync/upstream_lister.h"
#include "forward/engine_health_checker.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;

// Port of the metrics endpoint; must match deploy/system.toml.
constexpr uint16_t kMetricsPort = 9464;
constexpr char kLeaderLeaseKey[] = "azuregw/layout";
constexpr char kQuarantineKey[] = "azuregw/quarantine";
// Age of the store data above which the instance reports itself as not ready.
constexpr Milliseconds kMaxReadyStoreAge{3500};
// New connections may arrive until the load balancer has missed two readiness responses.
constexpr Milliseconds kBalancerNoticeTime{2600};
constexpr Milliseconds kStopPollInterval{50};
constexpr Milliseconds kConfigPollInterval{5};
constexpr Milliseconds kMaxConfigWait{800};
// Time for the answer of the store that confirms the configuration after a restore.
constexpr Milliseconds kSettledMargin{50};
constexpr Milliseconds kQueueTickInterval{25};
constexpr int kMmapThresholdBytes = 128 * 1024;
// Number of instances assumed to share the load until it is known.
constexpr int kAssumedInstances = 8;

// Owns and connects the components of an instance.
class GatewayInstance {
 public:
  GatewayInstance(const GatewaySettings& settings, const GatewayPlatformFactory& make_platform)
      : m_loop(MakeEventLoop(&m_io)),
        m_client(MakeHttpClient(&m_io)),
        m_random(MakeSystemRandom()),
        m_metrics(MakeMetrics()),
        m_log(MakeEventLog(m_loop.get(), &SystemClock(),
                           {settings.name, settings.failure_domain, 1})),
        m_peer_faults(MakePeerFaultLog(m_log.get(), m_metrics.get())),
        m_platform(make_platform(m_loop.get(), m_client.get(), m_peer_faults.get())),
        m_removal_bounds({settings.leaving_bound, settings.heartbeat, settings.key_removal_bound}),
        m_routes(m_removal_bounds.MaxKeyAge()),
        m_paths(m_random.get()),
        m_budget({settings.retry_budget_ratio, settings.retry_budget_slack,
                  settings.retry_budget_window}),
        m_config_watcher(m_loop.get(), m_platform.store.get(), m_platform.codec.get(), &m_routes,
                         &m_store_retry, m_log.get()),
        m_lister(m_loop.get(), m_platform.store.get(), m_platform.codec.get(), &m_fleet,
                 &m_store_retry, m_log.get()),
        m_leader_lease(m_loop.get(), m_platform.store.get(), m_random.get(), m_log.get(),
                       kLeaderLeaseKey, settings.name + " " + EndpointText(settings.peer_address)),
        m_quarantine_store(m_loop.get(), &SystemClock(), m_platform.store.get(), &m_quarantine,
                           m_log.get(), kQuarantineKey),
        m_layout(m_loop.get(), &m_leader_lease, &m_routes, &m_fleet, m_platform.engines.get(),
                 m_log.get()),
        m_engine_health_checker(m_loop.get(), &m_fleet, &m_monitor, m_platform.engines.get(),
                                m_log.get()),
        m_position({static_cast<uint32_t>(StableHash(settings.name)), kAssumedInstances}),
        m_exit_checker(m_loop.get(), &m_fleet, m_platform.engines.get(), m_log.get(),
                       m_metrics.get()),
        m_signals(m_io, SIGTERM, SIGINT, SIGHUP) {
    m_context.loop = m_loop.get();
    m_context.client = m_client.get();
    m_context.routes = &m_routes;
    m_context.fleet = &m_fleet;
    m_context.paths = &m_paths;
    m_context.queue = &m_queue;
    m_context.monitor = &m_monitor;
    m_context.budget = &m_budget;
    m_context.wire = m_platform.wire.get();
    m_context.engines = m_platform.engines.get();
    m_context.exits = &m_exit_checker;
    m_context.quarantine = &m_quarantine;
    m_context.log = m_log.get();
    m_context.metrics = m_metrics.get();
    m_context.peer_faults = m_peer_faults.get();
    m_context.random = m_random.get();
    m_context.settings = settings;
    m_context.assumed_instances = kAssumedInstances;
    m_fleet.SetPosition(m_position.Position(), m_loop->Now());
    m_platform.store->Era()->AddListener(
        [this](uint64_t previous, std::string_view source) { OnStoreRestored(previous, source); });
  }

  // Runs the event loop and ends the process. Returns only if the instance cannot start; the result
  // is the exit code.
  int Run() {
    m_log->Write("start",
                 {{"callers", EndpointText(m_context.settings.caller_address)},
                  {"readiness", EndpointText(m_context.settings.readiness_address)},
                  {"store", EndpointText(m_context.settings.store_address)},
                  {"key_age_limit_ms", m_removal_bounds.MaxKeyAge().count()}},
                 true);
    const Result<void> limits = CheckTransferLimits(m_context.settings);
    if (!limits) {
      return ReportStartFailure(limits.error());
    }
    auto listener = MakeCallerListener(&m_io, &m_context);
    if (!listener) {
      return ReportStartFailure(listener.error());
    }
    m_listener = std::move(listener.value());
    auto readiness = MakeStatusServer(
        &m_io, m_context.settings.readiness_address,
        [this](const std::string& target) { return HandleReadinessProbe(target); });
    if (!readiness) {
      return ReportStartFailure(readiness.error());
    }
    m_readiness = std::move(readiness.value());
    auto metrics =
        MakeStatusServer(&m_io, {m_context.settings.caller_address.address(), kMetricsPort},
                         [this](const std::string&) { return Metrics(); });
    if (metrics) {
      m_metrics_server = std::move(metrics.value());
    } else {
      // The instance serves requests even without metrics.
      m_log->Write("metrics_unavailable", {{"reason", metrics.error().message}}, true);
    }
    auto exchange = MakeStateExchange(&m_io, m_loop.get(), m_context.settings,
                                      {&m_leader_lease, &m_fleet, &m_config_watcher, &m_lister,
                                       &m_quarantine, m_platform.store->Era(), m_log.get()});
    if (!exchange) {
      return ReportStartFailure(exchange.error());
    }
    m_exchange = std::move(exchange.value());
    m_config_watcher.SetListener([this] {
      m_fleet.SetConfig(m_routes.Config());
      m_exchange->OnStateChanged();
    });
    m_lister.SetListener([this] {
      m_exchange->OnStateChanged();
      m_queue.StartEligible(m_loop->Now());
    });
    m_fleet.SetHealthReportListener([this] { m_exchange->OnHealthReport(); });
    m_fleet.SetStatementListener([this](const StatementChange& change) { OnStatement(change); });
    m_quarantine.SetListener([this] { m_exchange->OnHealthReport(); });
    m_lister.SetBounds(m_removal_bounds);
    m_leader_lease.SetCpuShares(m_context.settings.cpu_share, std::nullopt);
    m_config_watcher.Start();
    m_lister.Start();
    m_quarantine_store.Start();
    m_leader_lease.Start();
    m_layout.Start();
    m_exchange->Start();
    WaitForSignal();
    AcceptWhenConfigured();
    TickQueue();
    m_engine_health_checker.Start();
    m_io.run();
    m_log->Write("stop", {{"connections", m_listener->Connections()}}, true);
    m_log->Flush();
    // Skips destructors, since pending handlers of the event loop refer to components that would be
    // destroyed before them.
    std::_Exit(0);
  }

 private:
  void OnStoreRestored(uint64_t previous_era, std::string_view source) {
    m_log->Write("store_restored",
                 {{"era", m_platform.store->Era()->Current()},
                  {"previous_era", previous_era},
                  {"source", source},
                  {"config_version", m_routes.Version()},
                  {"leading", m_leader_lease.Held()}},
                 true);
  }

  void OnStatement(const StatementChange& change) {
    const std::string fact(StatedFactName(change.fact));
    const std::string source(StatementSourceName(change.statement.source));
    const auto left =
        std::chrono::duration_cast<Milliseconds>(change.statement.until - m_loop->Now());
    m_log->Write("upstream_statement",
                 {{"upstream", change.upstream},
                  {"fact", fact},
                  {"source", source},
                  {"for_ms", left.count()}},
                 true);
    m_metrics->Add("azuregw_upstream_statements_total",
                   "fact=\"" + fact + "\",source=\"" + source + "\"", 1);
  }

  int ReportStartFailure(const Error& error) {
    m_log->Write("start_failed",
                 {{"code", static_cast<int>(error.code)}, {"reason", error.message}}, true);
    m_log->Flush();
    return 1;
  }

  bool IsReady() const {
    const std::optional<Milliseconds> config_age = m_routes.Age(m_loop->Now());
    const std::optional<Milliseconds> list_age = m_lister.Age();
    return !m_stopping && config_age && *config_age < kMaxReadyStoreAge && list_age &&
           *list_age < kMaxReadyStoreAge;
  }

  StatusReply HandleReadinessProbe(const std::string& target) {
    if (target != m_platform.readiness_target) {
      return {404, "text/plain", "unknown\n"};
    }
    const bool ready = IsReady();
    if (ready != m_was_ready) {
      m_was_ready = ready;
      const std::optional<Milliseconds> config_age = m_routes.Age(m_loop->Now());
      const std::optional<Milliseconds> list_age = m_lister.Age();
      m_log->Write("readiness",
                   {{"ready", ready},
                    {"stopping", m_stopping},
                    {"config_age_ms", config_age ? config_age->count() : -1},
                    {"upstreams_age_ms", list_age ? list_age->count() : -1}},
                   true);
    }
    return ready ? StatusReply{200, "text/plain", "ready\n"}
                 : StatusReply{503, "text/plain", "not ready\n"};
  }

  StatusReply Metrics() {
    m_metrics->Set("azuregw_config_version", "", static_cast<double>(m_routes.Version()));
    m_metrics->Set("azuregw_store_era", "",
                   static_cast<double>(m_platform.store->Era()->Current()));
    m_metrics->Set("azuregw_store_restores", "",
                   static_cast<double>(m_platform.store->Era()->Restores()));
    m_metrics->Set("azuregw_upstreams", "", static_cast<double>(m_fleet.All().size()));
    m_metrics->Set("azuregw_retained_upstreams", "",
                   static_cast<double>(m_fleet.RetainedUpstreams()));
    m_metrics->Set("azuregw_contradictory_upstreams", "", m_fleet.Contradictory());
    m_metrics->Set("azuregw_unreadable_upstream_entries", "",
                   static_cast<double>(m_lister.UnreadableEntries()));
    m_metrics->Set("azuregw_left_out_upstream_entries", "",
                   static_cast<double>(m_lister.LeftOutEntries()));
    const auto limited = std::count_if(m_fleet.All().begin(), m_fleet.All().end(),
                                       [now = m_loop->Now()](const auto& entry) {
                                         return entry.second.statements.RateLimit(now).has_value();
                                       });
    m_metrics->Set("azuregw_limited_upstreams", "", static_cast<double>(limited));
    m_metrics->Set("azuregw_connections", "", m_listener->Connections());
    m_metrics->Set("azuregw_callers_held_bytes", "", static_cast<double>(m_listener->HeldBytes()));
    m_metrics->Set("azuregw_queued_streams", "", m_queue.Size());
    m_metrics->Set("azuregw_quarantined_parts", "", static_cast<double>(m_quarantined.size()));
    m_metrics->Set("azuregw_upstream_connections_idle", "",
                   static_cast<double>(m_client->IdleConnections()));
    m_metrics->Set("azuregw_upstream_connections_opened", "",
                   static_cast<double>(m_client->ConnectionsOpened()));
    return {200, "text/plain; version=0.0.4", m_metrics->PrometheusText()};
  }

  // Leaves connections in the listen backlog until the state in the store is known, because a
  // refusal would use up the caller's next attempt. Callers abandon a connection that is not read
  // for 1 s, so the wait is limited to kMaxConfigWait, or to the time after which a restored store
  // confirms the configuration.
  void AcceptWhenConfigured() {
    const TimePoint now = m_loop->Now();
    const bool keys_expire = m_removal_bounds.MaxKeyAge().count() > 0;
    const bool config_known = keys_expire ? m_routes.Age(now).has_value() : m_routes.Version() > 0;
    const bool known = config_known && m_lister.Age() && m_quarantine_store.Started();
    const TimePoint latest = std::max(m_started + kMaxConfigWait,
                                      m_platform.store->Era()->UnsettledUntil() + kSettledMargin);
    if (known || now > latest) {
      m_listener->Accept();
      return;
    }
    m_accept_timer = m_loop->After(kConfigPollInterval, [this] { AcceptWhenConfigured(); });
  }

  void TickQueue() {
    m_queue_timer = m_loop->After(kQueueTickInterval, [this] {
      const std::optional<int> instances = m_exchange->InstanceCount();
      m_context.assumed_instances = instances ? 0 : m_last_instances;
      if (instances) {
        m_last_instances = *instances;
        m_context.instances = m_last_instances;
        m_context.load_age = m_exchange->LoadAge();
        m_position.Update(m_exchange->Number(), m_last_instances, m_loop->Now());
        m_fleet.SetPosition(m_position.Position(), m_loop->Now());
        m_budget.SetInstances(m_last_instances, m_loop->Now());
        m_store_retry.SetInstances(m_last_instances);
      }
      m_quarantine.SetTrialsAllowed(m_leader_lease.Held());
      m_quarantine_store.SetLeading(m_leader_lease.Held());
      LogQuarantine();
      if (m_queue.Size() > 0) {
        m_queue.StartEligible(m_loop->Now());
      }
      TickQueue();
    });
  }

  // Logs the parts that were quarantined or released since the last call.
  void LogQuarantine() {
    const std::map<PartId, int> parts = m_quarantine.Quarantined(m_loop->Now());
    for (const auto& [part, crashes] : parts) {
      if (m_quarantined.count(part) == 0) {
        m_log->Write(IsRequestPart(part) ? "request_quarantined" : "prompt_part_quarantined",
                     {{"part", PartName(part)}, {"crashes", crashes}}, true);
      }
    }
    for (const auto& [part, crashes] : m_quarantined) {
      if (parts.count(part) == 0) {
        m_log->Write(IsRequestPart(part) ? "request_released" : "prompt_part_released",
                     {{"part", PartName(part)}, {"crashes", crashes}}, true);
      }
    }
    m_quarantined = parts;
  }

  void WaitForSignal() {
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        Reload();
      } else {
        Stop();
      }
      WaitForSignal();
    });
  }

  void Reload() {
    const Result<GatewaySettings> settings = m_platform.reload();
    if (!settings) {
      m_log->Write("reload_failed", {{"reason", settings.error().message}}, true);
      return;
    }
    // Addresses and bounds are fixed for the lifetime of the process.
    m_context.settings.stop_grace = settings.value().stop_grace;
    m_log->Write("reload", {{"stop_grace_ms", m_context.settings.stop_grace.count()}}, true);
  }

  void Stop() {
    if (m_stopping) {
      return;
    }
    m_stopping = true;
    m_stop_requested = m_loop->Now();
    m_log->Write(
        "stopping",
        {{"connections", m_listener->Connections()}, {"requests", m_listener->ActiveExchanges()}},
        true);
    m_context.stop = StopWindow{m_stop_requested, m_context.settings.stop_grace};
    m_leader_lease.Stop();
    m_listener->Drain();
    PollStop();
  }

  void PollStop() {
    const TimePoint now = m_loop->Now();
    const bool idle =
        m_listener->Connections() == 0 && now - m_stop_requested >= kBalancerNoticeTime;
    if (idle || now >= StopExitTime(*m_context.stop)) {
      m_io.stop();
      return;
    }
    if (!m_requests_ended && now >= StopResponseTime(*m_context.stop)) {
      m_requests_ended = true;
      m_log->Write("stop_ends_requests", {{"requests", m_listener->ActiveExchanges()}}, true);
      m_listener->EndRequests();
    }
    m_stop_timer = m_loop->After(kStopPollInterval, [this] { PollStop(); });
  }

  asio::io_context m_io{1};
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<Random> m_random;
  std::unique_ptr<azuregw::Metrics> m_metrics;
  std::unique_ptr<EventLog> m_log;
  std::unique_ptr<PeerFaultLog> m_peer_faults;
  GatewayPlatform m_platform;
  const RemovalBounds m_removal_bounds;
  RouteTable m_routes;
  Fleet m_fleet;
  PathSelector m_paths;
  StreamQueue m_queue;
  StreamMonitor m_monitor;
  SharedRetryBudget m_budget;
  PromptQuarantine m_quarantine;
  StoreRetry m_store_retry{m_random.get()};
  ConfigWatcher m_config_watcher;
  UpstreamLister m_lister;
  LeaderLease m_leader_lease;
  QuarantineStore m_quarantine_store;
  LayoutController m_layout;
  EngineHealthChecker m_engine_health_checker;
  PositionTracker m_position;
  EngineExitChecker m_exit_checker;
  asio::signal_set m_signals;
  ForwardContext m_context;
  std::unique_ptr<CallerListener> m_listener;
  std::unique_ptr<StatusServer> m_readiness;
  std::unique_ptr<StatusServer> m_metrics_server;
  std::unique_ptr<Timer> m_queue_timer;
  std::unique_ptr<Timer> m_accept_timer;
  const TimePoint m_started = m_loop->Now();
  std::unique_ptr<Timer> m_stop_timer;
  std::unique_ptr<StateExchange> m_exchange;
  int m_last_instances = kAssumedInstances;  // Last known number of instances.
  std::map<PartId, int> m_quarantined;       // Quarantined parts at the last tick, for the log.
  bool m_stopping = false;
  bool m_requests_ended = false;  // The requests that ran at the end of the grace period are ended.
  bool m_was_ready = false;       // Result of the last readiness probe, for logging changes.
  TimePoint m_stop_requested;
};

}  // namespace

int RunGateway(const GatewaySettings& settings, const GatewayPlatformFactory& make_platform) {
  // One arena is enough for one busy thread; memory is scarcer than CPU time.
  mallopt(M_ARENA_MAX, 1);
  // The memory of a large request goes back to the system when it is released. Without this, the
  // threshold grows with the first one, and later ones stay in the heap.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  return GatewayInstance(settings, make_platform).Run();
}

}  // namespace azuregw
