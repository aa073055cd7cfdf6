// Builds an instance. Components are created in the order of their dependencies and stopped in the
// reverse order.

#include "azuregw/serve/instance.h"

#include <atomic>
#include <cstdlib>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "admin/refusals_json.h"
#include "azuregw/admin/admin_server.h"
#include "azuregw/base/listen_address.h"
#include "azuregw/control/control_loop.h"
#include "azuregw/discovery/http_instance_list.h"
#include "azuregw/kv/http_key_value_store.h"
#include "azuregw/logging/log.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/orders/peer_claim_forwarder.h"
#include "azuregw/planner/planner_runner.h"
#include "azuregw/supervisor/supervisor.h"
#include "azuregw/timeline/event_ring.h"
#include "azuregw/timeline/timeline_merge.h"
#include "serve/peer_links.h"
#include "serve/status_json.h"
#include "serve/traffic.h"

namespace azuregw {
namespace {

// Events kept per process; about 200 bytes each.
constexpr size_t kTimelineEvents = 8192;
constexpr size_t kTimelineReplyEvents = 5000;
constexpr Milliseconds kTimelineTimeout{1000};
constexpr const char* kUpstreamsPath = "/admin/upstreams/";

ControlOptions MakeControlOptions(const Settings& settings) {
  ControlOptions options;
  options.self = settings.instance.name;
  options.failure_domain = settings.instance.failure_domain;
  return options;
}

AdminReply JsonReply(const nlohmann::json& body) {
  AdminReply reply;
  reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

class RunningInstance final : public Instance {
 public:
  RunningInstance(const Settings& settings, const InstanceOptions& options)
      : m_settings(settings),
        m_metrics(MakeMetrics()),
        m_kv(MakeHttpKeyValueStore(settings.platform.kv_address, settings.platform.call_timeout,
                                   m_metrics.get())),
        m_list(
            MakeHttpInstanceList(settings.platform.list_address, settings.platform.call_timeout)),
        m_supervisor(MakeSupervisor("root", SystemClock())) {
    ControlDependencies control;
    control.clock = &SystemClock();
    control.kv = m_kv.get();
    control.list = m_list.get();
    control.metrics = m_metrics.get();
    control.events = &m_events;
    m_control = MakeControlLoop(MakeControlOptions(settings), control);
    m_peers = std::make_unique<PeerLinks>(settings, m_control.get(), m_kv.get(), m_metrics.get(),
                                          &m_hybrid_clock);
    ServeTimeline(m_peers->Service(), &m_events, settings.instance.name);
    TrafficDependencies traffic;
    traffic.clock = &SystemClock();
    traffic.control = m_control.get();
    traffic.kv = m_kv.get();
    traffic.metrics = m_metrics.get();
    traffic.events = &m_events;
    traffic.refusals = m_peers->Refusals();
    traffic.make_selector = options.make_selector;
    traffic.make_forwarder = [this](OrderCommitter* committer) {
      RegisterClaimHandlers(m_peers->Service(), committer, &SystemClock());
      return MakePeerClaimForwarder(m_peers->Service(), committer, &SystemClock());
    };
    m_traffic = MakeTraffic(settings, traffic);
    m_planner = MakePlanner(settings);
  }

  ~RunningInstance() override {
    Stop();
    // After a failed start, peers may still send claims to the committer of the traffic.
    m_peers->Stop();
  }

  Result<void> Start() override {
    Result<std::string> admin_address = ChooseListenAddress(m_settings.admin.address);
    if (!admin_address) {
      return admin_address.error();
    }
    m_addresses.admin = std::move(admin_address.value());
    m_admin = MakeAdminServer(m_addresses.admin, m_settings.admin.key);
    RegisterHandlers();
    const Result<void> admin = m_admin->Start();
    if (!admin) {
      return admin.error();
    }
    const Result<void> peers = m_peers->Start();
    if (!peers) {
      return peers.error();
    }
    m_addresses.peer = m_peers->Address();
    const Result<void> traffic = m_traffic->Start();
    if (!traffic) {
      return traffic.error();
    }
    m_addresses.caller = m_traffic->Address();
    m_supervisor->SetProblemHandler(
        [this](std::string problem) { m_control->OnComponentStatus(std::move(problem)); });
    for (Component* component : m_control->Components()) {
      m_supervisor->Add(component, RestartOptions());
    }
    // Components that can fail by themselves are added to the supervisor here.
    const Result<void> supervised = m_supervisor->Start(nullptr);
    if (!supervised) {
      return supervised.error();
    }
    m_planner->Start();
    m_started = true;
    return boost::outcome_v2::success();
  }

  InstanceAddresses Addresses() const override { return m_addresses; }

  void BeginDrain() override { m_control->BeginDrain(); }
  void StopAccepting() override { m_traffic->BeginDrain(); }
  int InProgress() const override { return m_traffic->InProgress(); }
  bool DrainAsked() const override { return m_drain_asked; }

  int Stop() override {
    if (!std::exchange(m_started, false)) {
      return 0;
    }
    const int unwritten =
        m_traffic->FlushOrders(SystemClock().Now() + m_settings.orders.flush_limit);
    m_planner->Stop();
    m_traffic->Stop();
    m_admin->Stop();
    m_supervisor->Stop();
    m_peers->Stop();
    return unwritten;
  }

 private:
  void RegisterHandlers() {
    m_admin->Register("GET", "/readyz", [this](const AdminRequest&) { return ReadyReply(); });
    m_admin->Register("GET", "/metrics", [this](const AdminRequest&) {
      AdminReply reply;
      reply.content_type = "text/plain; version=0.0.4";
      reply.body = m_metrics->PrometheusText();
      return reply;
    });
    m_admin->Register("GET", "/admin/status", [this](const AdminRequest&) {
      return JsonReply(StatusToJson(*m_control->Current(), m_control->CurrentReadiness()));
    });
    m_admin->Register("POST", "/admin/drain", [this](const AdminRequest&) {
      m_drain_asked = true;
      return JsonReply({{"instance", m_settings.instance.name}, {"draining", true}});
    });
    m_admin->Register(
        "GET", "/admin/timeline", [this](const AdminRequest& r) { return TimelineReply(r); },
        AdminServer::Execution::kWorker);
    m_admin->Register(
        "GET", "/admin/refusals", [this](const AdminRequest& r) { return RefusalsReply(r); },
        AdminServer::Execution::kWorker);
    const auto upstreams = [this](const AdminRequest& request) { return MarkUpstream(request); };
    m_admin->Register("POST", kUpstreamsPath, upstreams);
    m_admin->Register("DELETE", kUpstreamsPath, upstreams);
  }

  std::unique_ptr<PlannerRunner> MakePlanner(const Settings& settings) {
    PlannerRunnerOptions options;
    options.instance = settings.instance.name;
    PlannerRunnerDependencies dependencies;
    dependencies.kv = m_kv.get();
    dependencies.engines = m_traffic->Engines();
    dependencies.snapshots = m_control.get();
    dependencies.clock = &SystemClock();
    dependencies.events = &m_events;
    return MakePlannerRunner(std::move(options), dependencies);
  }

  // GET /admin/timeline[?request_id=ID][&since_ms=T][&scope=all]: the events of this instance, or
  // those of all instances that answer.
  AdminReply TimelineReply(const AdminRequest& request) {
    wire::TimelineRequestT wanted;
    wanted.limit = kTimelineReplyEvents;
    const auto id = request.query.find("request_id");
    wanted.request_id = id == request.query.end() ? "" : id->second;
    const auto since = request.query.find("since_ms");
    if (since != request.query.end()) {
      wanted.after_hlc = std::strtoull(since->second.c_str(), nullptr, 10) << 16;
    }
    const auto scope = request.query.find("scope");
    const bool all = scope != request.query.end() && scope->second == "all";
    AdminReply reply;
    reply.body = TimelineToJson(all ? MergedOverPeers(wanted) : LocalTimeline(wanted));
    return reply;
  }

  MergedTimeline LocalTimeline(const wire::TimelineRequestT& wanted) const {
    TimelineMerge merge({m_settings.instance.name});
    merge.Add(m_settings.instance.name, m_events.Answer(m_settings.instance.name, wanted));
    return merge.Finish(wanted.limit);
  }

  MergedTimeline MergedOverPeers(const wire::TimelineRequestT& wanted) {
    auto result = std::make_shared<std::promise<MergedTimeline>>();
    FetchTimeline(m_peers->Service(), m_events, m_settings.instance.name,
                  m_control->Current()->members, wanted, kTimelineTimeout,
                  [result](MergedTimeline timeline) { result->set_value(std::move(timeline)); });
    return result->get_future().get();
  }

  // GET /admin/refusals[?hours=N]
  AdminReply RefusalsReply(const AdminRequest& request) {
    constexpr int64_t kDefaultHours = 24;
    constexpr int64_t kMaxHours = 8784;  // One year.
    const auto given = request.query.find("hours");
    int64_t hours = kDefaultHours;
    if (given != request.query.end()) {
      hours = std::strtoll(given->second.c_str(), nullptr, 10);
    }
    if (hours < 1 || hours > kMaxHours) {
      return MakeErrorReply(NotRun(ResultCode::kInvalidField, "hours: expected 1 to 8784"));
    }
    const Result<nlohmann::json> table = ReadRefusals(m_kv.get(), hours, SystemClock().WallMs());
    return table ? JsonReply(table.value()) : MakeErrorReply(table.error());
  }

  AdminReply ReadyReply() const {
    const Readiness readiness = m_control->CurrentReadiness();
    AdminReply reply = JsonReply({{"ready", readiness.ready},
                                  {"code", static_cast<int>(readiness.code)},
                                  {"name", ResultCodeName(readiness.code)}});
    reply.status = readiness.ready ? 200 : 503;
    return reply;
  }

  // POST and DELETE /admin/upstreams/<name>/leaving.
  AdminReply MarkUpstream(const AdminRequest& request) {
    constexpr std::string_view kSuffix = "/leaving";
    const std::string rest = request.path.substr(std::string_view(kUpstreamsPath).size());
    if (rest.size() <= kSuffix.size() ||
        rest.compare(rest.size() - kSuffix.size(), kSuffix.size(), kSuffix) != 0) {
      return MakeErrorReply(NotRun(ResultCode::kUnknownRoute, "no such path"));
    }
    const std::string name = rest.substr(0, rest.size() - kSuffix.size());
    const std::shared_ptr<const Snapshot> snapshot = m_control->Current();
    const bool known =
        snapshot->preset != nullptr && (snapshot->preset->engines.count(name) != 0 ||
                                        snapshot->preset->service_upstreams.count(name) != 0);
    if (!known) {
      return MakeErrorReply(NotRun(ResultCode::kInvalidField, "no upstream \"" + name + "\""));
    }
    const bool leaving = request.method == "POST";
    if (leaving) {
      m_control->OnUpstreamLeaving(name);
    } else {
      m_control->OnUpstreamReturned(name);
    }
    return JsonReply({{"upstream", name}, {"leaving", leaving}});
  }

  const Settings m_settings;
  HybridLogicalClock m_hybrid_clock{SystemClock()};
  EventRing m_events{kTimelineEvents, SystemClock(), &m_hybrid_clock};
  std::unique_ptr<Metrics> m_metrics;
  std::unique_ptr<KeyValueStore> m_kv;
  std::unique_ptr<InstanceList> m_list;
  std::unique_ptr<Supervisor> m_supervisor;
  std::unique_ptr<ControlLoop> m_control;
  std::unique_ptr<PeerLinks> m_peers;
  std::unique_ptr<Traffic> m_traffic;
  std::unique_ptr<PlannerRunner> m_planner;
  std::unique_ptr<AdminServer> m_admin;
  InstanceAddresses m_addresses;
  std::atomic<bool> m_drain_asked{false};
  bool m_started = false;
};

}  // namespace

std::unique_ptr<Instance> MakeInstance(const Settings& settings, const InstanceOptions& options) {
  return std::make_unique<RunningInstance>(settings, options);
}

}  // namespace azuregw
