// Assembly, faults, callers and judgement.

#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "azuregw/base/event_loop.h"
#include "azuregw/base/random.h"
#include "azuregw/net/endpoint.h"
#include "azuregw/net/http_client.h"
#include "tests/fakes/platform_store.h"
#include "tests/fakes/platform_upstreams.h"
#include "tests/soak/fault_link.h"
#include "tests/support/hostile_caller.h"
#include "tests/support/process.h"

namespace azuregw::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using fakes::PlatformStore;
using fakes::PlatformUpstream;
using fakes::UpstreamTrouble;

constexpr int kUpstreamsPerDomain = 4;  // Two engines of each kind.
constexpr int kDomains = 2;
constexpr Milliseconds kStartTime{4500};
constexpr Milliseconds kCallInterval{25};
constexpr Milliseconds kFaultInterval{700};
// A caller's deadline, and how much later an answer of a process that runs may come.
constexpr Milliseconds kDeadline{4000};
constexpr Milliseconds kDeadlineSlack{1500};
// The bound of the settings, and the time that the way of an answer may take on a busy machine.
constexpr Milliseconds kKeyRemoval{5000};
constexpr Milliseconds kKeySlack{500};
constexpr Milliseconds kBackupDelay{1500};
constexpr int kFinalCalls = 40;
// Requests with a bad part or body that may reach upstreams later than the window after the last
// crash allowed. An instance counts once it has been undisturbed for the window.
constexpr int kMaxBadPartSends = 3;
constexpr Milliseconds kStableWindow{3000};
// Memory of an instance amid callers that send without end, of which each sends this much at most.
constexpr int kMemoryMb = 128;
constexpr uint64_t kHostileBytes = uint64_t{200} << 20;
// A slow caller reads nothing for this time.
constexpr Milliseconds kSlowReadPause{300};

struct Instance {
  std::string name;
  std::string ip;
  std::string settings_path;
  std::string log_path;
  std::unique_ptr<FaultLink> store_link;
  std::unique_ptr<testing::Process> process;
  TimePoint paused_until;
  TimePoint disturbed_until;  // Killed, stopped or paused: its callers may get no answer.
  bool stopping = false;
  TimePoint disturbed_at;  // Last change of its process or of its link to the store.
  TimePoint restarted_at;  // Last start or pause of its process.
};

enum class CallKind { kStream, kOrder, kLook, kBadPart, kBadLook, kLongOrder };

class SoakRun;

// One request of a caller.
class Caller final : public HttpCallHandler {
 public:
  Caller(SoakRun* run, CallKind kind, std::string id, std::string key, Instance* instance);

  void Start();
  bool OnHead(const HttpResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnFailed(const HttpFailure& failure) override;

 private:
  bool IsOrder() const { return m_kind == CallKind::kOrder || m_kind == CallKind::kLongOrder; }
  // Returns the body of the request.
  std::string Request() const;
  void Judge();
  void End(const std::string& outcome);
  // Returns whether the request crashes the upstreams that run it.
  bool IsBad() const { return m_kind == CallKind::kBadPart || m_kind == CallKind::kBadLook; }

  SoakRun* const m_run;
  const CallKind m_kind;
  const std::string m_id;
  const std::string m_key;
  Instance* const m_instance;
  TimePoint m_sent;
  int m_status = 0;
  bool m_sealed = false;
  std::string m_body;
  std::shared_ptr<ClientCall> m_call;
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_slow_read;
};

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : m_options(options), m_random(MakeRandom(options.seed)), m_loop(MakeEventLoop(&m_io)) {
    m_client = MakeHttpClient(&m_io);
    m_journal.on_bad_part = [this](const std::string& id) { OnBadPart(id); };
    m_journal.on_arrival = [this](const std::string& process, const std::string& id) {
      OnArrival(process, id);
    };
    m_journal.on_quota = [this](const std::string& process, const std::string& id,
                                const fakes::Quota& quota) {
      m_quotas[{process, m_senders.at(id).instance}].push_back({quota, m_loop->Now()});
    };
    m_journal.on_bad_part_crash = [this] {
      if (m_journal.bad_part_crashes == (m_options.bad_look ? 3 : 5)) {
        m_last_crash = m_loop->Now();
      }
    };
    m_report.log_directory = testing::MakeTemporaryDirectory();
    // Addresses of their own for each run, so that runs on one machine do not meet.
    m_net = "127." + std::to_string(20 + m_random->Below(200)) + "." +
            std::to_string(m_random->Below(250)) + ".";
  }

  SoakReport Run() {
    if (!StartAll()) {
      m_report.violations.push_back("the soak could not start");
      return m_report;
    }
    Let(kStartTime);
    m_store->BackUp();
    Send();
    const TimePoint end = m_loop->Now() + m_options.faults_for;
    while (m_loop->Now() < end) {
      Let(Milliseconds(static_cast<int64_t>(static_cast<double>(kFaultInterval.count()) *
                                            (0.5 + m_random->Unit()))));
      Fault();
    }
    EndFaults();
    Let(m_options.recovery);
    m_send_timer.reset();
    Let(kDeadline + kDeadlineSlack);
    Finish();
    StopAll();
    JudgeRuns();
    m_report.bad_part_crashes = m_journal.bad_part_crashes;
    return m_report;
  }

  // ---- For callers ----
  TimePoint Now() const { return m_loop->Now(); }
  HttpClient* Client() { return m_client.get(); }
  EventLoop* Loop() { return m_loop.get(); }
  void Violation(const std::string& text) {
    if (m_report.violations.size() < 20) {
      m_report.violations.push_back("+" + std::to_string(SinceStart()) + " ms: " + text);
    }
  }
  void Count(const std::string& outcome, bool good) {
    ++m_report.outcomes[outcome];
    m_good += good ? 1 : 0;
  }
  int Runs(const std::string& id) const {
    const auto found = m_journal.runs.find(id);
    return found == m_journal.runs.end() ? 0 : found->second;
  }
  // A promise that the order has not run, to be checked again at the end.
  void Promised(const std::string& id) { m_promised.insert(id); }
  // Whether `key` may no longer be honoured at `when`.
  bool Revoked(const std::string& key, TimePoint when) const {
    const auto found = m_revoked.find(key);
    return found != m_revoked.end() && when > found->second + kKeyRemoval + kKeySlack;
  }

 private:
  int64_t SinceStart() const {
    return std::chrono::duration_cast<Milliseconds>(m_loop->Now() - m_started).count();
  }
  void Let(Milliseconds time) { m_io.run_for(time); }
  // A request that crashes upstreams has reached one.
  void OnBadPart(const std::string& id) {
    const TimePoint now = m_loop->Now();
    const Instance* const instance = m_senders.at(id).instance;
    const bool counts = m_last_crash && now > *m_last_crash + kStableWindow &&
                        now > instance->disturbed_at + kStableWindow &&
                        now > m_store_disturbed_at + kStableWindow;
    if (counts && ++m_report.bad_part_sends > kMaxBadPartSends) {
      Violation(id + ", which crashes upstreams, reached one from " + instance->name);
    }
  }
  // A request has reached a process of an upstream, which may have stated quotas.
  void OnArrival(const std::string& process, const std::string& id) {
    const Sender& sender = m_senders.at(id);
    for (StatedQuota& stated : m_quotas[{process, sender.instance}]) {
      const fakes::Quota& quota = stated.quota;
      // A leaving binds the requests that callers send later, without the store, too.
      const bool leaving = quota.requests == 0;
      const TimePoint when = leaving ? sender.sent : m_loop->Now();
      const TimePoint disturbed =
          leaving ? sender.instance->restarted_at : sender.instance->disturbed_at;
      if (disturbed < stated.when && when > stated.when + quota.from &&
          when < stated.when + quota.until && ++stated.requests > quota.requests) {
        Violation(id + " reached " + process + " from " + sender.instance->name + ", which " +
                  (leaving ? "knew that it leaves" : "was to wait"));
      }
    }
  }
  tcp::endpoint Address(int group, int number, uint16_t port) const {
    // Groups share the last byte of the address.
    return tcp::endpoint(asio::ip::make_address(m_net + std::to_string(group * 40 + number + 1)),
                         port);
  }

  bool StartAll() {
    m_store = std::make_unique<PlatformStore>(m_loop.get());
    const tcp::endpoint store_address = Address(0, 0, 8223);
    m_store_server = fakes::MakeStandInServer(
        &m_io, store_address,
        [this](const fakes::StandInRequest& request, std::shared_ptr<fakes::StandInReply> reply) {
          m_store->Handle(request, std::move(reply));
        });
    if (m_store_server == nullptr) {
      return false;
    }
    for (int i = 0; i < kUpstreamsPerDomain * kDomains + 2; ++i) {
      fakes::UpstreamSpec spec;
      spec.id = "u" + std::to_string(i);
      spec.failure_domain = i % kDomains == 0 ? "a" : "b";
      spec.address = Address(1, i, 8201);
      const bool engine = i < kUpstreamsPerDomain * kDomains;
      spec.framed = !m_options.hard_transfers || m_random->Below(2) == 0;
      spec.service = engine ? "model" : "orders";
      spec.accelerator = !engine ? "" : i % 4 < 2 ? "fast" : "slow";
      auto upstream = std::make_unique<PlatformUpstream>(&m_io, m_loop.get(), m_store.get(),
                                                         &m_peers, &m_journal, std::move(spec));
      m_peers[upstream->Address()] = upstream.get();
      if (!upstream->Start()) {
        return false;
      }
      m_upstreams.push_back(std::move(upstream));
    }
    m_keys = {"key-0"};
    WriteConfig();
    for (int i = 0; i < m_options.instances; ++i) {
      auto instance = std::make_unique<Instance>();
      instance->name = "gw-" + std::to_string(i);
      instance->ip = Address(2, i, 0).address().to_string();
      instance->settings_path = m_report.log_directory + "/" + instance->name + ".toml";
      instance->log_path = m_report.log_directory + "/" + instance->name + ".log";
      const tcp::endpoint link = Address(3, i, 8223);
      instance->store_link = MakeFaultLink(&m_io, m_loop.get(), link, store_address);
      if (instance->store_link == nullptr) {
        return false;
      }
      std::string settings = fakes::PlatformSettings(instance->name, i % 2 == 0 ? "a" : "b",
                                                     instance->ip, EndpointText(link));
      const std::string section = "[limits]\n";
      settings.insert(settings.find(section) + section.size(),
                      "memoryMb = " + std::to_string(kMemoryMb) + "\n");
      std::ofstream(instance->settings_path) << settings;
      m_instances.push_back(std::move(instance));
      StartInstance(m_instances.back().get());
    }
    return true;
  }

  void StartInstance(Instance* instance) {
    setenv("AZUREGW_NODE_FILE", instance->settings_path.c_str(), 1);
    instance->process = testing::Process::Start({AZUREGW_BINARY, "gateway"}, instance->log_path);
    instance->stopping = false;
    instance->paused_until = TimePoint();
    instance->disturbed_at = m_loop->Now();
    instance->restarted_at = m_loop->Now();
  }

  void WriteConfig() {
    ++m_version;
    PutConfig();
  }
  // Replaces the key of the callers by another one.
  void RemoveKey() {
    m_last_revoked = m_keys.front();
    m_revoked[m_last_revoked] = m_loop->Now();
    m_keys = {"key-" + std::to_string(m_version)};
    WriteConfig();
  }
  void PutConfig() { m_store->Put("op/config", fakes::PlatformConfig(m_version, m_keys)); }

  void Send() {
    m_send_timer = m_loop->After(kCallInterval, [this] {
      Call();
      Send();
    });
  }
  void Call() {
    Instance* const instance = m_instances[m_random->Below(m_instances.size())].get();
    const bool bad_part = m_options.bad_part && m_random->Below(15) == 0;
    const bool bad_look = m_options.bad_look && m_random->Below(15) == 0;
    const uint64_t draw = m_random->Below(10);
    const bool long_order = m_options.hard_transfers && m_random->Below(20) == 0;
    const CallKind kind = bad_part     ? CallKind::kBadPart
                          : bad_look   ? CallKind::kBadLook
                          : long_order ? CallKind::kLongOrder
                          : draw < 5   ? CallKind::kStream
                          : draw < 8   ? CallKind::kOrder
                                       : CallKind::kLook;
    // Some callers go on with a key that was removed.
    const bool old_key = !m_finishing && !m_revoked.empty() && m_random->Below(8) == 0;
    const std::string first_revoked = m_revoked.empty() ? "" : m_revoked.begin()->first;
    const std::string key =
        old_key ? (m_options.hard_transfers ? m_last_revoked : first_revoked) : m_keys.back();
    const std::string id = "r" + std::to_string(m_next_id++);
    m_senders[id] = {instance, m_loop->Now()};
    m_asked += bad_part || bad_look ? 0 : 1;
    auto caller = std::make_unique<Caller>(this, kind, id, key, instance);
    caller->Start();
    m_callers.push_back(std::move(caller));
  }

  // ---- Faults ----

  void Fault() {
    Instance* const instance = m_instances[m_random->Below(m_instances.size())].get();
    PlatformUpstream* const upstream = m_upstreams[m_random->Below(m_upstreams.size())].get();
    const Milliseconds time(200 + static_cast<int64_t>(m_random->Below(2300)));
    if (m_options.restores && m_random->Below(3) == 0) {
      RestoreStore(time);
      return;
    }
    if (m_options.hard_transfers && HardTransferFault(instance, upstream)) {
      return;
    }
    switch (m_random->Below(11)) {
      case 0:
        Note("kill " + instance->name);
        Kill(instance);
        Later(time, [this, instance] { Restart(instance); });
        break;
      case 1:
        if (instance->process == nullptr) {
          break;
        }
        Note("pause " + instance->name + " " + std::to_string(time.count()) + " ms");
        Disturb(instance, time);
        instance->process->Stop();
        instance->disturbed_at = m_loop->Now() + time;
        instance->restarted_at = m_loop->Now() + time;
        instance->paused_until = m_loop->Now() + time;
        Later(time, [instance] {
          if (instance->process != nullptr) {
            instance->process->Continue();
          }
        });
        break;
      case 2:
        Note("stop " + instance->name);
        StopGracefully(instance);
        break;
      case 3:
        Note("crash " + upstream->Spec().id);
        upstream->Crash();
        Later(time, [upstream] { upstream->Start(); });
        break;
      case 4: {
        constexpr UpstreamTrouble kTroubles[] = {UpstreamTrouble::kMute, UpstreamTrouble::kRefuses,
                                                 UpstreamTrouble::kCuts, UpstreamTrouble::kGarbles};
        const size_t which = m_random->Below(4);
        Note("upstream trouble " + std::to_string(which) + " at " + upstream->Spec().id);
        upstream->SetTrouble(kTroubles[which]);
        Later(time, [upstream] { upstream->SetTrouble(UpstreamTrouble::kNone); });
        break;
      }
      case 5:
        Note("leaving " + upstream->Spec().id);
        upstream->Leave(Milliseconds(3500), time.count() % 2 == 0);
        Later(Milliseconds(3500) + time, [upstream] { upstream->Start(); });
        break;
      case 6: {
        constexpr PlatformStore::Fault kTroubles[] = {
            PlatformStore::Fault::kUnavailable, PlatformStore::Fault::kUnresponsive,
            PlatformStore::Fault::kDropsReplies, PlatformStore::Fault::kSlow,
            PlatformStore::Fault::kHistoryLost};
        const size_t which = m_random->Below(5);
        Note("store trouble " + std::to_string(which));
        m_store->InjectFault(kTroubles[which]);
        m_store_disturbed_at = m_loop->Now() + time;
        Later(time, [this] { m_store->InjectFault(PlatformStore::Fault::kNone); });
        break;
      }
      case 7:
      case 8: {
        constexpr FaultLink::Trouble kTroubles[] = {
            FaultLink::Trouble::kSilent, FaultLink::Trouble::kSilentAnswer,
            FaultLink::Trouble::kDelay, FaultLink::Trouble::kReset};
        const size_t which = m_random->Below(4);
        Note("link trouble " + std::to_string(which) + " at " + instance->name);
        instance->store_link->SetTrouble(kTroubles[which]);
        instance->disturbed_at = m_loop->Now() + time;
        Later(time, [instance] { instance->store_link->SetTrouble(FaultLink::Trouble::kNone); });
        break;
      }
      case 9:
        if (m_options.bad_look) {
          break;  // With another key, the look-up would be another request.
        }
        Note("key removed");
        RemoveKey();
        break;
      default:
        if (m_late_operator) {
          break;  // Nobody would know what the restored store lacks.
        }
        Note("kill all");
        for (const auto& each : m_instances) {
          Kill(each.get());
          Later(Milliseconds(300), [this, one = each.get()] { Restart(one); });
        }
    }
  }

  // The store is away for `time` and comes back from its last copy. The operator writes its
  // configuration again after that, the upstreams with their heartbeats.
  void RestoreStore(Milliseconds time) {
    Note("restore after " + std::to_string(time.count()) + " ms");
    const Milliseconds rewrite(m_random->Below(500));
    m_store->InjectFault(PlatformStore::Fault::kUnresponsive);
    m_store_disturbed_at = m_loop->Now() + time + rewrite;
    Later(time, [this] {
      m_store->Restore();
      m_store->InjectFault(PlatformStore::Fault::kNone);
    });
    Later(time + rewrite, [this] { PutConfig(); });
    Later(time + rewrite + kBackupDelay, [this] { m_store->BackUp(); });
  }

  // Brings about one of the faults of hard transfers, mostly. Returns whether it did.
  bool HardTransferFault(Instance* instance, PlatformUpstream* upstream) {
    if (m_last_revoked.empty()) {
      RestoreForLateOperator();  // First, since its effect shows only seconds later.
      return true;
    }
    switch (m_random->Below(6)) {
      case 0:
        Note("crash amid answers " + upstream->Spec().id);
        upstream->Crash();
        Later(Milliseconds(500), [upstream] { upstream->Start(); });
        return true;
      case 1:
        Note("leaving amid answers " + upstream->Spec().id);
        upstream->Leave(Milliseconds(2600), true);
        Later(Milliseconds(4000), [upstream] { upstream->Start(); });
        return true;
      case 2:
        SendWithoutEnd(instance);
        return true;
      case 3:
        if (!m_late_operator) {
          RestoreForLateOperator();
        }
        return true;
      default:
        return false;
    }
  }

  // Some callers send trailers, chunk extensions or bodies to `instance` without end.
  void SendWithoutEnd(Instance* instance) {
    const std::string head =
        "POST /order/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: hostile\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string piece(65536, 'a');
    const std::vector<testing::HostileRequest> requests = {
        {chunked + "5;a=", piece, kHostileBytes},
        {chunked + "1\r\nx\r\n0\r\nX-Trailer: ", piece, kHostileBytes},
        {head + "Content-Length: 4194304\r\n\r\n", piece, 4194303}};
    const size_t kind = m_random->Below(requests.size());
    Note("callers send without end " + std::to_string(kind) + " to " + instance->name);
    for (int i = 0; i < (kind == 2 ? 40 : 2); ++i) {
      m_hostile.push_back(testing::MakeHostileCaller(
          &m_io, {asio::ip::make_address(instance->ip), fakes::kStandInCallerPort},
          requests[kind]));
    }
  }

  // A key is removed at the moment at which the store is lost. Its copy lacks also the version
  // before, which the instances have. The operator writes seconds after its return.
  void RestoreForLateOperator() {
    Note("restore for a late operator");
    m_late_operator = true;
    m_store->BackUp();
    WriteConfig();
    const Milliseconds away(500 + static_cast<int64_t>(m_random->Below(2000)));
    // Longer than kKeyRemoval after the removal, so that a key that is honoured again shows.
    const Milliseconds rewrite(5500 + static_cast<int64_t>(m_random->Below(1500)));
    constexpr Milliseconds kAdopted{400};
    Later(kAdopted, [this] {
      m_store->InjectFault(PlatformStore::Fault::kUnresponsive);
      RemoveKey();
    });
    m_store_disturbed_at = m_loop->Now() + kAdopted + away + rewrite;
    Later(kAdopted + away, [this] {
      m_store->Restore();
      m_store->InjectFault(PlatformStore::Fault::kNone);
    });
    Later(kAdopted + away + rewrite, [this] {
      PutConfig();
      m_late_operator = false;
    });
  }

  // Records the peak of the memory of a process before it ends.
  void JudgeMemory(const Instance& instance) {
    if (m_options.hard_transfers && instance.process != nullptr) {
      const int peak_mb = testing::PeakMemoryMb(instance.process->pid());
      if (peak_mb > kMemoryMb) {
        Violation(instance.name + " has used " + std::to_string(peak_mb) + " MB of memory");
      }
    }
  }

  void EndFaults() {
    Note("end of faults");
    m_late_operator = false;
    m_hostile.clear();

    m_later.clear();
    PutConfig();
    m_store->InjectFault(PlatformStore::Fault::kNone);
    for (const auto& upstream : m_upstreams) {
      upstream->SetTrouble(UpstreamTrouble::kNone);
      upstream->Crash();
      upstream->Start();
    }
    for (const auto& instance : m_instances) {
      instance->store_link->SetTrouble(FaultLink::Trouble::kNone);
      if (instance->process) {
        instance->process->Continue();
      }
      Restart(instance.get());
      if (instance->stopping) {
        PollStop(instance.get(), m_loop->Now());
      }
    }
  }

  void Note(const std::string& fault) {
    m_report.faults.push_back("+" + std::to_string(SinceStart()) + " ms " + fault);
  }
  void Later(Milliseconds delay, std::function<void()> action) {
    m_later.push_back(m_loop->After(delay, std::move(action)));
  }
  void Disturb(Instance* instance, Milliseconds time) {
    instance->disturbed_until = std::max(instance->disturbed_until, m_loop->Now() + time);
  }
  void Kill(Instance* instance) {
    Disturb(instance, Milliseconds(100));
    JudgeMemory(*instance);
    if (instance->process) {
      instance->process->Kill();
      instance->process.reset();
    }
  }
  // Starts an instance that does not run.
  void Restart(Instance* instance) {
    if (instance->process == nullptr || instance->process->Wait(Milliseconds(0))) {
      StartInstance(instance);
    }
  }
  void StopGracefully(Instance* instance) {
    if (instance->process == nullptr || instance->stopping) {
      return;
    }
    instance->stopping = true;
    instance->disturbed_at = m_loop->Now();
    instance->process->Signal(SIGTERM);
    const TimePoint asked = m_loop->Now();
    PollStop(instance, asked);
  }
  void PollStop(Instance* instance, TimePoint asked) {
    Later(Milliseconds(50), [this, instance, asked] {
      if (instance->process == nullptr || !instance->stopping) {
        return;  // Killed meanwhile.
      }
      if (const auto code = instance->process->Wait(Milliseconds(0))) {
        if (*code != 0) {
          Violation(instance->name + " ended with " + std::to_string(*code) + " after SIGTERM");
        }
        instance->process.reset();
        StartInstance(instance);
        return;
      }
      const bool paused = instance->paused_until + Milliseconds(1000) > m_loop->Now();
      if (!paused && m_loop->Now() - asked > Milliseconds(8000)) {
        Violation(instance->name + " has not ended 8 s after SIGTERM");
        return;
      }
      PollStop(instance, asked);
    });
  }

  // ---- Judgement ----

  void Finish() {
    m_good = 0;
    m_finishing = true;
    m_asked = 0;
    while (m_asked < kFinalCalls) {
      Call();
      Let(kCallInterval);
    }
    Let(kDeadline);
    m_report.asked_at_end = kFinalCalls;
    m_report.served_at_end = m_good;
  }

  void StopAll() {
    for (const auto& instance : m_instances) {
      if (instance->process == nullptr) {
        continue;
      }
      JudgeMemory(*instance);
      instance->process->Signal(SIGTERM);
    }
    Let(Milliseconds(4000));
    for (const auto& instance : m_instances) {
      if (instance->process == nullptr) {
        continue;
      }
      const auto code = instance->process->Wait(Milliseconds(5000));
      if (!code || *code != 0) {
        Violation(instance->name + " did not stop by itself with 0");
      }
      instance->process.reset();
    }
  }

  void JudgeRuns() {
    for (const std::string& id : m_promised) {
      if (Runs(id) > 0) {
        Violation(id + " was said not to have run, but it had");
      }
    }
    for (const auto& upstream : m_upstreams) {
      if (upstream->LateWork() > 0) {
        Violation(upstream->Spec().id + " got work after it had said that it leaves");
      }
    }
  }

  const SoakOptions m_options;
  SoakReport m_report;
  asio::io_context m_io{1};
  const std::unique_ptr<Random> m_random;
  const std::unique_ptr<EventLoop> m_loop;
  const TimePoint m_started = m_loop->Now();
  std::unique_ptr<HttpClient> m_client;
  std::string m_net;
  std::unique_ptr<PlatformStore> m_store;
  std::unique_ptr<fakes::StandInServer> m_store_server;
  PlatformUpstream::Peers m_peers;
  fakes::RunJournal m_journal;
  std::vector<std::unique_ptr<PlatformUpstream>> m_upstreams;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<std::unique_ptr<Timer>> m_later;
  std::vector<std::unique_ptr<testing::HostileCaller>> m_hostile;
  std::unique_ptr<Timer> m_send_timer;
  std::vector<std::string> m_keys;
  // Instance that a request was sent to, and when.
  struct Sender {
    const Instance* instance = nullptr;
    TimePoint sent;
  };
  struct StatedQuota {
    fakes::Quota quota;
    TimePoint when;
    int requests = 0;  // Counted against it.
  };
  std::map<std::string, Sender> m_senders;  // By request ID.
  // By process of an upstream and instance.
  std::map<std::pair<std::string, const Instance*>, std::vector<StatedQuota>> m_quotas;
  // Last crash that the bad part or look-up may cause before all instances refuse it.
  std::optional<TimePoint> m_last_crash;
  TimePoint m_store_disturbed_at;
  int m_asked = 0;  // Requests without the bad part; of the final calls while they are made.
  std::map<std::string, TimePoint> m_revoked;
  std::string m_last_revoked;
  std::set<std::string> m_promised;
  uint64_t m_version = 0;
  int m_next_id = 0;
  int m_good = 0;
  bool m_finishing = false;      // All calls must be served.
  bool m_late_operator = false;  // The restored store lacks what the operator has not written yet.
};

Caller::Caller(SoakRun* run, CallKind kind, std::string id, std::string key, Instance* instance)
    : m_run(run), m_kind(kind), m_id(std::move(id)), m_key(std::move(key)), m_instance(instance) {}

void Caller::Start() {
  HttpRequest request;
  request.method(http::verb::post);
  const bool stream = m_kind == CallKind::kStream || m_kind == CallKind::kBadPart;
  request.target(stream ? "/model/x" : IsOrder() ? "/order/x" : "/look/x");
  request.set(http::field::host, "soak.example");
  request.set("X-Request-Id", m_id);
  request.set("Api-Key", m_key);
  request.set("X-Deadline-Ms", std::to_string(kDeadline.count()));
  request.set("X-Token-Usage", "100," + std::to_string(fakes::kStreamEvents));
  if (stream) {
    // The bad part comes with the same key and the same first part as others.
    const std::string middle = m_kind == CallKind::kBadPart ? fakes::kBadPart : "7a11";
    request.set("X-Prompt-Prefix", "5a5a:40," + middle + ":20," + m_id.substr(1) + ":40");
  }
  request.body() = Request();
  request.prepare_payload();
  HttpCallOptions options;
  options.endpoint =
      tcp::endpoint(asio::ip::make_address(m_instance->ip), fakes::kStandInCallerPort);
  m_sent = m_run->Now();
  m_call = m_run->Client()->Start(options, std::move(request), this);
  m_timer = m_run->Loop()->After(kDeadline + kDeadlineSlack, [this] {
    m_call->Cancel();
    if (m_instance->disturbed_until + kDeadlineSlack < m_sent && m_instance->process != nullptr &&
        m_instance->paused_until < m_sent) {
      m_run->Violation(m_id + " got no answer from " + m_instance->name + ", which runs");
    }
    End("no answer");
  });
}

std::string Caller::Request() const {
  switch (m_kind) {
    case CallKind::kBadLook:
      return fakes::kBadBody;
    case CallKind::kLongOrder:
      return fakes::kLongBody + m_id;
    default:
      return "body of " + m_id;
  }
}

void Caller::OnBody(std::string_view bytes) {
  if (m_kind == CallKind::kLongOrder && m_body.empty()) {
    m_call->Pause();
    m_slow_read = m_run->Loop()->After(kSlowReadPause, [this] { m_call->Resume(); });
  }
  m_body.append(bytes);
}

bool Caller::OnHead(const HttpResponseHead& head) {
  const auto id = head["X-Request-Id"];
  if (!id.empty() && std::string(id.data(), id.size()) != m_id) {
    m_run->Violation(m_id + " got the answer of another request");
  }
  m_status = static_cast<int>(head.result_int());
  m_sealed = head.count("X-Response-Seal") > 0;
  return true;
}

void Caller::OnDone() { Judge(); }

void Caller::OnFailed(const HttpFailure& /*failure*/) {
  // Broken off, or never answered; this promises nothing, but only the end of a process or of its
  // upstream excuses it.
  const bool undisturbed = m_instance->process != nullptr && !m_instance->stopping &&
                           m_instance->restarted_at + kDeadlineSlack < m_sent &&
                           m_instance->disturbed_until < m_sent;
  if (m_kind == CallKind::kLongOrder && m_status == 0 && undisturbed && m_run->Runs(m_id) > 0) {
    m_run->Violation(m_id + " ran, and its connection ended without an answer");
  }
  End(m_status == 0 ? "connection failed" : "broken off");
}

void Caller::Judge() {
  if (m_status == 200 && IsBad()) {
    m_run->Violation(m_id + ", which crashes upstreams, got an answer");
  } else if (m_status == 200) {
    std::string whole = fakes::PlainAnswer(Request());
    if (m_kind == CallKind::kStream) {
      whole.clear();
      for (int i = 1; i <= fakes::kStreamEvents; ++i) {
        whole += "id: " + std::to_string(i) + "\ndata: " + fakes::EventData("body of " + m_id, i) +
                 "\n\n";
      }
    }
    if (m_body != whole || !m_sealed) {
      m_run->Violation(
          m_id + " got a complete answer that is not its own whole one: " + m_body.substr(0, 200));
    }
    if (m_run->Revoked(m_key, m_sent)) {
      m_run->Violation(m_id + " was served with " + m_key + ", which was removed long before");
    }
  }
  if (IsOrder() && m_run->Runs(m_id) > 1) {
    m_run->Violation(m_id + ", an order, ran " + std::to_string(m_run->Runs(m_id)) + " times");
  }
  if (m_status == 503 || m_status == 429 || m_status == 408 || m_status == 421) {
    if (m_run->Runs(m_id) > 0) {
      m_run->Violation(m_id + " was said not to have run, but it has");
    }
    m_run->Promised(m_id);
  }
  End(std::to_string(m_status));
}

void Caller::End(const std::string& outcome) {
  m_timer.reset();
  m_slow_read.reset();
  if (IsBad()) {
    m_run->Count("bad: " + outcome, false);
    return;
  }
  m_run->Count(outcome, outcome == "200");
}

}  // namespace

SoakReport RunSoak(const SoakOptions& options) { return SoakRun(options).Run(); }

}  // namespace azuregw::soak
