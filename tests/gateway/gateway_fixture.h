// Fakes of the gateway's dependencies, and a server on the loopback.

#ifndef TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/gateway/caller_server.h"

namespace azuregw::testing {

class FakeSnapshots : public SnapshotSource {
 public:
  std::shared_ptr<const Snapshot> Current() const override { return snapshot; }
  std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
};

class FakeTicket : public AdmissionTicket {
 public:
  void OnFirstResult(Milliseconds) override {}
  void OnOverload() override {}
};

class FakeAdmission : public AdmissionController {
 public:
  void Admit(std::shared_ptr<const Snapshot>, const AdmissionRequest&, TimePoint,
             Callback done) override {
    if (refusal) {
      done(*refusal);
    } else {
      done(std::shared_ptr<AdmissionTicket>(std::make_shared<FakeTicket>()));
    }
  }
  void Tick(TimePoint) override {}
  bool TakeRetry(const std::string&, TimePoint) override { return true; }
  std::optional<Error> refusal;
};

class FakeGeneration : public Generation {
 public:
  void OnCallerGone(ResultCode code) override {
    const std::lock_guard<std::mutex> lock(mutex);
    if (!gone) {
      gone = code;
    }
  }
  std::optional<ResultCode> Gone() const {
    const std::lock_guard<std::mutex> lock(mutex);
    return gone;
  }
  mutable std::mutex mutex;
  std::optional<ResultCode> gone;
};

// Leaves the sink to the test, or answers at once.
class FakeRunner : public PipelineRunner {
 public:
  Result<std::shared_ptr<Generation>> Start(GenerationRequest request,
                                            std::shared_ptr<AnswerSink> sink) override {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      last_request = request;
      last_sink = sink;
    }
    if (error) {
      return *error;
    }
    if (script) {
      script(sink.get());
    }
    return std::shared_ptr<Generation>(generation);
  }
  std::shared_ptr<AnswerSink> Sink() const {
    const std::lock_guard<std::mutex> lock(mutex);
    return last_sink;
  }
  void Forget() {
    const std::lock_guard<std::mutex> lock(mutex);
    last_sink.reset();
  }

  mutable std::mutex mutex;
  GenerationRequest last_request;
  std::shared_ptr<AnswerSink> last_sink;
  std::function<void(AnswerSink*)> script;
  std::optional<Error> error;
  std::shared_ptr<FakeGeneration> generation = std::make_shared<FakeGeneration>();
};

class FakeOrders : public OrderService {
 public:
  void Run(std::shared_ptr<const Snapshot>, ServiceCall call,
           std::function<void(Result<ServiceAnswer>)> done) override {
    last_call = call;
    done(answer);
  }
  int Flush(TimePoint) override { return 0; }
  ServiceCall last_call;
  Result<ServiceAnswer> answer = ServiceAnswer();
};

class FakeRefusals : public RefusalRecorder {
 public:
  void OnRefusal(const std::string& workspace, ResultCode reason, int64_t) override {
    const std::lock_guard<std::mutex> lock(mutex);
    refusals.emplace_back(workspace, reason);
  }
  std::vector<std::pair<std::string, ResultCode>> Take() {
    const std::lock_guard<std::mutex> lock(mutex);
    return std::exchange(refusals, {});
  }
  std::mutex mutex;
  std::vector<std::pair<std::string, ResultCode>> refusals;
};

class FakeEvents : public EventRecorder {
 public:
  void Record(std::string_view, std::string_view, std::string_view, std::string_view,
              ResultCode) override {}
};

class FakeMetrics : public Metrics {
 public:
  void Add(std::string_view name, std::string_view labels, double amount) override {
    const std::lock_guard<std::mutex> lock(mutex);
    values[std::string(name) + "{" + std::string(labels) + "}"] += amount;
  }
  void Set(std::string_view, std::string_view, double) override {}
  void Observe(std::string_view name, std::string_view labels, double) override {
    Add(name, labels, 1);
  }
  void ObserveLatency(std::string_view name, std::string_view labels, double) override {
    Add(name, labels, 1);
  }
  std::string PrometheusText() const override { return ""; }
  double Value(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex);
    return values[name];
  }
  std::mutex mutex;
  std::map<std::string, double> values;
};

// A server with model "design" (2 layers), service "bookings" and workspace "ws" with key "key".
class GatewayFixture {
 public:
  GatewayFixture();
  GatewayDependencies Dependencies();

  FakeSnapshots snapshots;
  FakeAdmission admission;
  FakeRunner runner;
  FakeOrders orders;
  FakeRefusals refusals;
  FakeEvents events;
  FakeMetrics metrics;
  std::optional<std::string> not_ready;
  std::unique_ptr<CallerServer> server;
};

// Sends bytes on a connection of its own and returns all bytes until the server closes it or
// `limit` has passed without any.
std::string RawExchange(const std::string& address, const std::string& bytes,
                        Milliseconds limit = Milliseconds(3000));

// Waits until `condition` holds, at most for a generous limit; returns whether it does.
bool Eventually(const std::function<bool()>& condition);

}  // namespace azuregw::testing

#endif  // TESTS_GATEWAY_GATEWAY_FIXTURE_H_
