// Access of commands to arguments, addresses of services and instances, and output.

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

// Admin port of one instance.
struct AdminTarget {
  std::string name;     // Name of the instance; empty if the address was given by a flag.
  std::string address;  // "IP:port".
};

// Result of a call to one admin port.
struct AdminResponse {
  AdminTarget target;
  Result<std::string> body = NotRun(ResultCode::kAdminUnreachable, "not asked");
};

// Passed to the function of each command. Addresses and the admin key are taken from flags, else
// from the environment, else from the settings file of --config.
class CommandContext {
 public:
  // `line` must outlive the context.
  explicit CommandContext(const CommandLine& line) : m_line(line) {}

  const std::vector<std::string>& Arguments() const { return m_line.arguments; }
  bool HasFlag(const std::string& name) const { return m_line.flags.count(name) != 0; }

  // Creates a client of the key-value service. Errors: kUsage if no address is set.
  Result<std::unique_ptr<KeyValueStore>> OpenStore() const;

  // Returns the instances of --admin, else those of the instance list. Errors: kUsage if no address
  // is set, kListUnavailable.
  Result<std::vector<AdminTarget>> Targets() const;

  // Sends one request to each target, up to 16 at a time, and waits for all responses. They are in
  // the order of the targets.
  std::vector<AdminResponse> CallAll(const std::vector<AdminTarget>& targets,
                                     const std::string& method, const std::string& path) const;

  // Prints the error on stderr, as JSON if --json is set, and returns its exit code.
  int Fail(const Error& error) const;
  // Prints the document on stdout, indented.
  void PrintJson(const nlohmann::json& document) const;

 private:
  std::string AdminKey() const;
  Result<std::string> CallTarget(const AdminTarget& target, const std::string& key,
                                 const std::string& method, const std::string& path) const;

  const CommandLine& m_line;
};

// Returns the contents of a file, or of stdin if `path` is "-". Errors: kUsage if the file cannot
// be read.
Result<std::string> ReadInput(const std::string& path);

}  // namespace azuregw

#endif  // SRC_CLI_CONTEXT_H_
