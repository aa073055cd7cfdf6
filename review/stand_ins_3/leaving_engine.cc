// Case 13: the instance that leads is lost at the moment at which an engine leaves without
// reporting that it drains. The other instances run undisturbed, and so does the store.
//
// Usage: leaving_engine RECORD

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/net/endpoint.h"
#include "review/stand_ins_3/deployment.h"

namespace azuregw::review {
namespace {

constexpr int kInstances = 4;
constexpr int kEngines = 3;
// Bound and the longest loss of a machine as in the site file that the claim names.
constexpr int kDrainMs = 3000;
constexpr Milliseconds kDown{3500};
// The engine serves for drainMs after its leaving, and a little longer.
constexpr Milliseconds kExitAfter{kDrainMs + 600};
constexpr Milliseconds kWork{60};
constexpr Milliseconds kHeartbeat{1200};
// Time for which all instances run before the trouble; more than stableWindowMs.
constexpr Milliseconds kCalm{6000};
constexpr Milliseconds kOrderInterval{15};

// Plain engine that registers itself in the store.
class Engine {
 public:
  Engine(Deployment* deployment, int number)
      : m_deployment(deployment), m_id("i-" + std::to_string(number)), m_host(10 + number) {}

  bool Start() {
    m_server = m_deployment->Serve(m_host, [this](const fakes::StandInRequest& request,
                                                  std::shared_ptr<fakes::StandInReply> reply) {
      Handle(request, std::move(reply));
    });
    Register();
    return m_server != nullptr;
  }
  // Its entry is removed; it never reports that it drains.
  void Leave() {
    m_heartbeat.reset();
    m_deployment->Store()->Remove("servers/" + m_id);
    m_left_at = m_deployment->Loop()->Now();
    m_deployment->Record(m_id + " leaves: its entry is removed from the store");
    m_exit = m_deployment->Loop()->After(kExitAfter, [this] {
      m_deployment->Record(m_id + " exits, " + std::to_string(m_running.size()) +
                           " orders are running");
      m_running.clear();
      m_server.reset();
    });
  }
  int LateOrders() const { return m_late; }

 private:
  void Handle(const fakes::StandInRequest& request, std::shared_ptr<fakes::StandInReply> reply) {
    const std::string id(request["X-Request-Id"]);
    if (m_left_at) {
      const auto since =
          std::chrono::duration_cast<Milliseconds>(m_deployment->Loop()->Now() - *m_left_at);
      if (since.count() > kDrainMs) {
        ++m_late;
        m_deployment->Record("run: " + id + " reaches " + m_id + " " +
                             std::to_string(since.count()) + " ms after its leaving (bound " +
                             std::to_string(kDrainMs) + ")");
      }
    }
    m_running[id] = m_deployment->Loop()->After(kWork, [this, id, reply] {
      reply->Whole(200, {{"X-Request-Id", id}, {"X-Response-Seal", "seal"}}, "done " + id);
      m_done.push_back(std::move(m_running[id]));
      m_running.erase(id);
    });
  }
  void Register() {
    m_deployment->Store()->Put(
        "servers/" + m_id,
        PlainEntry(EndpointText(m_deployment->Address(m_host, 8201)), 1, ++m_sequence).dump());
    m_heartbeat = m_deployment->Loop()->After(kHeartbeat, [this] { Register(); });
  }

  Deployment* const m_deployment;
  const std::string m_id;
  const int m_host;
  std::unique_ptr<fakes::StandInServer> m_server;
  std::unique_ptr<Timer> m_heartbeat;
  std::unique_ptr<Timer> m_exit;
  std::map<std::string, std::unique_ptr<Timer>> m_running;
  std::vector<std::unique_ptr<Timer>> m_done;  // Timers must outlive their callbacks.
  uint64_t m_sequence = 0;
  std::optional<TimePoint> m_left_at;
  int m_late = 0;
};

int Run(const std::string& record) {
  DeploymentOptions options;
  options.instances = kInstances;
  options.drain_ms = kDrainMs;
  Deployment deployment(options, record);
  if (!deployment.StartStore()) {
    return kNotRun;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(&deployment, i));
    if (!engines.back()->Start()) {
      return kNotRun;
    }
  }
  deployment.Store()->Put("op/config", PlainConfig(1).dump());
  if (!deployment.StartInstances()) {
    return kNotRun;
  }
  deployment.RunFor(kCalm);
  const int leader = deployment.Leader();
  if (leader < 0) {
    return kNotRun;
  }
  deployment.Record("front-" + std::to_string(leader + 1) + " leads");
  // Orders to the others, which are in touch all the time.
  std::map<int, int> answers;
  int sent = 0;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Timer> restart;
  std::function<void()> send = [&] {
    const int instance = (leader + 1 + sent % (kInstances - 1)) % kInstances;
    const std::string id = "order-" + std::to_string(++sent);
    deployment.Send(instance, {"/order/x", id, "deposit of " + id}, [&, id](const Answer& answer) {
      ++answers[answer.status];
      if (answer.status != 200) {
        deployment.Record(id + " answered " + std::to_string(answer.status) + " " + answer.body);
      }
    });
    timer = deployment.Loop()->After(kOrderInterval, send);
  };
  send();
  deployment.RunFor(Milliseconds(1000));
  if (WithTrouble()) {
    deployment.Record("front-" + std::to_string(leader + 1) + " is killed");
    deployment.Instance(leader)->Kill();
    restart = deployment.Loop()->After(kDown, [&] {
      deployment.Record("front-" + std::to_string(leader + 1) + " is started again");
      deployment.StartInstance(leader);
    });
  }
  deployment.RunFor(Milliseconds(100));
  engines[0]->Leave();
  deployment.RunFor(kExitAfter + Milliseconds(2000));
  timer.reset();
  deployment.RunFor(Milliseconds(2600));
  std::string counts;
  for (const auto& [status, count] : answers) {
    counts += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  deployment.Record("answers by status:" + counts);
  deployment.Record(std::to_string(engines[0]->LateOrders()) +
                    " orders reached the engine later than drainMs after its leaving");
  return engines[0]->LateOrders() > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace azuregw::review

int main(int argc, char** argv) {
  return argc == 2 ? azuregw::review::Run(argv[1]) : azuregw::review::kNotRun;
}
