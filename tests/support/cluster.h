// A whole azuregw system as separate processes on the loopback: the fakes, a preset and the
// instances.

#ifndef TESTS_SUPPORT_CLUSTER_H_
#define TESTS_SUPPORT_CLUSTER_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/http_client.h"
#include "tests/support/process.h"

namespace azuregw::testing {

struct EngineOptions {
  std::string name;
  std::string model = "design";
  int first_layer = 0;
  int last_layer = 2;
  std::string kind = "a100";
  std::string failure_domain = "fd-a";
  int capacity = 8;
  double step_ms = 5;
  bool checks_fencing = true;
};

struct ClusterOptions {
  int instances = 3;  // In failure domains fd-a, fd-b, fd-c in turn.
  int layers = 6;
  std::string transfer = "handle";
  std::vector<EngineOptions> engines;  // Empty: DefaultEngines().
  int services = 1;
  int service_work_ms = 5;
  int list_lag_ms = 0;
  int step_timeout_ms = 1000;
  int workspaces = 2;  // Named ws-0, ws-1, ...; the key of ws-N is "key-ws-N".
  int order_shards = 16;
  // Program and further flags of the instances; empty: azuregw.
  std::vector<std::string> instance_command;
  std::string extra_settings;  // Appended to each instance's settings file.
};

// Two engines of two kinds for each of three ranges of two layers, over three failure domains.
std::vector<EngineOptions> DefaultEngines();

struct Node {
  std::string name;
  std::string address;        // Caller address of an instance; the address of a fake.
  std::string admin_address;  // Instances only.
  std::string peer_address;   // Instances only.
  std::string failure_domain;
  std::string log_path;  // What ran, for engines and services; else what was printed.
  std::vector<std::string> arguments;
  std::unique_ptr<Process> process;
};

class Cluster {
 public:
  // Starts everything and waits until all instances are ready. Null, with a message on stderr, on
  // failure.
  static std::unique_ptr<Cluster> Make(const ClusterOptions& options);

  Node& kv() { return m_kv; }
  Node& list() { return m_list; }
  std::vector<Node>& engines() { return m_engines; }
  std::vector<Node>& services() { return m_services; }
  std::vector<Node>& instances() { return m_instances; }
  Node& engine(const std::string& name);
  const ClusterOptions& options() const { return m_options; }
  const std::string& directory() const { return m_directory; }
  nlohmann::json& preset() { return m_preset; }

  // Stores `preset` under its name and puts it in force by the operators' commands.
  bool UsePreset(const nlohmann::json& preset);
  // Starts (or starts again) a process from its arguments and waits until it is ready to answer.
  bool StartNode(Node* node);
  // Adds an instance beyond those of the options, and starts it without waiting for readiness.
  Node& AddInstance();
  bool WaitReady(const Node& instance, std::chrono::milliseconds limit = std::chrono::seconds(20));
  // Registers all instances, engines and services with the list; `leaving` names are shown as
  // leaving.
  void PublishList(const std::vector<std::string>& leaving = {});

  // Headers of workspace ws-N.
  Headers Auth(int workspace = 0) const;
  StreamResult Stream(int instance, const std::string& prompt, int max_tokens,
                      const Headers& extra = {},
                      const std::function<bool(const SseEvent&)>& on_event = {});
  std::string Expected(const std::string& prompt, int max_tokens) const;
  // Control of a fake: GET on a /test/ path.
  nlohmann::json Control(const Node& node, const std::string& path_and_query) const;

  // Empty when no engine ran a (sequence, layer, token) twice and every run was in token order;
  // else what was found.
  std::string CheckEngineLogs() const;

 private:
  explicit Cluster(ClusterOptions options);
  bool StartFakes();
  void AddEngine(const EngineOptions& engine);
  void AddService(int index);
  nlohmann::json BuildPreset() const;
  std::string SettingsOf(const Node& instance) const;

  ClusterOptions m_options;
  std::string m_directory;
  Node m_kv;
  Node m_list;
  std::vector<Node> m_engines;
  std::vector<Node> m_services;
  std::vector<Node> m_instances;
  nlohmann::json m_preset;
};

}  // namespace azuregw::testing

#endif  // TESTS_SUPPORT_CLUSTER_H_
