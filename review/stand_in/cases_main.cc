// The scripts of the review: each starts a small deployment, disturbs it unless TROUBLE=0, and
// checks one rule from what callers and engines see.
//
//   review_cases CASE RECORD     in the repository root; exits with 0: held, 1: broken, 2: not run

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_in/answers.h"
#include "review/stand_in/small_system.h"

namespace azuregw::review {
namespace {

constexpr Milliseconds kStartLimit{10000};
// Longer than the deadline of any caller.
constexpr Milliseconds kAnswerLimit{9000};
constexpr char kKey[] = "key-0";
// With one engine of seven, a crash and a leaving stay below the shares of a day (0.15).
constexpr int kEngines = 7;

bool WithTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int CouldNotRun(SmallSystem* system, const std::string& reason) {
  system->Note("could not run: " + reason);
  return kCouldNotRun;
}

// Sends a request to `path` every `interval` for `time`.
void SendAtInterval(SmallSystem* system, const StandInInstance& instance, const std::string& path,
                    const std::string& key, Milliseconds interval, Milliseconds time) {
  for (Milliseconds at{0}; at < time; at += interval) {
    system->Later(at, [system, &instance, path, key] { system->Send(instance, path, "x", key); });
  }
}

// Waits until a request to `path` gets its whole answer.
bool WaitServed(SmallSystem* system, const StandInInstance& instance, const std::string& path) {
  const TimePoint end = system->Now() + kStartLimit;
  while (system->Now() < end) {
    const auto request = system->Send(instance, path, "first", kKey);
    system->RunUntil([&] { return request->ended; }, Milliseconds(6000));
    if (request->complete && request->answer == WholeAnswer(request->body, request->stream)) {
      return true;
    }
    system->RunFor(Milliseconds(200));
  }
  return false;
}

// Starts the engines of a service; returns whether they came up.
bool StartEngines(SmallSystem* system, const std::string& service, bool model) {
  for (int i = 1; i <= kEngines; ++i) {
    if (system->StartEngine("e" + std::to_string(i), service, model) == nullptr) {
      return false;
    }
  }
  return true;
}

bool AllEnded(const SmallSystem& system) {
  return std::all_of(system.Requests().begin(), system.Requests().end(),
                     [](const auto& request) { return request->ended; });
}

// Checks MIXED and ORDER: a success that looks complete must be the whole answer.
int JudgeAnswers(SmallSystem* system) {
  int whole = 0;
  int truncated = 0;
  for (const auto& request : system->Requests()) {
    if (request->status != 200 || !request->complete) {
      continue;
    }
    if (request->sealed && request->answer == WholeAnswer(request->body, request->stream)) {
      ++whole;
    } else {
      ++truncated;
      system->Note("BROKEN: " + request->id + " was answered 200 with a complete answer of " +
                   std::to_string(request->answer.size()) + " of " +
                   std::to_string(WholeAnswer(request->body, request->stream).size()) + " bytes");
    }
  }
  system->Note(std::to_string(system->Requests().size()) + " requests, " + std::to_string(whole) +
               " whole answers, " + std::to_string(truncated) + " that look complete and are not");
  system->RecordRuns();
  if (truncated > 0) {
    return kBroken;
  }
  return whole > 0 ? kHeld : kCouldNotRun;
}

// An engine is killed under load while it answers without lengths.
int EngineIsKilled(SmallSystem* system, const std::string& path) {
  const bool stream = path == "/model/";
  if (!system->StartStore()) {
    return CouldNotRun(system, "the store");
  }
  if (!StartEngines(system, stream ? "model" : "orders", stream)) {
    return CouldNotRun(system, "the engines");
  }
  system->Store()->Put("op/config", OperatorConfig(1, {kKey}));
  StandInInstance* const instance = system->StartInstance("gw-1", "zone-a");
  if (!system->WaitReady(*instance, kStartLimit) || !WaitServed(system, *instance, path)) {
    return CouldNotRun(system, "the instance does not serve");
  }
  const Milliseconds load_time(stream ? 8000 : 3000);
  SendAtInterval(system, *instance, path, kKey, Milliseconds(stream ? 30 : 8), load_time);
  if (WithTrouble()) {
    system->Later(load_time * 3 / 4, [system] {
      StandInEngine* const engine = system->BusiestEngine();
      system->Note("engine " + engine->id + " is killed");
      engine->process->Kill();
    });
  }
  system->RunFor(load_time);
  system->RunUntil([&] { return AllEnded(*system); }, kAnswerLimit);
  return JudgeAnswers(system);
}

// An engine reports that it drains, serves for drainMs and a little longer, and exits.
int EngineLeaves(SmallSystem* system) {
  constexpr Milliseconds kDrain{2000};
  constexpr Milliseconds kLittleLonger{300};
  if (!system->StartStore()) {
    return CouldNotRun(system, "the store");
  }
  if (!StartEngines(system, "model", true)) {
    return CouldNotRun(system, "the engines");
  }
  system->Store()->Put("op/config", OperatorConfig(1, {kKey}));
  StandInInstance* const instance = system->StartInstance("gw-1", "zone-a");
  if (!system->WaitReady(*instance, kStartLimit) || !WaitServed(system, *instance, "/model/")) {
    return CouldNotRun(system, "the instance does not serve");
  }
  constexpr Milliseconds kLoadTime{8000};
  SendAtInterval(system, *instance, "/model/", kKey, Milliseconds(30), kLoadTime);
  if (WithTrouble()) {
    system->Later(Milliseconds(4000), [system, kDrain, kLittleLonger] {
      StandInEngine* const engine = system->BusiestEngine();
      system->Note("engine " + engine->id + " reports draining to the store");
      system->Drain(engine);
      system->Later(kDrain + kLittleLonger, [system, engine] {
        system->Note("engine " + engine->id + " exits");
        engine->process->Signal(SIGTERM);
      });
    });
  }
  system->RunFor(kLoadTime);
  system->RunUntil([&] { return AllEnded(*system); }, kAnswerLimit);
  return JudgeAnswers(system);
}

// A key is removed; at that moment the store goes away, and it comes back from a copy.
int StoreComesBackFromCopy(SmallSystem* system) {
  constexpr Milliseconds kRevokeBound{5000};
  constexpr Milliseconds kStoreAway{3500};
  constexpr Milliseconds kRewrittenAfter{2000};
  constexpr char kOldKey[] = "key-1";
  if (!system->StartStore() || !StartEngines(system, "orders", false)) {
    return CouldNotRun(system, "the store or the engines");
  }
  system->Store()->Put("op/config", OperatorConfig(1, {kKey, kOldKey}));
  std::vector<StandInInstance*> instances;
  for (const char* const name : {"gw-1", "gw-2", "gw-3"}) {
    instances.push_back(system->StartInstance(name, "zone-a"));
  }
  for (const StandInInstance* const instance : instances) {
    if (!system->WaitReady(*instance, kStartLimit) || !WaitServed(system, *instance, "/order/")) {
      return CouldNotRun(system, instance->name + " does not serve");
    }
  }
  system->RunFor(Milliseconds(2000));
  system->Store()->BackUp();
  system->Note("the store is copied; its configuration has version 1");
  system->RunFor(Milliseconds(2000));
  system->Store()->Put("op/config", OperatorConfig(2, {kKey, kOldKey, "key-2"}));
  system->Note("version 2, which adds a key, is acknowledged");
  system->RunFor(Milliseconds(2000));
  const std::string newest = OperatorConfig(3, {kKey, "key-2"});
  const bool trouble = WithTrouble();
  if (trouble) {
    system->StopStore();
  }
  system->Store()->Put("op/config", newest);
  const TimePoint acknowledged = system->Now();
  system->Note(std::string("version 3, which removes ") + kOldKey + ", is acknowledged" +
               (trouble ? ", and the store goes away" : ""));
  if (trouble) {
    system->Later(kStoreAway, [system] {
      system->Note("the store is back from its copy");
      system->Store()->Restore();
      system->ResumeStore();
    });
    system->Later(kStoreAway + kRewrittenAfter, [system, newest] {
      system->Note("the operator has written version 3 again");
      system->Store()->Put("op/config", newest);
    });
  }
  constexpr Milliseconds kCallersTime{9000};
  for (const StandInInstance* const instance : instances) {
    SendAtInterval(system, *instance, "/order/", kOldKey, Milliseconds(100), kCallersTime);
    SendAtInterval(system, *instance, "/order/", kKey, Milliseconds(400), kCallersTime);
  }
  system->RunFor(kCallersTime);
  system->RunUntil([&] { return AllEnded(*system); }, kAnswerLimit);
  int late = 0;
  int served = 0;
  for (const auto& request : system->Requests()) {
    const bool ran = request->status == 200 && request->sealed;
    served += ran && request->key == kKey ? 1 : 0;
    if (ran && request->key == kOldKey && request->sent > acknowledged + kRevokeBound) {
      ++late;
      const auto after = std::chrono::duration_cast<Milliseconds>(request->sent - acknowledged);
      system->Note("BROKEN: " + request->id + " with " + kOldKey + " ran, sent " +
                   std::to_string(after.count()) + " ms after the acknowledgement");
    }
  }
  system->Note(std::to_string(late) + " requests with the removed key ran later than revokeMs; " +
               std::to_string(served) + " requests with a valid key were served");
  system->RecordRuns();
  if (late > 0) {
    return kBroken;
  }
  return served > 0 ? kHeld : kCouldNotRun;
}

// Orders are answered with 5 MiB, or with 800 bytes without trouble, to callers that keep their
// connections.
int AnswersAreLarge(SmallSystem* system) {
  constexpr int kRequests = 20;
  constexpr int kAllowed = 3;
  if (!system->StartStore() || !StartEngines(system, "orders", false)) {
    return CouldNotRun(system, "the store or the engines");
  }
  system->Store()->Put("op/config", OperatorConfig(1, {kKey}));
  StandInInstance* const instance = system->StartInstance("gw-1", "zone-a");
  if (!system->WaitReady(*instance, kStartLimit) || !WaitServed(system, *instance, "/order/")) {
    return CouldNotRun(system, "the instance does not serve");
  }
  // The machine is in touch after a start once stableWindowMs has passed.
  system->RunFor(Milliseconds(4000));
  system->KeepConnections();
  int lost = 0;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    // The first request opens the connection on which the second one is sent.
    for (const char* const body : {"x", WithTrouble() ? kLargePrefix : "x"}) {
      const auto request = system->Send(*instance, "/order/", body, kKey);
      system->RunUntil([&] { return request->ended; }, kAnswerLimit);
      served += request->complete && request->status == 200 ? 1 : 0;
      if (request->on_kept_connection && request->status == 0 && request->ended &&
          system->AnsweredByEngine(request->id)) {
        ++lost;
        system->Note("BROKEN: the connection of " + request->id +
                     " was closed without an answer, which the engine had written whole");
      }
    }
  }
  system->Note(std::to_string(lost) + " requests lost their answer, " + std::to_string(served) +
               " requests were served");
  system->RecordRuns();
  if (lost > kAllowed) {
    return kBroken;
  }
  return served > 0 ? kHeld : kCouldNotRun;
}

// Sends a request whose first chunk has an extension without end, at most `bytes_per_s`, until the
// instance closes the connection or `time` has passed.
void SendEndlessChunkExtension(const boost::asio::ip::tcp::endpoint& callers, int64_t bytes_per_s,
                               Milliseconds time) {
  constexpr int kPartsPerS = 100;
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(callers, error);
  const std::string head = std::string("POST /order/x HTTP/1.1\r\nHost: ") + kHostName +
                           "\r\nX-Request-Id: endless\r\nTransfer-Encoding: chunked\r\n\r\n5;a=";
  if (!error) {
    boost::asio::write(socket, boost::asio::buffer(head), error);
  }
  const std::string part(static_cast<size_t>(bytes_per_s / kPartsPerS), 'b');
  auto next = std::chrono::steady_clock::now();
  for (const auto end = next + time; !error && next < end;
       next += Milliseconds(1000) / kPartsPerS) {
    std::this_thread::sleep_until(next);
    boost::asio::write(socket, boost::asio::buffer(part), error);
  }
}

// One caller goes beyond the limits of the configuration; the others send orders.
int CallerSendsWithoutEnd(SmallSystem* system) {
  constexpr int kMemoryMb = 260;             // As in the settings.
  constexpr int64_t kBytesPerS = 100000000;  // Less than the link of 1000 Mbit/s carries.
  constexpr Milliseconds kEndlessTime{5000};
  constexpr int kAllowed = 3;
  if (!system->StartStore() || !StartEngines(system, "orders", false)) {
    return CouldNotRun(system, "the store or the engines");
  }
  system->Store()->Put("op/config", OperatorConfig(1, {kKey}));
  StandInInstance* const instance = system->StartInstance("gw-1", "zone-a");
  if (!system->WaitReady(*instance, kStartLimit) || !WaitServed(system, *instance, "/order/")) {
    return CouldNotRun(system, "the instance does not serve");
  }
  system->KeepConnections();
  system->EnforceMemoryLimit(instance, kMemoryMb);
  constexpr Milliseconds kLoadTime{10000};
  SendAtInterval(system, *instance, "/order/", kKey, Milliseconds(20), kLoadTime);
  system->RunFor(Milliseconds(4000));
  std::thread endless;
  if (WithTrouble()) {
    system->Note("one caller sends a chunk extension without end");
    endless = std::thread(SendEndlessChunkExtension, instance->callers, kBytesPerS, kEndlessTime);
  }
  system->RunFor(kLoadTime - Milliseconds(4000));
  system->RunUntil([&] { return AllEnded(*system); }, kAnswerLimit);
  if (endless.joinable()) {
    endless.join();
  }
  int lost = 0;
  int served = 0;
  for (const auto& request : system->Requests()) {
    served += request->complete && request->status == 200 ? 1 : 0;
    if (request->on_kept_connection && request->status == 0 && system->BegunByEngine(request->id)) {
      ++lost;
      system->Note("BROKEN: the connection of " + request->id +
                   " ended without an answer after an engine had begun to run it");
    }
  }
  system->Note(std::to_string(lost) + " requests lost their answer, " + std::to_string(served) +
               " requests were served");
  system->RecordRuns();
  if (lost > kAllowed) {
    return kBroken;
  }
  return served > 0 ? kHeld : kCouldNotRun;
}

int Run(const std::string& name, const std::string& record) {
  SmallSystem system(record);
  if (name == "killed-orders") {
    return EngineIsKilled(&system, "/order/");
  }
  if (name == "killed-streams") {
    return EngineIsKilled(&system, "/model/");
  }
  if (name == "leaves") {
    return EngineLeaves(&system);
  }
  if (name == "copy") {
    return StoreComesBackFromCopy(&system);
  }
  if (name == "large") {
    return AnswersAreLarge(&system);
  }
  if (name == "endless") {
    return CallerSendsWithoutEnd(&system);
  }
  std::cerr << "unknown case: " << name << "\n";
  return kCouldNotRun;
}

}  // namespace
}  // namespace azuregw::review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: review_cases CASE RECORD\n";
    return azuregw::review::kCouldNotRun;
  }
  return azuregw::review::Run(argv[1], argv[2]);
}
