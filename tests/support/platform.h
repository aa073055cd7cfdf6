// The fakes of the platform as processes, for tests of commands and of single instances.

#ifndef TESTS_SUPPORT_PLATFORM_H_
#define TESTS_SUPPORT_PLATFORM_H_

#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/fakes/preset_documents.h"
#include "tests/support/http_client.h"
#include "tests/support/process.h"

namespace azuregw::testing {

class Platform {
 public:
  static constexpr const char* kAdminKey = "operator-key-0123456789";

  Platform() : m_directory(MakeTemporaryDirectory()) {
    StartFake("kv", &m_kv_address, &m_kv);
    StartFake("list", &m_list_address, &m_list);
  }

  const std::string& directory() const { return m_directory; }
  const std::string& kv() const { return m_kv_address; }
  const std::string& list() const { return m_list_address; }

  // Runs `azuregw` with these arguments against the fakes.
  CommandResult Run(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(), AZUREGW_BINARY);
    return RunCommand(arguments);
  }
  CommandResult Preset(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(), "preset");
    arguments.push_back("--kv=" + m_kv_address);
    return Run(std::move(arguments));
  }

  // Calls a /test/ path of the fake key-value service.
  void ControlKv(const std::string& path) const { SendRequest("GET", m_kv_address, path, "", {}); }

  // Writes a file into the directory and returns its path.
  std::string Write(const std::string& name, const std::string& text) const {
    const std::string path = m_directory + "/" + name;
    std::ofstream(path) << text;
    return path;
  }
  std::string WritePreset(const std::string& name) const {
    return Write(name + ".json", azuregw::TestPresetDocument(name).dump());
  }

  // A settings file of an instance on kernel-chosen ports.
  std::string WriteSettings(const std::string& caller_address, const std::string& extra) const {
    return Write("gw.toml",
                 "[instance]\nname = \"gw-1\"\nfailure_domain = \"fd-a\"\n[caller]\naddress = \"" +
                     caller_address + "\"\n[admin]\naddress = \"127.0.0.1:0\"\nkey = \"" +
                     kAdminKey +
                     "\"\n[peer]\naddress = \"127.0.0.1:0\"\n"
                     "key = \"00112233445566778899aabbccddeeff\"\n[platform]\nkv_address = \"" +
                     m_kv_address + "\"\nlist_address = \"" + m_list_address + "\"\n" + extra);
  }

 private:
  void StartFake(const std::string& role, std::string* address, std::unique_ptr<Process>* out) {
    // Another process may take the port in the meantime.
    for (int attempt = 0; attempt < 5; ++attempt) {
      *address = FreeAddress();
      *out = Process::Start({AZUREGW_FAKES_BINARY, role, "--address=" + *address},
                            m_directory + "/" + role + ".log");
      if (*out && (*out)->WaitForOutput("ready " + *address, std::chrono::seconds(20))) {
        return;
      }
    }
  }

  std::string m_directory;
  std::string m_kv_address;
  std::string m_list_address;
  std::unique_ptr<Process> m_kv;
  std::unique_ptr<Process> m_list;
};

}  // namespace azuregw::testing

#endif  // TESTS_SUPPORT_PLATFORM_H_
