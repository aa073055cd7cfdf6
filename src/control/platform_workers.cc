// Watch and read threads with blocking calls to the platform.

#include "control/platform_workers.h"

#include <malloc.h>

#include <algorithm>
#include <string>
#include <utility>

namespace azuregw {
namespace {

// Decodes a preset record. A record of the target size temporarily needs about 10 MB; trimming
// returns the memory to the system before the control thread allocates as much in another glibc
// arena.
Result<PresetRecord> DecodeRecord(const std::string& text) {
  Result<PresetRecord> record = DecodePresetRecord(text);
  malloc_trim(0);
  return record;
}

}  // namespace

Milliseconds PlatformWorkers::Backoff::Next() {
  const Milliseconds delay = m_delay;
  m_delay = std::min(m_delay * 2, Milliseconds(kMaxDelay));
  return delay;
}

PlatformWorkers::PlatformWorkers(const ControlOptions& options,
                                 const ControlDependencies& dependencies,
                                 PlatformCallbacks callbacks)
    : m_options(options), m_dependencies(dependencies), m_callbacks(std::move(callbacks)) {
  m_watch = MakeThreadComponent(
      "preset watch", [this](const StopSignal& stop) { return RunWatch(stop); },
      [this] { WakeAll(); });
  m_read = MakeThreadComponent(
      "platform reads", [this](const StopSignal& stop) { return RunRead(stop); },
      [this] { WakeAll(); });
}

void PlatformWorkers::WakeAll() {
  // The lock prevents a lost wakeup between a waiter's check of the signal and its wait.
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_changed.notify_all();
}

void PlatformWorkers::SetWatching(bool watching) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_watching = watching;
  m_changed.notify_all();
}

void PlatformWorkers::SetPresetKnown(bool known) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_preset_known = known;
  m_changed.notify_all();
}

void PlatformWorkers::RequestRefresh(uint64_t number) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_requested_refresh = number;
  m_changed.notify_all();
}

bool PlatformWorkers::WaitUntil(const StopSignal& stop, TimePoint deadline,
                                const std::function<bool()>& wake_condition) {
  std::unique_lock<std::mutex> lock(m_mutex);
  m_changed.wait_until(lock, deadline, [&] { return stop.Raised() || wake_condition(); });
  return !stop.Raised();
}

Result<void> PlatformWorkers::RunWatch(const StopSignal& stop) {
  Backoff backoff;
  uint64_t after = 0;
  while (true) {
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      m_changed.wait(lock, [&] { return stop.Raised() || m_watching; });
    }
    if (stop.Raised()) {
      return boost::outcome_v2::success();
    }
    if (WatchOnce(&after)) {
      backoff.Reset();
      continue;
    }
    if (!WaitUntil(stop, SystemClock().Now() + backoff.Next(), [] { return false; })) {
      return boost::outcome_v2::success();
    }
  }
}

bool PlatformWorkers::WatchOnce(uint64_t* after) {
  Result<KvWatchReply> reply =
      m_dependencies.kv->Watch(kPresetWatchPrefix, *after, m_options.watch_wait);
  if (!reply) {
    m_callbacks.on_error("watch", reply.error());
    return false;
  }
  // A service restored from a backup continues from a lower revision; a watch after the previous
  // revision would never return a change.
  *after = reply.value().revision < *after ? 0 : reply.value().revision;
  for (const KvEntry& entry : reply.value().entries) {
    if (entry.key != kCurrentPresetKey) {
      continue;
    }
    Result<PresetRecord> record = DecodeRecord(entry.value);
    if (!record) {
      m_callbacks.on_error("watch", record.error());
      continue;
    }
    m_callbacks.on_preset(std::move(record.value()));
  }
  return true;
}

Result<void> PlatformWorkers::RunRead(const StopSignal& stop) {
  Backoff backoff;
  uint64_t completed_refresh = 0;
  TimePoint last_list;
  TimePoint next_preset;
  while (true) {
    const ReadPlan plan = PlanReads();
    const TimePoint now = SystemClock().Now();
    const bool forced = plan.refresh != completed_refresh;
    if (forced || (plan.need_preset && now >= next_preset)) {
      if (ReadPreset(plan.refresh)) {
        backoff.Reset();
      }
      next_preset = SystemClock().Now() + backoff.Next();
    }
    const bool first = last_list == TimePoint();
    if (forced || first || now >= last_list + plan.list_interval) {
      ReadList(plan.refresh);
      last_list = SystemClock().Now();
    }
    completed_refresh = plan.refresh;
    const TimePoint next_list = last_list + plan.list_interval;
    const TimePoint wake_at = plan.need_preset ? std::min(next_list, next_preset) : next_list;
    if (!WaitUntil(stop, wake_at, [&] { return !(PlanReadsLocked() == plan); })) {
      return boost::outcome_v2::success();
    }
  }
}

PlatformWorkers::ReadPlan PlatformWorkers::PlanReads() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return PlanReadsLocked();
}

PlatformWorkers::ReadPlan PlatformWorkers::PlanReadsLocked() const {
  ReadPlan plan;
  plan.refresh = m_requested_refresh;
  plan.need_preset = !m_preset_known && !m_watching;
  plan.list_interval = m_watching ? m_options.list_interval : m_options.idle_list_interval;
  return plan;
}

bool PlatformWorkers::ReadPreset(uint64_t refresh) {
  const Result<std::optional<KvEntry>> entry = m_dependencies.kv->Get(kCurrentPresetKey);
  if (!entry) {
    m_callbacks.on_error("preset", entry.error());
  } else if (entry.value()) {
    Result<PresetRecord> record = DecodeRecord(entry.value()->value);
    if (record) {
      m_callbacks.on_preset(std::move(record.value()));
    } else {
      m_callbacks.on_error("preset", record.error());
    }
  }
  m_callbacks.on_preset_read(refresh);
  return entry.has_value();
}

void PlatformWorkers::ReadList(uint64_t refresh) {
  Result<std::vector<ListedInstance>> list = m_dependencies.list->Fetch();
  if (list) {
    m_callbacks.on_list(std::move(list.value()));
  } else {
    m_callbacks.on_error("list", list.error());
  }
  m_callbacks.on_list_read(refresh);
}

}  // namespace azuregw
