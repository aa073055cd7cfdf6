// Supervisor: a component that ends with an error must come back, and one that keeps failing must
// be reported.

#include "azuregw/supervisor/supervisor.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

#include "azuregw/supervisor/thread_component.h"
#include "tests/fakes/wait_until.h"

namespace azuregw {
namespace {

RestartOptions FastOptions(int max_failures) {
  RestartOptions options;
  options.first_delay = Milliseconds(1);
  options.last_delay = Milliseconds(4);
  options.max_failures = max_failures;
  options.window = Milliseconds(1000);
  return options;
}

Result<void> WaitForStop(const StopSignal& stop) {
  while (!stop.WaitFor(Milliseconds(1000))) {
  }
  return boost::outcome_v2::success();
}

BOOST_AUTO_TEST_SUITE(supervisor)

// Fails twice, once by an error and once by an exception, and then works.
BOOST_AUTO_TEST_CASE(failed_component_is_started_again) {
  std::atomic<int> starts{0};
  const auto component = MakeThreadComponent("worker", [&](const StopSignal& stop) -> Result<void> {
    const int start = ++starts;
    if (start == 1) {
      return NotRun(ResultCode::kInternal, "first");
    }
    if (start == 2) {
      throw std::runtime_error("second");
    }
    return WaitForStop(stop);
  });
  const auto root = MakeSupervisor("root", SystemClock());
  root->Add(component.get(), FastOptions(5));
  BOOST_REQUIRE(root->Start(nullptr));
  BOOST_TEST(WaitUntil([&] { return starts == 3; }));
  root->Stop();
  BOOST_TEST(starts == 3);
}

// Guards against an instance that stays in service with a part that does not work, and against one
// that never comes back after the part works again.
BOOST_AUTO_TEST_CASE(component_that_keeps_failing_is_reported_until_it_works) {
  std::atomic<bool> broken{true};
  const auto component = MakeThreadComponent("worker", [&](const StopSignal& stop) -> Result<void> {
    if (broken) {
      return NotRun(ResultCode::kInternal, "broken");
    }
    return WaitForStop(stop);
  });
  std::mutex mutex;
  std::string problem;
  const auto root = MakeSupervisor("root", SystemClock());
  root->Add(component.get(), FastOptions(3));
  root->SetProblemHandler([&](std::string text) {
    const std::lock_guard<std::mutex> lock(mutex);
    problem = std::move(text);
  });
  const auto current = [&] {
    const std::lock_guard<std::mutex> lock(mutex);
    return problem;
  };
  BOOST_REQUIRE(root->Start(nullptr));
  BOOST_TEST(WaitUntil([&] { return current().find("worker") != std::string::npos; }));
  broken = false;
  BOOST_TEST(WaitUntil([&] { return current().empty(); }));
  root->Stop();
}

class RecordingComponent final : public Component {
 public:
  RecordingComponent(std::string name, bool starts, std::vector<std::string>* log)
      : m_name(std::move(name)), m_starts(starts), m_log(log) {}
  std::string Name() const override { return m_name; }
  Result<void> Start(FailureHandler) override {
    m_log->push_back("start " + m_name);
    if (!m_starts) {
      return NotRun(ResultCode::kPortInUse, m_name);
    }
    return boost::outcome_v2::success();
  }
  void Stop() override { m_log->push_back("stop " + m_name); }

 private:
  const std::string m_name;
  const bool m_starts;
  std::vector<std::string>* m_log;
};

BOOST_AUTO_TEST_CASE(children_stop_in_reverse_order) {
  std::vector<std::string> log;
  RecordingComponent a("a", true, &log);
  RecordingComponent b("b", true, &log);
  const auto inner = MakeSupervisor("inner", SystemClock());
  inner->Add(&b, FastOptions(1));
  const auto root = MakeSupervisor("root", SystemClock());
  root->Add(&a, FastOptions(1));
  root->Add(inner.get(), FastOptions(1));
  BOOST_REQUIRE(root->Start(nullptr));
  root->Stop();
  BOOST_TEST(log == (std::vector<std::string>{"start a", "start b", "stop b", "stop a"}),
             boost::test_tools::per_element());
}

// Guards against a process that stays half started, for example with a port in use.
BOOST_AUTO_TEST_CASE(failed_first_start_stops_what_was_started) {
  std::vector<std::string> log;
  RecordingComponent a("a", true, &log);
  RecordingComponent b("b", false, &log);
  const auto root = MakeSupervisor("root", SystemClock());
  root->Add(&a, FastOptions(1));
  root->Add(&b, FastOptions(1));
  const Result<void> started = root->Start(nullptr);
  BOOST_REQUIRE(!started);
  BOOST_TEST((started.error().code == ResultCode::kPortInUse));
  BOOST_TEST(log == (std::vector<std::string>{"start a", "start b", "stop a"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
