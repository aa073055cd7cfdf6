// Child processes by posix_spawn.

#include "tests/support/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

extern char** environ;

namespace azuregw::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kPollInterval{5};
constexpr milliseconds kCommandLimit{30000};
// Ports below the range that the kernel uses for outgoing connections. A port of that range can be
// taken by any connection between its choice here and the start of the process that listens on it.
constexpr uint16_t kFirstTestPort = 16000;
constexpr uint32_t kTestPorts = 16000;

}  // namespace

std::unique_ptr<Process> Process::Start(const std::vector<std::string>& arguments,
                                        const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherits sockets keeps connections open that this process has closed.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int status = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (status != 0) {
    return nullptr;
  }
  return std::unique_ptr<Process>(new Process(pid, log_path));
}

Process::Process(pid_t pid, std::string log_path) : m_pid(pid), m_log_path(std::move(log_path)) {}

Process::~Process() { Kill(); }

void Process::Signal(int signal_number) const {
  if (!m_exit_code) {
    ::kill(m_pid, signal_number);
  }
}

void Process::Kill() {
  Signal(SIGKILL);
  Wait(milliseconds(10000));
}

void Process::Stop() const { Signal(SIGSTOP); }

void Process::Continue() const { Signal(SIGCONT); }

std::optional<int> Process::Wait(milliseconds limit) {
  WaitUntil(
      [this] {
        if (!m_exit_code) {
          int status = 0;
          if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
          }
        }
        return m_exit_code.has_value();
      },
      limit);
  return m_exit_code;
}

bool Process::WaitForOutput(const std::string& text, milliseconds limit) {
  return WaitUntil(
             [this, &text] {
               return ReadFile(m_log_path).find(text) != std::string::npos ||
                      Wait(milliseconds(0)).has_value();
             },
             limit) &&
         ReadFile(m_log_path).find(text) != std::string::npos;
}

CommandResult RunCommand(const std::vector<std::string>& arguments) {
  const std::string log = MakeTemporaryDirectory() + "/output";
  CommandResult result;
  const std::unique_ptr<Process> process = Process::Start(arguments, log);
  if (process) {
    result.exit_code = process->Wait(kCommandLimit).value_or(-1);
  }
  result.output = ReadFile(log);
  return result;
}

int PeakMemoryMb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::stoi(line.substr(6)) / 1024;
    }
  }
  return -1;
}

std::string FreeAddress() {
  static std::atomic<uint32_t> next{static_cast<uint32_t>(::getpid()) * 97};
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstTestPort + next++ % kTestPorts);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    if (free) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

bool WaitUntil(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = steady_clock::now() + limit;
  while (!condition()) {
    if (steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::string MakeTemporaryDirectory() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base == nullptr ? "/tmp" : base) + "/azuregw-test-XXXXXX";
  return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

}  // namespace azuregw::testing
