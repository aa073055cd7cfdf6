// `azuregw serve` as a process: start, readiness, admin port, shutdown and exit codes.

#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "tests/support/platform.h"

namespace azuregw::testing {
namespace {

using std::chrono::seconds;

constexpr seconds kLimit{20};

struct Fixture : Platform {
  void Start(const std::string& extra) {
    const std::string settings = WriteSettings("127.0.0.1:0", extra);
    process =
        Process::Start({AZUREGW_BINARY, "serve", "--config=" + settings}, directory() + "/gw.log");
    BOOST_REQUIRE(process);
    BOOST_REQUIRE(process->WaitForOutput("ready caller=", kLimit));
    BOOST_REQUIRE(WaitUntil([&] { return !AddressOf("peer").empty(); }));
  }
  // An address of the line "ready caller=IP:port admin=IP:port peer=IP:port".
  std::string AddressOf(const std::string& kind) const {
    const std::string text = ReadFile(process->log_path());
    const size_t at = text.find(kind + "=", text.find("ready caller="));
    if (at == std::string::npos) {
      return "";
    }
    const size_t begin = at + kind.size() + 1;
    return text.substr(begin, text.find_first_of(" \n", begin) - begin);
  }
  nlohmann::json Status() const {
    const Headers headers = {{"Authorization", std::string("Bearer ") + kAdminKey}};
    const HttpResult reply = SendRequest("GET", AddressOf("admin"), "/admin/status", "", headers);
    return nlohmann::json::parse(reply.body, nullptr, false);
  }
  int ReadyStatus() const {
    return SendRequest("GET", AddressOf("admin"), "/readyz", "", {}).status;
  }
  std::unique_ptr<Process> process;
};

BOOST_FIXTURE_TEST_SUITE(serve_process, Fixture)

BOOST_AUTO_TEST_CASE(instance_becomes_ready_with_a_preset_and_stops_gracefully) {
  Start("[drain]\nready_delay_ms = 100\n");
  BOOST_TEST(ReadyStatus() == 503);
  BOOST_TEST(Status()["reason"]["code"] == 4006);
  BOOST_REQUIRE_EQUAL(Preset({"create", "ordinary", WritePreset("ordinary")}).exit_code, 0);
  BOOST_REQUIRE_EQUAL(Preset({"use", "ordinary"}).exit_code, 0);
  BOOST_TEST(WaitUntil([&] { return ReadyStatus() == 200; }));
  const nlohmann::json status = Status();
  BOOST_TEST(status["revision"] == 1);
  BOOST_TEST(status["upstreams"].size() == 3u);
  process->Signal(SIGTERM);
  BOOST_TEST(process->Wait(kLimit).value_or(-1) == 0);
  BOOST_TEST(ReadFile(process->log_path()).find("\"event\":\"stopped\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(operators_read_status_and_mark_and_drain) {
  Start("[drain]\nready_delay_ms = 100\n");
  BOOST_REQUIRE_EQUAL(Preset({"create", "ordinary", WritePreset("ordinary")}).exit_code, 0);
  BOOST_REQUIRE_EQUAL(Preset({"use", "ordinary"}).exit_code, 0);
  const std::string admin = "--admin=" + AddressOf("admin");
  const std::string key = "--key_file=" + Write("admin.key", std::string(kAdminKey) + "\n");
  const CommandResult waited = Run({"preset", "wait", "--revision=1", admin, key});
  BOOST_TEST(waited.exit_code == 0);
  BOOST_TEST(waited.output == "1 of 1 instances have revision 1\n");
  BOOST_TEST(Run({"upstream", "leaving", "design-a1", admin, key}).exit_code == 0);
  BOOST_TEST(WaitUntil([&] {
    const nlohmann::json first = Status()["upstreams"][0];
    return first["name"] == "design-a1" && first["leaving"] == true;
  }));
  BOOST_TEST(Run({"upstream", "leaving", "none", admin, key}).exit_code != 0);
  const CommandResult status = Run({"status", admin, key});
  BOOST_TEST(status.exit_code == 0);
  BOOST_TEST(status.output.find("gw-1") != std::string::npos);
  BOOST_TEST(Run({"status", admin}).exit_code != 0);
  BOOST_TEST(Run({"drain", AddressOf("admin"), admin, key}).exit_code == 0);
  BOOST_TEST(process->Wait(kLimit).value_or(-1) == 0);
}

// Guards against a process that runs on without its port, or ends without saying why.
BOOST_AUTO_TEST_CASE(port_in_use_is_numbered) {
  const std::string settings = WriteSettings(kv(), "");
  const CommandResult result = Run({"serve", "--config=" + settings});
  BOOST_TEST(result.exit_code == 8);
  BOOST_TEST(result.output.find("\"code\":5004") != std::string::npos);
  BOOST_TEST(result.output.find(kv()) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(wrong_settings_end_the_process_with_every_problem) {
  const std::string settings = WriteSettings("nowhere", "[log]\nlevel = \"loud\"\n");
  const CommandResult result = Run({"serve", "--config=" + settings});
  BOOST_TEST(result.exit_code == 2);
  BOOST_TEST(result.output.find("caller.address") != std::string::npos);
  BOOST_TEST(result.output.find("log.level") != std::string::npos);
}

// Guards against an instance that serves new work under what it knew before a pause: it has to read
// its state again, and a preset accepted in the meantime must be in force within 5 s.
BOOST_AUTO_TEST_CASE(paused_instance_learns_what_changed) {
  Start("");
  BOOST_REQUIRE_EQUAL(Preset({"create", "ordinary", WritePreset("ordinary")}).exit_code, 0);
  BOOST_REQUIRE_EQUAL(Preset({"use", "ordinary"}).exit_code, 0);
  BOOST_TEST(WaitUntil([&] { return ReadyStatus() == 200; }));
  process->Stop();
  BOOST_REQUIRE_EQUAL(Preset({"use", "ordinary"}).exit_code, 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  process->Continue();
  BOOST_TEST(WaitUntil([&] { return Status().value("revision", 0) == 2; }, seconds(5)));
  BOOST_TEST(process->WaitForOutput("pause_detected", kLimit));
  BOOST_TEST(WaitUntil([&] { return ReadyStatus() == 200; }));
}

// The target is 32 MB for control; the HTTP library is part of it.
BOOST_AUTO_TEST_CASE(idle_instance_stays_under_32_mb) {
  Start("");
  BOOST_REQUIRE_EQUAL(Preset({"create", "ordinary", WritePreset("ordinary")}).exit_code, 0);
  BOOST_REQUIRE_EQUAL(Preset({"use", "ordinary"}).exit_code, 0);
  BOOST_TEST(WaitUntil([&] { return ReadyStatus() == 200; }));
  const std::string status = ReadFile("/proc/" + std::to_string(process->pid()) + "/status");
  const size_t at = status.find("VmRSS:");
  BOOST_REQUIRE(at != std::string::npos);
  const long resident_kb = std::stol(status.substr(at + 6));
  BOOST_TEST_MESSAGE("resident: " << resident_kb << " KB");
  BOOST_TEST(resident_kb < 32 * 1024);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
