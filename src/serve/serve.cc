// The main thread of an instance: signals and the graceful shutdown.

#include "azuregw/serve/serve.h"

#include <malloc.h>
#include <pplx/threadpool.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>

#include "azuregw/cli/exit_code.h"
#include "azuregw/logging/log.h"
#include "azuregw/serve/instance.h"
#include "serve/shutdown_sequence.h"

namespace azuregw {
namespace {

// Interval at which a drain through the admin port and the end of work are noticed.
constexpr Milliseconds kPollInterval{100};

// glibc creates up to 8 arenas per core; each keeps memory that was freed.
constexpr int kMaxMallocArenas = 2;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Returns whether a signal came within `time`.
bool WaitForSignal(const sigset_t& signals, Milliseconds time) {
  timespec limit;
  limit.tv_sec = time.count() / 1000;
  limit.tv_nsec = (time.count() % 1000) * 1000000;
  return sigtimedwait(&signals, nullptr, &limit) > 0;
}

void Log(LogLevel level, const char* event, ResultCode code, const std::string& message) {
  LogEvent(level, "serve", event, "", code, message);
}

// Runs until the shutdown has ended; returns its last phase.
ShutdownPhase RunUntilStopped(const sigset_t& signals, const DrainSettings& settings,
                              Instance* instance) {
  ShutdownSequence shutdown(settings);
  ShutdownPhase phase = ShutdownPhase::kServing;
  while (phase != ShutdownPhase::kFinished && phase != ShutdownPhase::kCut) {
    if (WaitForSignal(signals, kPollInterval)) {
      Log(LogLevel::kInfo, "stop_signal", ResultCode::kOk, "shutdown asked for");
      shutdown.OnStop(SystemClock().Now());
    }
    if (instance->DrainAsked()) {
      shutdown.OnDrain(SystemClock().Now());
    }
    if (phase == ShutdownPhase::kServing && shutdown.Phase() != ShutdownPhase::kServing) {
      instance->BeginDrain();
    }
    const ShutdownPhase before = shutdown.Phase();
    phase = shutdown.OnTick(SystemClock().Now(), instance->InProgress());
    if (phase == ShutdownPhase::kFinishing && before != phase) {
      instance->StopAccepting();
      Log(LogLevel::kInfo, "finishing", ResultCode::kDraining,
          std::to_string(instance->InProgress()) + " requests in progress");
    }
  }
  return phase;
}

}  // namespace

int RunServe(const Settings& settings, const InstanceOptions& options) {
  mallopt(M_ARENA_MAX, kMaxMallocArenas);
  InitLogging({settings.instance.name, settings.instance.failure_domain}, settings.log.level);
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  crossplat::threadpool::initialize_with_threads(static_cast<size_t>(settings.caller.threads));

  const std::unique_ptr<Instance> instance = MakeInstance(settings, options);
  const Result<void> started = instance->Start();
  if (!started) {
    Log(LogLevel::kError, "start_failed", started.error().code, started.error().message);
    return static_cast<int>(ExitCodeOf(started.error().code));
  }
  const InstanceAddresses addresses = instance->Addresses();
  std::printf("ready caller=%s admin=%s peer=%s\n", addresses.caller.c_str(),
              addresses.admin.c_str(), addresses.peer.c_str());
  std::fflush(stdout);

  const ShutdownPhase phase = RunUntilStopped(signals, settings.drain, instance.get());
  const int cut = phase == ShutdownPhase::kCut ? instance->InProgress() : 0;
  const int unwritten = instance->Stop();
  if (cut > 0 || unwritten > 0) {
    Log(LogLevel::kError, "work_cut", ResultCode::kDraining,
        std::to_string(cut) + " requests cut, " + std::to_string(unwritten) +
            " outcomes of orders not written");
    return static_cast<int>(ExitCode::kWorkCut);
  }
  Log(LogLevel::kInfo, "stopped", ResultCode::kOk, "all work has ended");
  return static_cast<int>(ExitCode::kSuccess);
}

}  // namespace azuregw
