// Case 14: callers that the operator does not control take all connections of an instance, each
// with one whole request of legal size, and stay. Ordinary callers come many at once.
//
// Usage: crowded_connections RECORD

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/net/endpoint.h"
#include "review/stand_ins_3/deployment.h"
#include "tests/support/hostile_caller.h"

namespace azuregw::review {
namespace {

// Below the descriptors that sockets of the instance may use, 9,822.
constexpr int kCallers = 7500;
constexpr int kOtherDescriptors = 500;
constexpr size_t kBodyBytes = 8192;
// Ordinary callers that come at once, and how often they do: 20 orders per second.
constexpr int kOrdinary = 40;
constexpr int kRounds = 5;
constexpr Milliseconds kRoundInterval{2000};
// Attempts of an ordinary caller whose connection ends without an answer.
constexpr int kAttempts = 2;
constexpr Milliseconds kOpenInterval{15};
constexpr int kOpenedAtOnce = 50;
// The gate: at most this share of the requests may be refused or fail.
constexpr double kMaxFailed = 0.6;

struct Counts {
  int orders = 0;
  int answered = 0;
  int connections_closed = 0;
};

// Sends an order, and sends it again once if its connection ends without an answer. Each attempt
// has an id of its own.
void SendOrder(Deployment* deployment, int order, int attempt, Counts* counts) {
  const std::string id = "order-" + std::to_string(order) + "-" + std::to_string(attempt);
  deployment->Send(0, {"/order/x", id, "deposit of " + id}, [=](const Answer& answer) {
    if (answer.status != 0) {
      ++counts->answered;
      return;
    }
    ++counts->connections_closed;
    if (attempt < kAttempts) {
      SendOrder(deployment, order, attempt + 1, counts);
    }
  });
}

int Run(const std::string& record) {
  Deployment deployment(DeploymentOptions(), record);
  if (!MayOpen(kCallers + kOtherDescriptors) || !deployment.StartStore()) {
    return kNotRun;
  }
  int runs = 0;
  const auto engine = deployment.Serve(10, [&](const fakes::StandInRequest& request,
                                               const std::shared_ptr<fakes::StandInReply>& reply) {
    ++runs;
    const std::string id(request["X-Request-Id"]);
    reply->Whole(200, {{"X-Request-Id", id}, {"X-Response-Seal", "seal"}}, "done " + id);
  });
  if (engine == nullptr) {
    return kNotRun;
  }
  deployment.Store()->Put("servers/i-1",
                          PlainEntry(EndpointText(deployment.Address(10, 8201)), 1, 1).dump());
  deployment.Store()->Put("op/config", PlainConfig(1).dump());
  if (!deployment.StartInstances()) {
    return kNotRun;
  }
  std::vector<std::unique_ptr<testing::HostileCaller>> callers;
  const auto closed = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->Closed(); });
  };
  if (WithTrouble()) {
    const testing::HostileRequest request{
        "POST /order/x HTTP/1.1\r\nHost: " + std::string(kHost) +
            "\r\nX-Request-Id: untrusted\r\nX-Deadline-Ms: 2500\r\nContent-Length: " +
            std::to_string(kBodyBytes) + "\r\n\r\n",
        std::string(kBodyBytes, 'x'), kBodyBytes};
    deployment.Record(std::to_string(kCallers) + " callers send a whole request without a key, " +
                      "with a body of " + std::to_string(kBodyBytes) + " bytes, and stay");
    while (static_cast<int>(callers.size()) < kCallers) {
      for (int i = 0; i < kOpenedAtOnce; ++i) {
        callers.push_back(
            testing::MakeHostileCaller(deployment.Io(), deployment.CallerAddress(0), request));
      }
      deployment.RunFor(kOpenInterval);
    }
    deployment.RunFor(Milliseconds(500));
    deployment.Record(std::to_string(closed()) + " of them were closed");
  }
  Counts counts;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kOrdinary; ++i) {
      SendOrder(&deployment, counts.orders++, 1, &counts);
    }
    deployment.RunFor(kRoundInterval);
    deployment.Record("answered " + std::to_string(counts.answered) + " of " +
                      std::to_string(counts.orders) + " orders, " +
                      std::to_string(counts.connections_closed) +
                      " connections ended without an answer, " + std::to_string(runs) + " runs");
  }
  deployment.RunFor(Milliseconds(3000));
  const double failed =
      static_cast<double>(counts.orders - counts.answered) / static_cast<double>(counts.orders);
  deployment.Record(std::to_string(closed()) + " callers of the crowd were closed in all");
  deployment.Record("orders without an answer: " + std::to_string(counts.orders - counts.answered) +
                    " of " + std::to_string(counts.orders));
  return failed > kMaxFailed ? kBroken : kHeld;
}

}  // namespace
}  // namespace azuregw::review

int main(int argc, char** argv) {
  return argc == 2 ? azuregw::review::Run(argv[1]) : azuregw::review::kNotRun;
}
