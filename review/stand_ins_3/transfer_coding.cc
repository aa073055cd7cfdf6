// Case 12: a caller sends an order whose transfer coding is not chunked, so that the end of its
// body is not known. The bytes of the body look like another order.
//
// Usage: transfer_coding RECORD

#include <map>
#include <memory>
#include <string>

#include "azuregw/net/endpoint.h"
#include "review/stand_ins_3/deployment.h"
#include "tests/support/hostile_caller.h"

namespace azuregw::review {
namespace {

constexpr Milliseconds kWait{2000};

std::string Head(const std::string& id, const std::string& framing) {
  return "POST /order/x HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 2500\r\nApi-Key: " + kKey + "\r\n" + framing + "\r\n\r\n";
}

std::string OneLine(const std::string& text) {
  std::string line;
  for (const char c : text) {
    line += c == '\r' ? "" : c == '\n' ? " / " : std::string(1, c);
  }
  return line;
}

int Run(const std::string& record) {
  Deployment deployment(DeploymentOptions(), record);
  if (!deployment.StartStore()) {
    return kNotRun;
  }
  std::map<std::string, std::string> runs;  // Bodies by ID.
  const auto engine = deployment.Serve(10, [&](const fakes::StandInRequest& request,
                                               const std::shared_ptr<fakes::StandInReply>& reply) {
    const std::string id(request["X-Request-Id"]);
    runs[id] = request.body();
    deployment.Record("run: " + std::string(request.method_string()) + " " +
                      std::string(request.target()) + ", id " + id + ", body of " +
                      std::to_string(request.body().size()) + " bytes");
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
  const std::string inner = Head("inner", "Content-Length: 9") + "a deposit";
  const std::string framing =
      WithTrouble() ? "Transfer-Encoding: gzip" : "Content-Length: " + std::to_string(inner.size());
  deployment.Record("sent: order with id outer and " + framing +
                    ", whose body is: " + OneLine(inner));
  const auto caller = testing::MakeHostileCaller(deployment.Io(), deployment.CallerAddress(0),
                                                 {Head("outer", framing), inner, inner.size()});
  deployment.RunFor(kWait);
  deployment.Record("answered: " + OneLine(caller->Received()));
  const bool smuggled = runs.count("inner") > 0;
  const bool changed = runs.count("outer") > 0 && runs["outer"] != inner;
  deployment.Record(std::string("the order inside the body ") + (smuggled ? "ran" : "did not run"));
  deployment.Record(std::string("the order around it ") + (runs.count("outer") == 0 ? "did not run"
                                                           : changed ? "ran with another body"
                                                                     : "ran with its body"));
  if (!WithTrouble() && runs.count("outer") == 0) {
    return kNotRun;
  }
  return smuggled || changed ? kBroken : kHeld;
}

}  // namespace
}  // namespace azuregw::review

int main(int argc, char** argv) {
  return argc == 2 ? azuregw::review::Run(argv[1]) : azuregw::review::kNotRun;
}
