// Builds a system of processes.

#include "tests/support/cluster.h"

#include <openssl/sha.h>

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

#include "tests/fakes/reference_model.h"

namespace azuregw::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{20000};
constexpr int kStartAttempts = 3;
constexpr char kAdminKey[] = "operator-key-for-tests";
constexpr char kPeerKey[] = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const char* const kDomains[] = {"fd-a", "fd-b", "fd-c"};

std::string Sha256Hex(const std::string& text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  std::ostringstream out;
  for (const unsigned char byte : digest) {
    out << "0123456789abcdef"[byte >> 4] << "0123456789abcdef"[byte & 15];
  }
  return out.str();
}

}  // namespace

std::vector<EngineOptions> DefaultEngines() {
  std::vector<EngineOptions> engines;
  for (int range = 0; range < 3; ++range) {
    for (int copy = 0; copy < 2; ++copy) {
      EngineOptions engine;
      engine.name = "design-" + std::to_string(range) + (copy == 0 ? "a" : "b");
      engine.first_layer = 2 * range;
      engine.last_layer = 2 * range + 2;
      engine.kind = copy == 0 ? "a100" : "l4";
      engine.step_ms = copy == 0 ? 4 : 6;
      engine.failure_domain = kDomains[(range + copy) % 3];
      engines.push_back(engine);
    }
  }
  return engines;
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options)), m_directory(MakeTemporaryDirectory()) {
  if (m_options.engines.empty()) {
    m_options.engines = DefaultEngines();
  }
}

std::unique_ptr<Cluster> Cluster::Make(const ClusterOptions& options) {
  std::unique_ptr<Cluster> cluster(new Cluster(options));
  if (!cluster->StartFakes()) {
    return nullptr;
  }
  cluster->m_preset = cluster->BuildPreset();
  if (!cluster->UsePreset(cluster->m_preset)) {
    return nullptr;
  }
  for (int i = 0; i < cluster->m_options.instances; ++i) {
    cluster->AddInstance();
  }
  for (const Node& instance : cluster->m_instances) {
    if (!cluster->WaitReady(instance)) {
      std::cerr << instance.name << " is not ready:\n" << ReadFile(instance.log_path) << "\n";
      return nullptr;
    }
  }
  return cluster;
}

bool Cluster::StartFakes() {
  m_kv.name = "kv";
  m_kv.arguments = {AZUREGW_FAKES_BINARY, "kv"};
  m_list.name = "list";
  m_list.arguments = {AZUREGW_FAKES_BINARY, "list",
                      "--lag_ms=" + std::to_string(m_options.list_lag_ms)};
  for (const EngineOptions& engine : m_options.engines) {
    AddEngine(engine);
  }
  for (int i = 0; i < m_options.services; ++i) {
    AddService(i);
  }
  bool started = StartNode(&m_kv) && StartNode(&m_list);
  for (Node& engine : m_engines) {
    started = started && StartNode(&engine);
  }
  for (Node& service : m_services) {
    started = started && StartNode(&service);
  }
  return started;
}

void Cluster::AddEngine(const EngineOptions& engine) {
  Node node;
  node.name = engine.name;
  node.failure_domain = engine.failure_domain;
  node.log_path = m_directory + "/" + engine.name + ".runs";
  node.arguments = {AZUREGW_FAKES_BINARY,
                    "engine",
                    "--model=" + engine.model,
                    "--first_layer=" + std::to_string(engine.first_layer),
                    "--last_layer=" + std::to_string(engine.last_layer),
                    "--total_layers=" + std::to_string(m_options.layers),
                    "--capacity=" + std::to_string(engine.capacity),
                    "--step_ms=" + std::to_string(engine.step_ms),
                    std::string("--checks_fencing=") + (engine.checks_fencing ? "true" : "false"),
                    "--log=" + node.log_path};
  m_engines.push_back(std::move(node));
}

void Cluster::AddService(int index) {
  Node node;
  node.name = "bookings-" + std::to_string(index);
  node.failure_domain = kDomains[index % 3];
  node.log_path = m_directory + "/" + node.name + ".runs";
  node.arguments = {AZUREGW_FAKES_BINARY, "service",
                    "--work_ms=" + std::to_string(m_options.service_work_ms),
                    "--log=" + node.log_path};
  m_services.push_back(std::move(node));
}

bool Cluster::StartNode(Node* node) {
  const bool is_fake = node->arguments[0] == AZUREGW_FAKES_BINARY;
  // A first start may choose its port again, because another process can take it in the meantime; a
  // later start keeps it.
  const bool may_choose = node->address.empty();
  for (int attempt = 0; attempt < kStartAttempts; ++attempt) {
    std::vector<std::string> arguments = node->arguments;
    const std::string output = m_directory + "/" + node->name + ".log";
    if (is_fake) {
      if (may_choose) {
        node->address = FreeAddress();
      }
      arguments.push_back("--address=" + node->address);
    }
    node->process = Process::Start(arguments, output);
    if (!is_fake) {
      return node->process != nullptr;
    }
    const bool answers = WaitUntil(
        [node] {
          return SendRequest("GET", node->address, "/test/", "", {}, milliseconds(500)).status !=
                     0 ||
                 node->process->Wait(milliseconds(0)).has_value();
        },
        kStartLimit);
    if (answers && !node->process->Wait(milliseconds(0)).has_value()) {
      return true;
    }
  }
  std::cerr << node->name << " does not start\n";
  return false;
}

json Cluster::BuildPreset() const {
  json preset = {{"name", "ordinary"}};
  preset["models"]["design"] = {{"layers", m_options.layers},
                                {"max_tokens", 512},
                                {"activation_transfer", m_options.transfer}};
  for (size_t i = 0; i < m_engines.size(); ++i) {
    const EngineOptions& engine = m_options.engines[i];
    preset["upstreams"][engine.name] = {{"type", "engine"},
                                        {"address", m_engines[i].address},
                                        {"model", engine.model},
                                        {"first_layer", engine.first_layer},
                                        {"last_layer", engine.last_layer},
                                        {"kind", engine.kind},
                                        {"failure_domain", engine.failure_domain},
                                        {"capacity", engine.capacity},
                                        {"step_ms", engine.step_ms},
                                        {"checks_fencing", engine.checks_fencing},
                                        {"version", "1"}};
  }
  for (const Node& service : m_services) {
    preset["upstreams"][service.name] = {{"type", "service"},
                                         {"service", "bookings"},
                                         {"address", service.address},
                                         {"failure_domain", service.failure_domain},
                                         {"capacity", 16}};
  }
  preset["links"] = {{"fd-a", {{"fd-b", 0.5}, {"fd-c", 0.5}}}, {"fd-b", {{"fd-c", 0.5}}}};
  preset["services"]["bookings"]["operations"] = {
      {{"method", "POST"}, {"path", "/deposits"}, {"repeatable", false}, {"key_required", true}}};
  for (int i = 0; i < m_options.workspaces; ++i) {
    const std::string name = "ws-" + std::to_string(i);
    preset["workspaces"][name] = {{"key_sha256", Sha256Hex("key-" + name)},
                                  {"weight", i == 0 ? 10 : 1},
                                  {"priority", 5},
                                  {"max_inflight", 1000}};
  }
  preset["limits"] = {{"max_body_bytes", 65536},
                      {"step_timeout_ms", m_options.step_timeout_ms},
                      {"default_deadline_ms", 30000},
                      {"retry_budget_percent", 20}};
  preset["orders"] = {{"shards", m_options.order_shards}, {"retention_s", 86400}};
  return preset;
}

bool Cluster::UsePreset(const json& preset) {
  const std::string name = preset.at("name").get<std::string>();
  const std::string path = m_directory + "/preset-" + name + ".json";
  std::ofstream(path) << preset.dump(1);
  CommandResult stored =
      RunCommand({AZUREGW_BINARY, "preset", "create", name, path, "--kv=" + m_kv.address});
  if (stored.exit_code != 0) {
    stored = RunCommand({AZUREGW_BINARY, "preset", "edit", name, path, "--kv=" + m_kv.address});
  }
  const CommandResult used =
      RunCommand({AZUREGW_BINARY, "preset", "use", name, "--kv=" + m_kv.address});
  if (stored.exit_code != 0 || used.exit_code != 0) {
    std::cerr << "preset: " << stored.output << used.output << "\n";
    return false;
  }
  return true;
}

std::string Cluster::SettingsOf(const Node& instance) const {
  std::ostringstream text;
  text << "[instance]\nname = \"" << instance.name << "\"\nfailure_domain = \""
       << instance.failure_domain << "\"\nregion = \"r1\"\n"
       << "[caller]\naddress = \"" << instance.address << "\"\n"
       << "[admin]\naddress = \"" << instance.admin_address << "\"\nkey = \"" << kAdminKey
       << "\"\n[peer]\naddress = \"" << instance.peer_address << "\"\nkey = \"" << kPeerKey
       << "\"\n[platform]\nkv_address = \"" << m_kv.address << "\"\nlist_address = \""
       << m_list.address << "\"\ncall_timeout_ms = 1000\n"
       << m_options.extra_settings;
  return text.str();
}

Node& Cluster::AddInstance() {
  const size_t index = m_instances.size();
  Node node;
  node.name = "gw-" + std::to_string(index);
  node.failure_domain = kDomains[index % 3];
  node.address = FreeAddress();
  node.admin_address = FreeAddress();
  node.peer_address = FreeAddress();
  node.log_path = m_directory + "/" + node.name + ".log";
  const std::string settings = m_directory + "/" + node.name + ".toml";
  node.arguments = {AZUREGW_BINARY, "serve", "--config=" + settings};
  if (!m_options.instance_command.empty()) {
    const auto& command = m_options.instance_command;
    node.arguments[0] = command.front();
    node.arguments.insert(node.arguments.end(), command.begin() + 1, command.end());
  }
  std::ofstream(settings) << SettingsOf(node);
  m_instances.push_back(std::move(node));
  PublishList();
  StartNode(&m_instances.back());
  return m_instances.back();
}

bool Cluster::WaitReady(const Node& instance, milliseconds limit) {
  bool ready = false;
  WaitUntil(
      [&instance, &ready] {
        ready = SendRequest("GET", instance.address, "/readyz", "", {}, milliseconds(500)).status ==
                200;
        return ready || instance.process->Wait(milliseconds(0)).has_value();
      },
      limit);
  return ready;
}

void Cluster::PublishList(const std::vector<std::string>& leaving) {
  const std::set<std::string> leaving_names(leaving.begin(), leaving.end());
  json entries = json::array();
  const auto add = [&](const Node& node, const char* role, const std::string& address) {
    entries.push_back({{"name", node.name},
                       {"role", role},
                       {"address", address},
                       {"admin_address", node.admin_address},
                       {"failure_domain", node.failure_domain},
                       {"state", leaving_names.count(node.name) != 0 ? "leaving" : "live"}});
  };
  for (const Node& node : m_instances) {
    add(node, "azuregw", node.peer_address);
  }
  for (const Node& node : m_engines) {
    add(node, "engine", node.address);
  }
  for (const Node& node : m_services) {
    add(node, "service", node.address);
  }
  SendRequest("PUT", m_list.address, "/test/entries", entries.dump(), {});
}

Node& Cluster::engine(const std::string& name) {
  for (Node& node : m_engines) {
    if (node.name == name) {
      return node;
    }
  }
  std::cerr << "no engine " << name << "\n";
  std::abort();
}

Headers Cluster::Auth(int workspace) const {
  return {{"Authorization", "Bearer key-ws-" + std::to_string(workspace)}};
}

StreamResult Cluster::Stream(int instance, const std::string& prompt, int max_tokens,
                             const Headers& extra,
                             const std::function<bool(const SseEvent&)>& on_event) {
  const json body = {
      {"model", "design"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", true}};
  Headers headers = Auth();
  for (const auto& [name, value] : extra) {
    headers[name] = value;
  }
  return StreamCompletion(m_instances[static_cast<size_t>(instance)].address, "/v1/completions",
                          body.dump(), headers, on_event);
}

std::string Cluster::Expected(const std::string& prompt, int max_tokens) const {
  return fakes::ExpectedText(prompt, m_options.layers, max_tokens);
}

json Cluster::Control(const Node& node, const std::string& path_and_query) const {
  const HttpResult result = SendRequest("GET", node.address, path_and_query, "", {});
  return json::parse(result.body, nullptr, false);
}

std::string Cluster::CheckEngineLogs() const {
  // (sequence, first layer of the range) -> tokens that ran.
  std::map<std::pair<std::string, int>, std::set<int>> seen;
  std::ostringstream problems;
  for (const Node& node : m_engines) {
    std::ifstream log(node.log_path);
    std::string line;
    while (std::getline(log, line)) {
      const json run = json::parse(line, nullptr, false);
      if (run.is_discarded() || !run.contains("sequence")) {
        continue;  // An order, or a line cut by a kill.
      }
      const std::string sequence = run["sequence"].get<std::string>();
      const int first = run["first_token"].get<int>();
      std::set<int>& tokens = seen[{sequence, run["first_layer"].get<int>()}];
      for (int token = first; token < first + run["token_count"].get<int>(); ++token) {
        if (!tokens.insert(token).second) {
          problems << node.name << " ran " << sequence << " token " << token << " twice\n";
        }
      }
    }
  }
  return problems.str();
}

}  // namespace azuregw::testing
