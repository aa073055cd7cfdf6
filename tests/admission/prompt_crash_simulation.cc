// Requests, engines and the exchange of evidence.

#include "tests/admission/prompt_crash_simulation.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "azuregw/admission/prompt_quarantine.h"
#include "azuregw/base/random.h"

namespace azuregw {
namespace {

constexpr Milliseconds kStep{10};
constexpr Milliseconds kEventInterval{40};
constexpr int kEvents = 30;
constexpr int kMaxSends = 2;
constexpr PartId kSystemPart = 1;
constexpr PartId kBadPart = 2;
constexpr PartId kFirstWorkspacePart = 100;  // One for each of kWorkspaces.
constexpr PartId kFirstSessionPart = 1000;   // Each used by a few requests.
constexpr uint64_t kWorkspaces = 10;

struct Engine {
  ProcessId process = 0;
  TimePoint up_at;
};

struct Stream {
  size_t instance = 0;
  size_t engine = 0;
  std::vector<PartId> parts;
  TimePoint begins_at;  // The engine begins to write.
  TimePoint sent_at;
  int sends = 1;
  int events = 0;
  bool crashed = false;
  bool ended = false;
};

class Simulation {
 public:
  explicit Simulation(const PromptCrashOptions& options)
      : m_options(options), m_random(MakeRandom(options.seed)) {
    for (int i = 0; i < options.instances; ++i) {
      m_instances.push_back(std::make_unique<PromptQuarantine>());
      m_sent_own.push_back(std::nullopt);
      m_received.push_back(0);
    }
    m_engines.resize(static_cast<size_t>(options.engines));
    for (Engine& engine : m_engines) {
      engine.process = ++m_processes;
    }
  }

  PromptCrashResult Run() {
    const TimePoint end = m_now + m_options.duration;
    m_bad_from = m_now + m_options.bad_from;
    TimePoint exchange_at = m_now;
    TimePoint loss_at = m_now + m_options.domain_loss_interval;
    TimePoint restart_at = m_now + m_options.restart_interval;
    while (m_now < end) {
      Arrive(m_options.requests_per_s, false);
      if (m_now >= m_bad_from) {
        Arrive(m_options.bad_per_s, true);
      }
      if (Happens(m_options.ordinary_crashes_per_s)) {
        Exit(PickEngine());
      }
      if (m_options.domain_loss_interval.count() > 0 && m_now >= loss_at) {
        loss_at += m_options.domain_loss_interval;
        const size_t domain = m_random->Below(3);
        for (size_t i = domain; i < m_engines.size(); i += 3) {
          Exit(i);
        }
      }
      if (m_options.restart_interval.count() > 0 && m_now >= restart_at) {
        restart_at += m_options.restart_interval;
        Restart(m_random->Below(3) == 0 ? m_leader : m_random->Below(m_instances.size()));
      }
      WriteEvents();
      if (m_now >= exchange_at) {
        exchange_at += m_options.exchange_delay;
        Exchange();
      }
      CountQuarantined();
      m_now += kStep;
    }
    m_result.sound_parts = static_cast<int>(m_sound_parts.size());
    m_result.quarantined_sound_parts = static_cast<int>(m_quarantined.size());
    m_result.sound_blocked_share = static_cast<double>(m_result.sound_blocked) /
                                   static_cast<double>(std::max<int64_t>(1, m_requests));
    m_result.sound_begun_share = m_late_requests == 0 ? 1
                                                      : static_cast<double>(m_late_begun) /
                                                            static_cast<double>(m_late_requests);
    return m_result;
  }

 private:
  bool Happens(double per_s) {
    return m_random->Unit() < per_s * std::chrono::duration<double>(kStep).count();
  }
  bool Up(const Engine& engine) const { return m_now >= engine.up_at; }
  size_t PickEngine() {
    // Callers avoid engines that are down.
    for (int i = 0; i < 50; ++i) {
      const bool busy = m_random->Below(10) > 0;
      const size_t engine = busy ? m_random->Below(static_cast<uint64_t>(m_options.busy_engines))
                                 : m_random->Below(m_engines.size());
      if (Up(m_engines[engine])) {
        return engine;
      }
    }
    for (size_t i = 0; i < m_engines.size(); ++i) {
      if (Up(m_engines[i])) {
        return i;
      }
    }
    return m_engines.size();
  }

  void Arrive(double per_s, bool bad) {
    // Several requests may arrive in one step.
    for (double rest = per_s * std::chrono::duration<double>(kStep).count(); rest > 0; rest -= 1) {
      if (m_random->Unit() >= rest) {
        continue;
      }
      Stream stream;
      stream.instance = m_random->Below(m_instances.size());
      stream.parts = {kSystemPart, kFirstWorkspacePart + m_random->Below(kWorkspaces)};
      if (m_random->Below(4) == 0) {
        // A session of some requests within seconds.
        const auto session = static_cast<uint64_t>((m_now - TimePoint()) / Milliseconds(3000));
        stream.parts.push_back(kFirstSessionPart + session * 100 + m_random->Below(20));
      }
      m_sound_parts.insert(stream.parts.begin(), stream.parts.end());
      if (bad) {
        stream.parts.insert(stream.parts.begin() + 1, kBadPart);
      }
      const bool late = m_fifth_exit && m_now > *m_fifth_exit + 2 * m_options.stable_window;
      const bool sent = Send(std::move(stream));
      m_requests += bad ? 0 : 1;
      if (!bad && late) {
        ++m_late_requests;
        m_late_begun += sent ? 1 : 0;
      }
    }
  }

  // Returns whether the request was sent to an engine.
  bool Send(Stream stream) {
    PromptQuarantine& quarantine = *m_instances[stream.instance];
    const bool bad = Bad(stream);
    if (quarantine.Check(stream.parts, stream.crashed, m_now)) {
      m_result.sound_blocked += bad ? 0 : 1;
      return false;
    }
    stream.engine = PickEngine();
    if (stream.engine >= m_engines.size()) {
      return false;
    }
    quarantine.OnSent(stream.parts, m_now);
    if (bad && m_fifth_exit && m_now > *m_fifth_exit + m_options.stable_window &&
        InTouch(stream.instance)) {
      ++m_result.bad_sends_after_window;
    }
    stream.sent_at = m_now;
    stream.begins_at = m_now + Milliseconds(30 + static_cast<int64_t>(m_random->Below(300)));
    stream.events = 0;
    m_streams.push_back(std::move(stream));
    return true;
  }
  static bool Bad(const Stream& stream) {
    return std::find(stream.parts.begin(), stream.parts.end(), kBadPart) != stream.parts.end();
  }
  bool InTouch(size_t instance) const {
    const auto restarted = m_restarted.find(instance);
    return restarted == m_restarted.end() || m_now - restarted->second > m_options.stable_window;
  }

  void WriteEvents() {
    for (size_t i = 0; i < m_streams.size(); ++i) {
      Stream& stream = m_streams[i];
      if (stream.ended || m_now < stream.begins_at) {
        continue;
      }
      if (Bad(stream)) {
        ++m_result.bad_crashes;
        if (m_result.bad_crashes == 5) {
          m_fifth_exit = m_now;
        }
        Exit(stream.engine);
        continue;
      }
      const int events = static_cast<int>((m_now - stream.begins_at) / kEventInterval);
      if (stream.events < PromptQuarantine::kProofEvents &&
          events >= PromptQuarantine::kProofEvents) {
        m_instances[stream.instance]->OnAnswer(stream.parts, m_now);
      }
      stream.events = events;
      stream.ended = events >= kEvents;
    }
    m_streams.erase(std::remove_if(m_streams.begin(), m_streams.end(),
                                   [](const Stream& stream) { return stream.ended; }),
                    m_streams.end());
  }

  // Ends an engine and all streams on it; they are sent once more.
  void Exit(size_t engine) {
    if (engine >= m_engines.size() || !Up(m_engines[engine])) {
      return;
    }
    const ProcessId process = m_engines[engine].process;
    m_engines[engine].process = ++m_processes;
    m_engines[engine].up_at =
        m_now + Milliseconds(1500 + static_cast<int64_t>(m_random->Below(5000)));
    std::vector<Stream> again;
    for (Stream& stream : m_streams) {
      if (stream.ended || stream.engine != engine) {
        continue;
      }
      stream.ended = true;
      if (stream.events <= PromptQuarantine::kMaxEventsAtCrash) {
        // Busy instances notice the end of a connection up to 50 ms late.
        const TimePoint noticed = m_now + Milliseconds(m_random->Below(50));
        m_instances[stream.instance]->OnCrash(stream.parts, process, noticed, noticed);
        stream.crashed = true;
      }
      if (stream.sends < kMaxSends) {
        again.push_back(stream);
      }
    }
    for (Stream& stream : again) {
      stream.ended = false;
      ++stream.sends;
      Send(std::move(stream));
    }
  }

  void Restart(size_t instance) {
    m_instances[instance] = std::make_unique<PromptQuarantine>();
    m_sent_own[instance].reset();
    m_received[instance] = 0;
    m_restarted[instance] = m_now;
    for (Stream& stream : m_streams) {
      stream.ended = stream.ended || stream.instance == instance;
    }
    if (instance == m_leader) {
      // The next leader knows nothing of what the others have sent to the last one.
      m_leader = (m_leader + 1) % m_instances.size();
      std::fill(m_sent_own.begin(), m_sent_own.end(), std::nullopt);
      std::fill(m_received.begin(), m_received.end(), 0);
    }
  }

  // Reports to the leader and its updates, as the sync sessions do.
  void Exchange() {
    PromptQuarantine& leader = *m_instances[m_leader];
    for (size_t i = 0; i < m_instances.size(); ++i) {
      if (i != m_leader) {
        leader.Merge(m_sent_own[i] ? m_instances[i]->OwnEvidenceSince(*m_sent_own[i], m_now)
                                   : m_instances[i]->EvidenceSince(0, m_now),
                     m_now);
        m_sent_own[i] = m_instances[i]->OwnVersion();
      }
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      if (i != m_leader) {
        m_instances[i]->Merge(leader.EvidenceSince(m_received[i], m_now), m_now);
        m_received[i] = leader.Version();
      }
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      m_instances[i]->SetTrialsAllowed(i == m_leader);
    }
  }

  void CountQuarantined() {
    for (const auto& [part, crashes] : m_instances[m_leader]->Quarantined(m_now)) {
      if (part != kBadPart) {
        m_quarantined.insert(part);
      }
    }
  }

  const PromptCrashOptions m_options;
  const std::unique_ptr<Random> m_random;
  TimePoint m_now{std::chrono::hours(1)};
  TimePoint m_bad_from;
  std::vector<std::unique_ptr<PromptQuarantine>> m_instances;
  std::vector<std::optional<uint64_t>> m_sent_own;  // By instance, as FollowerSession keeps it.
  std::vector<uint64_t> m_received;                 // By instance, as FollowerState keeps it.
  std::map<size_t, TimePoint> m_restarted;
  size_t m_leader = 0;
  std::vector<Engine> m_engines;
  std::vector<Stream> m_streams;
  ProcessId m_processes = 0;
  std::optional<TimePoint> m_fifth_exit;
  int64_t m_requests = 0;  // Sound ones.
  int64_t m_late_requests = 0;
  int64_t m_late_begun = 0;
  std::set<PartId> m_sound_parts;
  std::set<PartId> m_quarantined;  // Sound parts that were quarantined at any time.
  PromptCrashResult m_result;
};

}  // namespace

PromptCrashResult SimulatePromptCrashes(const PromptCrashOptions& options) {
  return Simulation(options).Run();
}

}  // namespace azuregw
