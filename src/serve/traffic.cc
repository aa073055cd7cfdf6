// Wiring of the traffic side: gateway, admission, routing, pipelines and orders.

#include "serve/traffic.h"

#include <optional>
#include <utility>

#include "azuregw/admission/admission_controller.h"
#include "azuregw/engine/http_engine_client.h"
#include "azuregw/gateway/caller_server.h"
#include "azuregw/orders/order_committer.h"
#include "azuregw/orders/order_service.h"
#include "azuregw/pipeline/pipeline_runner.h"
#include "azuregw/routing/chain_selector.h"
#include "azuregw/service/http_service_client.h"
#include "serve/periodic_task.h"
#include "serve/upstream_poller.h"

namespace azuregw {
namespace {

constexpr Milliseconds kAdmissionTick{10};
// 8 polls per second, of about 300 bytes each, keep engine polling within the 2 KB/s for control.
constexpr Milliseconds kPollInterval{125};
constexpr Milliseconds kOrderConfigInterval{1000};

class RunningTraffic final : public Traffic {
 public:
  RunningTraffic(const Settings& settings, const TrafficDependencies& dependencies)
      : m_dependencies(dependencies),
        m_engines(MakeHttpEngineClient()),
        m_services(MakeHttpServiceClient()),
        m_admission(MakeAdmissionController(*dependencies.clock)),
        m_selector(dependencies.make_selector ? dependencies.make_selector()
                                              : MakeChainSelector(MakeSystemRandom())),
        m_poller(dependencies.control, m_engines.get(), m_selector.get(), dependencies.control,
                 dependencies.clock),
        m_committer(MakeOrderCommitter(dependencies.kv, dependencies.clock, CommitterOptions())),
        m_forwarder(dependencies.make_forwarder ? dependencies.make_forwarder(m_committer.get())
                                                : MakeLocalClaimForwarder(m_committer.get())) {
    m_runner = MakePipelineRunner(PipelineParts(settings));
    m_orders = MakeOrderService(OrderParts());
    m_server_options.address = settings.caller.address;
    m_server_options.max_header_bytes = static_cast<size_t>(settings.caller.max_header_bytes);
    m_server_options.max_stream_buffer_bytes =
        static_cast<size_t>(settings.caller.max_stream_buffer_bytes);
  }

  ~RunningTraffic() override { Stop(); }

  Result<void> Start() override {
    Result<std::unique_ptr<CallerServer>> server =
        MakeCallerServer(m_server_options, GatewayParts());
    if (!server) {
      return server.error();
    }
    m_server = std::move(server.value());
    m_admission_tick = std::make_unique<PeriodicTask>(
        kAdmissionTick, [this] { m_admission->Tick(m_dependencies.clock->Now()); });
    m_poll_tick = std::make_unique<PeriodicTask>(kPollInterval, [this] { m_poller.PollNext(); });
    m_config_tick = std::make_unique<PeriodicTask>(kOrderConfigInterval, [this] { ApplyPreset(); });
    return boost::outcome_v2::success();
  }

  std::string Address() const override { return m_server->Address(); }
  void BeginDrain() override { m_server->BeginDrain(); }
  int InProgress() const override { return m_server ? m_server->InProgress() : 0; }
  EngineClient* Engines() override { return m_engines.get(); }
  int FlushOrders(TimePoint deadline) override { return m_orders->Flush(deadline); }

  void Stop() override {
    m_config_tick.reset();
    m_poll_tick.reset();
    m_admission_tick.reset();
    if (m_server) {
      m_server->Stop();
    }
  }

 private:
  PipelineDependencies PipelineParts(const Settings& settings) {
    PipelineDependencies parts;
    parts.snapshots = m_dependencies.control;
    parts.engines = m_engines.get();
    parts.selector = m_selector.get();
    parts.admission = m_admission.get();
    parts.upstream_listener = m_dependencies.control;
    parts.events = m_dependencies.events;
    parts.metrics = m_dependencies.metrics;
    parts.clock = m_dependencies.clock;
    parts.resume_key = settings.peer.key;
    return parts;
  }

  OrderServiceDependencies OrderParts() {
    OrderServiceDependencies parts;
    parts.client = m_services.get();
    parts.forwarder = m_forwarder.get();
    parts.clock = m_dependencies.clock;
    parts.random = MakeSystemRandom();
    parts.take_retry = [this](const std::string& target) {
      return m_admission->TakeRetry(target, m_dependencies.clock->Now());
    };
    parts.metrics = m_dependencies.metrics;
    parts.events = m_dependencies.events;
    return parts;
  }

  GatewayDependencies GatewayParts() {
    GatewayDependencies parts;
    parts.snapshots = m_dependencies.control;
    parts.admission = m_admission.get();
    parts.runner = m_runner.get();
    parts.orders = m_orders.get();
    parts.refusals = m_dependencies.refusals;
    parts.events = m_dependencies.events;
    parts.metrics = m_dependencies.metrics;
    parts.clock = m_dependencies.clock;
    parts.not_ready_reason = [this]() -> std::optional<std::string> {
      const Readiness readiness = m_dependencies.control->CurrentReadiness();
      if (readiness.ready) {
        return std::nullopt;
      }
      return readiness.message;
    };
    return parts;
  }

  // Carries what the preset says about orders and engines to the modules that prepare for it.
  void ApplyPreset() {
    const std::shared_ptr<const Snapshot> snapshot = m_dependencies.control->Current();
    if (snapshot->preset == nullptr || snapshot->topology_revision == m_applied_topology) {
      return;
    }
    m_applied_topology = snapshot->topology_revision;
    const OrderSpec& orders = snapshot->preset->orders;
    m_committer->Configure(orders.shards, Milliseconds(orders.retention).count());
    m_selector->Prepare(*snapshot, m_dependencies.clock->Now());
  }

  const TrafficDependencies m_dependencies;
  CallerServerOptions m_server_options;
  std::unique_ptr<EngineClient> m_engines;
  std::unique_ptr<ServiceClient> m_services;
  std::unique_ptr<AdmissionController> m_admission;
  std::unique_ptr<ChainSelector> m_selector;
  UpstreamPoller m_poller;
  std::unique_ptr<OrderCommitter> m_committer;
  std::unique_ptr<ClaimForwarder> m_forwarder;
  std::unique_ptr<PipelineRunner> m_runner;
  std::unique_ptr<OrderService> m_orders;
  uint64_t m_applied_topology = 0;  // Owned by the configuration tick.
  std::unique_ptr<PeriodicTask> m_admission_tick;
  std::unique_ptr<PeriodicTask> m_poll_tick;
  std::unique_ptr<PeriodicTask> m_config_tick;
  std::unique_ptr<CallerServer> m_server;
};

}  // namespace

std::unique_ptr<Traffic> MakeTraffic(const Settings& settings,
                                     const TrafficDependencies& dependencies) {
  return std::make_unique<RunningTraffic>(settings, dependencies);
}

}  // namespace azuregw
