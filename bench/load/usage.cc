// Readings of /proc and of the metrics page.

#include "bench/load/usage.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

#include "bench/load/report.h"

namespace azuregw::load {
namespace {

using nlohmann::json;

constexpr char kAdminKey[] = "operator-key-for-tests";  // Of tests/support/cluster.cc.
constexpr int kFieldsBeforeUserTime = 11;               // After the name in /proc/<pid>/stat.

double ReadCpuSeconds(pid_t pid) {
  const std::string text = testing::ReadFile("/proc/" + std::to_string(pid) + "/stat");
  const size_t end_of_name = text.rfind(')');
  if (end_of_name == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(end_of_name + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ReadResidentBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double ReadLoopbackBytes() {
  std::ifstream file("/proc/net/dev");
  std::string line;
  while (std::getline(file, line)) {
    const size_t colon = line.find("lo:");
    if (colon != std::string::npos) {
      return std::stod(line.substr(colon + 3));
    }
  }
  return 0;
}

double TimeLookUp(const std::string& address, const std::string& path,
                  const testing::Headers& headers) {
  const auto start = std::chrono::steady_clock::now();
  const testing::HttpResult reply = testing::SendRequest("GET", address, path, "", headers);
  const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
  return reply.status == 200 ? took.count() : -1;
}

}  // namespace

double SumMetric(const std::string& page, const std::string& name) {
  std::istringstream lines(page);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line)) {
    const size_t end = line.find_first_of(" {");
    if (end != std::string::npos && line.substr(0, end) == name) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

Usage ReadUsage(testing::Cluster* cluster) {
  Usage usage;
  for (const testing::Node& node : cluster->instances()) {
    const testing::HttpResult reply =
        testing::SendRequest("GET", node.admin_address, "/metrics", "",
                             {{"Authorization", std::string("Bearer ") + kAdminKey}});
    if (reply.status != 200) {
      continue;
    }
    ++usage.instances;
    const double resident = ReadResidentBytes(node.process->pid());
    usage.cpu_s += ReadCpuSeconds(node.process->pid());
    usage.resident_bytes += resident;
    usage.max_resident_bytes = std::max(usage.max_resident_bytes, resident);
    usage.control_cpu_s += SumMetric(reply.body, "azuregw_control_cpu_seconds");
    usage.in_flight += SumMetric(reply.body, "azuregw_inflight");
    usage.peer_bytes_sent += SumMetric(reply.body, "azuregw_peer_bytes_sent");
    usage.peer_bytes_received += SumMetric(reply.body, "azuregw_peer_bytes_received");
    usage.max_preset_revision =
        std::max(usage.max_preset_revision, SumMetric(reply.body, "azuregw_preset_revision"));
    usage.kv_calls += SumMetric(reply.body, "azuregw_kv_calls_total");
  }
  usage.loopback_bytes = ReadLoopbackBytes();
  return usage;
}

json CompareUsage(const Usage& before, const Usage& after, double seconds) {
  const double scale = 1.0 / (std::max(after.instances, 1) * seconds);
  return {
      {"instances", after.instances},
      {"seconds", seconds},
      {"core_percent", 100 * scale * (after.cpu_s - before.cpu_s)},
      {"control_core_percent", 100 * scale * (after.control_cpu_s - before.control_cpu_s)},
      {"max_resident_mb", after.max_resident_bytes / 1e6},
      {"peer_sent_B_per_s", scale * (after.peer_bytes_sent - before.peer_bytes_sent)},
      {"peer_received_B_per_s", scale * (after.peer_bytes_received - before.peer_bytes_received)},
      {"kv_calls_per_s_of_all", (after.kv_calls - before.kv_calls) / seconds},
      {"cpu_s_of_all", after.cpu_s - before.cpu_s},
      {"loopback_B", after.loopback_bytes - before.loopback_bytes}};
}

json MeasureAddedTime(testing::Cluster* cluster, int count) {
  std::vector<double> through;
  std::vector<double> direct;
  int failed = 0;
  for (int i = 0; i < count; ++i) {
    const double by_instance = TimeLookUp(cluster->instances()[0].address,
                                          "/v1/services/bookings/availability", cluster->Auth(0));
    const double by_service =
        TimeLookUp(cluster->services()[0].address, "/availability", cluster->Auth(0));
    if (by_instance < 0 || by_service < 0) {
      ++failed;
      continue;
    }
    through.push_back(by_instance);
    direct.push_back(by_service);
  }
  json result = {{"pairs", through.size()}, {"failed", failed}};
  for (const double share : {0.5, 0.99}) {
    const double slow = Percentile(&through, share);
    const double fast = Percentile(&direct, share);
    const std::string label = share == 0.5 ? "p50" : "p99";
    result[label + "_through_ms"] = slow;
    result[label + "_direct_ms"] = fast;
    result[label + "_added_ms"] = slow - fast;
  }
  return result;
}

void AddListedEngines(int count, json* preset) {
  for (int i = 0; i < count; ++i) {
    const std::string model = "listed-" + std::to_string(i / 100);
    const int first_layer = 8 * (i % 4);
    (*preset)["models"][model] = {
        {"layers", 32}, {"max_tokens", 512}, {"activation_transfer", "handle"}};
    (*preset)["upstreams"]["listed-engine-" + std::to_string(i)] = {
        {"type", "engine"},
        {"address", "127.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":9"},
        {"model", model},
        {"first_layer", first_layer},
        {"last_layer", first_layer + 8},
        {"kind", "kind-" + std::to_string(i % 8)},
        {"failure_domain", "fd-" + std::string(1, static_cast<char>('a' + i % 3))},
        {"capacity", 8},
        {"step_ms", 20},
        {"checks_fencing", true},
        {"version", "1"}};
  }
}

}  // namespace azuregw::load
