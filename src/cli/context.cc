// Resolves addresses and keys, calls admin ports and prints results for commands.

#include "cli/context.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "azuregw/base/http_call.h"
#include "azuregw/config/settings.h"
#include "azuregw/discovery/http_instance_list.h"
#include "azuregw/kv/http_key_value_store.h"

DECLARE_string(config);
DECLARE_string(kv);
DECLARE_string(list);
DECLARE_string(admin);
DECLARE_string(key_file);
DECLARE_uint64(call_timeout_ms);
DECLARE_bool(json);

namespace azuregw {
namespace {

// Maximum number of instances that are called at the same time.
constexpr size_t kMaxParallelCalls = 16;

std::string EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

std::vector<std::string> SplitCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

// Returns the value of the flag, else of the environment variable, else what `read` returns for the
// settings file of --config. Returns an empty string if there is none.
std::string ResolveSetting(const std::string& flag, const char* variable,
                           std::string (*read)(const Settings&)) {
  if (!flag.empty()) {
    return flag;
  }
  std::string from_environment = EnvironmentVariable(variable);
  if (!from_environment.empty() || FLAGS_config.empty()) {
    return from_environment;
  }
  const Result<Settings> settings = LoadSettings(FLAGS_config);
  return settings ? read(settings.value()) : std::string();
}

Milliseconds CallTimeout() { return Milliseconds(FLAGS_call_timeout_ms); }

// Converts a response other than 200 to an error, with the message in its body if there is one.
Error ErrorFromResponse(const HttpCallReply& reply) {
  const nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
  std::string message = "status " + std::to_string(reply.status);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    message = body["error"].value("message", message);
  }
  return NotRun(reply.status == 401 ? ResultCode::kUnauthorized : ResultCode::kAdminUnreachable,
                message);
}

}  // namespace

std::string CommandContext::AdminKey() const {
  if (FLAGS_key_file.empty()) {
    return ResolveSetting("", "AZUREGW_ADMIN_KEY",
                          [](const Settings& settings) { return settings.admin.key; });
  }
  std::ifstream file(FLAGS_key_file);
  std::string key;
  std::getline(file, key);
  return key;
}

Result<std::unique_ptr<KeyValueStore>> CommandContext::OpenStore() const {
  const std::string address = ResolveSetting(FLAGS_kv, "AZUREGW_KV", [](const Settings& settings) {
    return settings.platform.kv_address;
  });
  if (address.empty()) {
    return NotRun(ResultCode::kUsage,
                  "no address of the key-value service: set --kv, AZUREGW_KV or --config");
  }
  return MakeHttpKeyValueStore(address, CallTimeout(), nullptr);
}

Result<std::vector<AdminTarget>> CommandContext::Targets() const {
  std::vector<AdminTarget> targets;
  for (const std::string& address : SplitCommas(FLAGS_admin)) {
    targets.push_back({"", address});
  }
  if (!targets.empty()) {
    return targets;
  }
  const std::string address =
      ResolveSetting(FLAGS_list, "AZUREGW_LIST",
                     [](const Settings& settings) { return settings.platform.list_address; });
  if (address.empty()) {
    return NotRun(ResultCode::kUsage,
                  "no address of an instance or of the instance list: set --admin, --list, "
                  "AZUREGW_LIST or --config");
  }
  const auto list = MakeHttpInstanceList(address, CallTimeout())->Fetch();
  if (!list) {
    return list.error();
  }
  for (const ListedInstance& entry : list.value()) {
    if (entry.role == ListedRole::kInstance && !entry.admin_address.empty()) {
      targets.push_back({entry.name, entry.admin_address});
    }
  }
  return targets;
}

Result<std::string> CommandContext::CallTarget(const AdminTarget& target, const std::string& key,
                                               const std::string& method,
                                               const std::string& path) const {
  HttpCallRequest request;
  request.method = method;
  const size_t question = path.find('?');
  request.path = path.substr(0, question);
  if (question != std::string::npos) {
    const std::string pair = path.substr(question + 1);
    request.query.emplace_back(pair.substr(0, pair.find('=')), pair.substr(pair.find('=') + 1));
  }
  request.bearer = key;
  const Result<HttpCallReply> reply = MakeHttpCaller(target.address, CallTimeout())->Call(request);
  if (!reply) {
    return Error{ResultCode::kAdminUnreachable, reply.error().message, reply.error().outcome, {}};
  }
  if (reply.value().status != 200) {
    return ErrorFromResponse(reply.value());
  }
  return reply.value().body;
}

std::vector<AdminResponse> CommandContext::CallAll(const std::vector<AdminTarget>& targets,
                                                   const std::string& method,
                                                   const std::string& path) const {
  const std::string key = AdminKey();
  std::vector<AdminResponse> responses(targets.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> threads;
  for (size_t i = 0; i < std::min(kMaxParallelCalls, targets.size()); ++i) {
    threads.emplace_back([&] {
      for (size_t index = next++; index < targets.size(); index = next++) {
        responses[index].target = targets[index];
        responses[index].body = CallTarget(targets[index], key, method, path);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return responses;
}

int CommandContext::Fail(const Error& error) const {
  if (FLAGS_json) {
    const nlohmann::json document = {{"error",
                                      {{"code", static_cast<int>(error.code)},
                                       {"name", ResultCodeName(error.code)},
                                       {"message", error.message},
                                       {"outcome", RunOutcomeName(error.outcome)}}}};
    std::cerr << document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
  } else {
    std::cerr << "error " << static_cast<int>(error.code) << " (" << ResultCodeName(error.code)
              << "): " << error.message << "\n";
  }
  return static_cast<int>(ExitCodeOf(error.code));
}

void CommandContext::PrintJson(const nlohmann::json& document) const {
  std::cout << document.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

Result<std::string> ReadInput(const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return NotRun(ResultCode::kUsage, "cannot read the file " + path);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace azuregw
