// Reads, writes and decodes the stored quarantine.

#include "azuregw/sync/quarantine_store.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>

namespace azuregw {
namespace {

using nlohmann::json;

// Stands for the quarantine of a part among its crashes.
constexpr ProcessId kQuarantined = 0;

uint64_t ParseId(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 16); }

std::set<std::pair<PartId, ProcessId>> Ids(const PromptEvidence& evidence) {
  std::set<std::pair<PartId, ProcessId>> ids;
  for (const CrashReport& crash : evidence.crashes) {
    ids.emplace(crash.part, crash.process);
  }
  for (const PartId part : evidence.quarantined) {
    ids.emplace(part, kQuarantined);
  }
  return ids;
}

}  // namespace

void QuarantineStore::Start() {
  m_store->Era()->AddListener([this](uint64_t, std::string_view) { OnStoreRestored(); });
  Read(ReadMode::kBounded, false);
  Tick();
}

void QuarantineStore::OnStoreRestored() {
  ++m_generation;
  m_loaded = false;
  m_stored.clear();
  m_seen_version = 0;
}

void QuarantineStore::SetLeading(bool leading) {
  m_loaded = m_loaded && leading;
  m_leading = leading;
}

void QuarantineStore::Tick() {
  m_timer = m_loop->After(kTickInterval, [this] { Tick(); });
  if (!m_leading || m_calling) {
    return;
  }
  const TimePoint now = m_loop->Now();
  if (!m_loaded) {
    Read(ReadMode::kNewest, false);
    return;
  }
  if (m_seen_version != m_quarantine->Version()) {
    m_seen_version = m_quarantine->Version();
    if (Ids(m_quarantine->EvidenceToKeep(now)) != m_stored) {
      Write();
      return;
    }
  }
  if (!m_stored.empty() && now - m_last_read > kLiftCheckInterval) {
    // A bounded read may be older than the last write of the key.
    Read(ReadMode::kNewest, true);
  }
}

void QuarantineStore::Read(ReadMode mode, bool lift) {
  m_calling = true;
  m_last_read = m_loop->Now();
  m_store->Get(m_key, mode,
               [this, mode, lift, generation = m_generation](Result<KvReading> reading) {
                 m_calling = false;
                 m_started = true;
                 if (!reading || generation != m_generation) {
                   return;  // The next tick of a leader reads again.
                 }
                 const auto& entry = reading.value().entry;
                 if (lift && !entry) {
                   m_log->Write("prompt_quarantine_lifted", {{"key", m_key}}, true);
                   m_quarantine->LiftAll(m_loop->Now());
                 }
                 if (mode == ReadMode::kNewest || lift) {
                   m_revision = entry ? entry->revision : 0;
                   m_stored.clear();
                   m_loaded = m_leading;
                 }
                 if (entry) {
                   const PromptEvidence evidence = Decode(entry->value);
                   m_stored = Ids(evidence);
                   m_quarantine->Merge(evidence, m_loop->Now());
                 }
               });
}

void QuarantineStore::Write() {
  m_calling = true;
  const PromptEvidence evidence = m_quarantine->EvidenceToKeep(m_loop->Now());
  m_store->CompareAndSwap(
      m_key, m_revision, Encode(evidence), 0,
      [this, ids = Ids(evidence), generation = m_generation](Result<uint64_t> revision) {
        m_calling = false;
        if (revision && generation == m_generation) {
          m_revision = revision.value();
          m_stored = ids;
          return;
        }
        // Another leader may have written, or this write may still be done.
        m_loaded = false;
        m_seen_version = 0;
      });
}

std::string QuarantineStore::Encode(const PromptEvidence& evidence) const {
  const int64_t now_ms = m_clock->WallMs();
  json list = json::array();
  for (const CrashReport& crash : evidence.crashes) {
    list.push_back({{"part", PartName(crash.part)},
                    {"process", PartName(crash.process)},
                    {"unix_ms", now_ms - crash.age.count()}});
  }
  json quarantined = json::array();
  for (const PartId part : evidence.quarantined) {
    quarantined.push_back(PartName(part));
  }
  return json{{"quarantined", quarantined}, {"crashes", list}}.dump();
}

PromptEvidence QuarantineStore::Decode(std::string_view document) const {
  PromptEvidence evidence;
  const int64_t now_ms = m_clock->WallMs();
  try {
    const json root = json::parse(document);
    for (const json& crash : root.at("crashes")) {
      const int64_t age = now_ms - crash.at("unix_ms").get<int64_t>();
      // Clocks of instances differ, and may jump.
      evidence.crashes.push_back(
          {ParseId(crash.at("part").get<std::string>()),
           ParseId(crash.at("process").get<std::string>()),
           Milliseconds(std::clamp<int64_t>(age, 0, PromptQuarantine::kEvidenceTtl.count()))});
    }
    for (const json& part : root.at("quarantined")) {
      evidence.quarantined.push_back(ParseId(part.get<std::string>()));
    }
  } catch (const json::exception& error) {
    m_log->Write("prompt_quarantine_unreadable", {{"key", m_key}, {"reason", error.what()}}, true);
  }
  return evidence;
}

}  // namespace azuregw
