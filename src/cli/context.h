// What every command needs: flags, addresses, output.

#ifndef SRC_CLI_CONTEXT_H_
#define SRC_CLI_CONTEXT_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/cli/exit_code.h"
#include "azuregw/kv/key_value_store.h"
#include "cli/command_line.h"

namespace azuregw {

struct AdminTarget {
  std::string name;  // Empty when the address was given by a flag.
  std::string address;
};

struct AdminAnswer {
  AdminTarget target;
  Result<std::string> body = NotRun(ResultCode::kAdminUnreachable, "not asked");
};

// Addresses come from flags, else from the environment, else from the settings file of --config.
class CommandContext {
 public:
  explicit CommandContext(const CommandLine& line) : m_line(line) {}

  const std::vector<std::string>& Arguments() const { return m_line.arguments; }
  bool HasFlag(const std::string& name) const { return m_line.flags.count(name) != 0; }

  // Errors: kUsage when no address is known.
  Result<std::unique_ptr<KeyValueStore>> OpenStore() const;

  // The instances of --admin, or those of the list. Errors: kUsage, kListUnavailable.
  Result<std::vector<AdminTarget>> Targets() const;

  // Sends one request to each target, several at a time; answers are in the order of the targets.
  std::vector<AdminAnswer> AskAll(const std::vector<AdminTarget>& targets,
                                  const std::string& method, const std::string& path) const;

  // Prints the error on stderr, as JSON with --json, and returns its exit code.
  int Fail(const Error& error) const;
  void PrintJson(const nlohmann::json& document) const;

 private:
  std::string AdminKey() const;
  Result<std::string> Ask(const AdminTarget& target, const std::string& key,
                          const std::string& method, const std::string& path) const;

  const CommandLine& m_line;
};

// Reads a file, or stdin for "-". Errors: kUsage.
Result<std::string> ReadInput(const std::string& path);

}  // namespace azuregw

#endif  // SRC_CLI_CONTEXT_H_
