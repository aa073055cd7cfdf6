// Child processes of the process tests: start, signal, wait, and read what they print.

#ifndef TESTS_SUPPORT_PROCESS_H_
#define TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azuregw::testing {

class Process {
 public:
  // Starts `arguments` (the first is the program) with both output streams appended to `log_path`.
  // Null on failure.
  static std::unique_ptr<Process> Start(const std::vector<std::string>& arguments,
                                        const std::string& log_path);
  // Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return m_pid; }
  const std::string& log_path() const { return m_log_path; }
  void Signal(int signal_number) const;
  void Kill();
  void Stop() const;      // SIGSTOP
  void Continue() const;  // SIGCONT
  // Exit code, 128 + signal when killed, or nullopt when it still runs after `limit`.
  std::optional<int> Wait(std::chrono::milliseconds limit);
  // Waits until the log contains `text`; false after `limit` or when the process has ended.
  bool WaitForOutput(const std::string& text, std::chrono::milliseconds limit);

 private:
  Process(pid_t pid, std::string log_path);

  pid_t m_pid;
  std::string m_log_path;
  std::optional<int> m_exit_code;
};

struct CommandResult {
  int exit_code = -1;
  std::string output;  // Both streams.
};

// Runs a command to its end; kills it after 30 s.
CommandResult RunCommand(const std::vector<std::string>& arguments);

// Returns the peak of a process's resident memory so far, in MB; -1 if it does not run.
int PeakMemoryMb(pid_t pid);

// "127.0.0.1:PORT" with a port that the kernel found free.
std::string FreeAddress();

// Polls until the condition holds; false after `limit`.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

// A new directory for logs and settings, removed by the operating system's cleaning of temporary
// files.
std::string MakeTemporaryDirectory();

std::string ReadFile(const std::string& path);

}  // namespace azuregw::testing

#endif  // TESTS_SUPPORT_PROCESS_H_
