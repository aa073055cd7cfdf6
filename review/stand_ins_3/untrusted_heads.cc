// Case 11: callers that the operator does not control send requests of legal size, with heads of
// many short fields and bodies that stop one byte short, and stay.
//
// Usage: untrusted_heads RECORD

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/net/endpoint.h"
#include "review/stand_ins_3/deployment.h"
#include "tests/support/hostile_caller.h"

namespace azuregw::review {
namespace {

constexpr int kCallers = 2400;
constexpr int kOtherDescriptors = 200;
// Below the limit of the head, 16,384 bytes.
constexpr size_t kHeadBytes = 16200;
constexpr uint64_t kBodyBytes = 4096;
constexpr Milliseconds kAttackLimit{8000};
// Ordinary callers that send one order after the other, each on a connection of its own. An order
// takes as long as the longest ones of the site.
constexpr int kOrdinary = 20;
constexpr Milliseconds kWork{110};
constexpr Milliseconds kPauseStep{5};
constexpr Milliseconds kCalm{1500};
constexpr Milliseconds kAfter{3000};
constexpr Milliseconds kMemoryCheckInterval{5};
// The rule: not more than this many times.
constexpr int kMaxLost = 3;

std::string Head() {
  std::string head = "POST /order/x HTTP/1.1\r\nHost: " + std::string(kHost) +
                     "\r\nX-Request-Id: untrusted\r\nX-Deadline-Ms: 2500\r\nContent-Length: " +
                     std::to_string(kBodyBytes) + "\r\n";
  while (head.size() < kHeadBytes) {
    head += "a:\r\n";
  }
  return head + "\r\n";
}

class Case {
 public:
  explicit Case(const std::string& record) : m_deployment(m_options, record) {}

  int Run() {
    if (!MayOpen(kCallers + kOtherDescriptors) || !m_deployment.StartStore()) {
      return kNotRun;
    }
    const auto engine = m_deployment.Serve(10, [this](const fakes::StandInRequest& request,
                                                      std::shared_ptr<fakes::StandInReply> reply) {
      Serve(request, std::move(reply));
    });
    if (engine == nullptr) {
      return kNotRun;
    }
    m_deployment.Store()->Put(
        "servers/i-1", PlainEntry(EndpointText(m_deployment.Address(10, 8201)), 1, 1).dump());
    m_deployment.Store()->Put("op/config", PlainConfig(1).dump());
    if (!m_deployment.StartInstances()) {
      return kNotRun;
    }
    CheckMemory();
    m_pauses.resize(kOrdinary);
    for (int i = 0; i < kOrdinary; ++i) {
      SendLater(i);
    }
    m_deployment.RunFor(kCalm);
    m_deployment.Record(std::to_string(m_answered) + " orders answered, peak of the memory " +
                        std::to_string(m_peak_mb) + " MB of " +
                        std::to_string(m_options.memory_mb));
    if (WithTrouble()) {
      Attack();
    }
    m_deployment.RunFor(kAfter);
    m_ends = true;
    m_deployment.RunFor(2 * kWork);
    m_deployment.Record(std::to_string(m_answered) + " orders answered, peak of the memory " +
                        std::to_string(m_peak_mb) + " MB of " +
                        std::to_string(m_options.memory_mb));
    m_deployment.Record(std::to_string(m_lost) +
                        " orders of kept connections reached the engine, and their connections "
                        "were closed without an answer");
    return m_lost > kMaxLost ? kBroken : kHeld;
  }

 private:
  void Serve(const fakes::StandInRequest& request, std::shared_ptr<fakes::StandInReply> reply) {
    const std::string id(request["X-Request-Id"]);
    m_runs.insert(id);
    m_work.push_back(m_deployment.Loop()->After(kWork, [id, reply] {
      reply->Whole(200, {{"X-Request-Id", id}, {"X-Response-Seal", "seal"}}, "done " + id);
    }));
  }

  // Callers pause for different times between their orders.
  void SendLater(int caller) {
    m_pauses[static_cast<size_t>(caller)] = m_deployment.Loop()->After(
        kPauseStep * (1 + caller), [this, caller] { SendOrder(caller); });
  }

  void SendOrder(int caller) {
    const std::string id = "order-" + std::to_string(++m_sent);
    // The first order of each caller opens its connection.
    const bool kept = m_sent > kOrdinary;
    m_deployment.Send(0, {"/order/x", id, "deposit of " + id, 2500, true},
                      [this, id, kept, caller](const Answer& answer) {
                        if (answer.status != 0) {
                          ++m_answered;
                        } else if (kept && m_runs.count(id) > 0) {
                          ++m_lost;
                          m_deployment.Record(id + " ran and got no answer: " + answer.reason);
                        }
                        if (!m_ends && !m_killed) {
                          SendLater(caller);
                        }
                      });
  }

  // Does what the platform does: a process that exceeds its memory is killed.
  void CheckMemory() {
    m_memory_timer = m_deployment.Loop()->After(kMemoryCheckInterval, [this] {
      m_peak_mb = std::max(m_peak_mb, testing::PeakMemoryMb(m_deployment.Instance(0)->pid()));
      if (!m_killed && m_peak_mb > m_options.memory_mb) {
        m_killed = true;
        m_deployment.Record("the process has " + std::to_string(m_peak_mb) +
                            " MB of memory, over the limit, and is killed");
        m_deployment.Instance(0)->Kill();
        return;
      }
      CheckMemory();
    });
  }

  void Attack() {
    const testing::HostileRequest request{Head(), std::string(kBodyBytes - 1, 'x'), kBodyBytes - 1};
    m_deployment.Record(std::to_string(kCallers) + " callers send a head of " +
                        std::to_string(request.head.size()) + " bytes and " +
                        std::to_string(kBodyBytes - 1) + " bytes of a body of " +
                        std::to_string(kBodyBytes) + ", and stay");
    for (int i = 0; i < kCallers; ++i) {
      m_callers.push_back(
          testing::MakeHostileCaller(m_deployment.Io(), m_deployment.CallerAddress(0), request));
    }
    m_deployment.Until(
        [this] {
          return std::all_of(m_callers.begin(), m_callers.end(),
                             [](const auto& caller) { return caller->Finished(); });
        },
        kAttackLimit);
    m_deployment.Record("all callers have sent their bytes or were closed");
  }

  const DeploymentOptions m_options;
  Deployment m_deployment;
  std::set<std::string> m_runs;
  std::vector<std::unique_ptr<Timer>> m_work;
  std::vector<std::unique_ptr<testing::HostileCaller>> m_callers;
  std::unique_ptr<Timer> m_memory_timer;
  std::vector<std::unique_ptr<Timer>> m_pauses;  // By caller.
  int m_sent = 0;
  int m_answered = 0;
  int m_lost = 0;
  int m_peak_mb = 0;
  bool m_killed = false;
  bool m_ends = false;
};

}  // namespace
}  // namespace azuregw::review

int main(int argc, char** argv) {
  return argc == 2 ? azuregw::review::Case(argv[1]).Run() : azuregw::review::kNotRun;
}
