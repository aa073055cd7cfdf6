// Counts crashes per prompt part and attributes each one to the part that explains most of them.

#include "azuregw/admission/prompt_quarantine.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <string>
#include <tuple>
#include <utility>

namespace azuregw {
namespace {

// Interval at which expired evidence is dropped.
constexpr Milliseconds kExpiryInterval{1000};
// Marks the IDs of whole requests.
constexpr PartId kRequestBit = PartId{1} << 63;
// Retry-After while a trial is due or running at another instance.
constexpr Milliseconds kMinRetryAfter{2000};
// Retry-After while a whole request is probed.
constexpr Milliseconds kProbeRetryAfter{200};

uint64_t Digest(std::string_view first, std::string_view second) {
  std::string text(first);
  text += '\0';
  text += second;
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  uint64_t value = 0;
  std::memcpy(&value, digest, sizeof(value));
  return value;
}

Milliseconds Age(TimePoint when, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - when);
}

}  // namespace

PartId MakePartId(std::string_view service, std::string_view part) {
  return Digest(service, part) & ~kRequestBit;
}

PartId MakeRequestPartId(std::string_view service, std::string_view key, std::string_view method,
                         std::string_view target, std::string_view body) {
  std::string text;
  for (const std::string_view field : {key, method, target, body}) {
    text += std::to_string(field.size()) + ':';
    text += field;
  }
  return Digest(service, text) | kRequestBit;
}

bool IsRequestPart(PartId part) { return (part & kRequestBit) != 0; }

std::string PartName(PartId part) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(part));
  return text;
}

ProcessId MakeProcessId(std::string_view upstream, int64_t started_ms) {
  return Digest(upstream, std::to_string(started_ms));
}

void PromptQuarantine::OnAnswer(gsl::span<const PartId> parts, TimePoint now) {
  CountRequest(false, now);
  std::vector<PartId> changed;
  for (const PartId id : parts) {
    const auto found = m_proof_index.find(id);
    if (found != m_proof_index.end()) {
      found->second->second = now;
      m_proofs.splice(m_proofs.begin(), m_proofs, found->second);
    } else {
      m_proofs.emplace_front(id, now);
      m_proof_index[id] = m_proofs.begin();
      if (m_proofs.size() > kMaxProofs) {
        m_proof_index.erase(m_proofs.back().first);
        m_proofs.pop_back();
      }
    }
    const auto part = m_parts.find(id);
    if (part != m_parts.end() && !part->second.crashes.empty() && AddAnswer(id, now, now)) {
      changed.push_back(id);
    }
  }
  AddOwn(changed);
}

void PromptQuarantine::OnCrash(gsl::span<const PartId> parts, ProcessId process, TimePoint when,
                               TimePoint now) {
  CountRequest(true, now);
  std::vector<PartId> changed;
  for (const PartId id : parts) {
    if (AddCrash(id, process, when, now)) {
      changed.push_back(id);
    }
  }
  AddOwn(changed);
}

void PromptQuarantine::AddOwn(gsl::span<const PartId> changed) {
  if (changed.empty()) {
    return;
  }
  ++m_version;
  ++m_own_version;
  for (const PartId id : changed) {
    // A request with very many parts may have displaced some of its own.
    const auto part = m_parts.find(id);
    if (part != m_parts.end()) {
      part->second.version = m_version;
      part->second.own_version = m_own_version;
    }
  }
  m_listener();
}

bool PromptQuarantine::AddCrash(PartId id, ProcessId process, TimePoint when, TimePoint now) {
  const bool is_new = m_parts.count(id) == 0;
  if (is_new && m_parts.size() >= kMaxParts) {
    DropWeakest();
  }
  Part& part = m_parts[id];
  if (is_new) {
    const auto proof = m_proof_index.find(id);
    if (proof != m_proof_index.end()) {
      part.answered = proof->second->second;
      part.own_version = ++m_own_version;
    }
  }
  part.changed = now;
  if (part.answered && when <= *part.answered) {
    return is_new;
  }
  const auto [crash, added] = part.crashes.emplace(process, when);
  if (!added) {
    // The earliest estimate counts, so that evidence that is relayed does not become younger.
    crash->second = std::min(crash->second, when);
    return false;
  }
  if (part.crashes.size() > kMaxCrashesPerPart) {
    const auto oldest =
        std::min_element(part.crashes.begin(), part.crashes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    const bool dropped_new = oldest->first == process;
    part.crashes.erase(oldest);
    return !dropped_new;
  }
  return true;
}

bool PromptQuarantine::AddAnswer(PartId id, TimePoint when, TimePoint now) {
  const auto found = m_parts.find(id);
  if (found == m_parts.end()) {
    return false;
  }
  Part& part = found->second;
  if (part.answered && when <= *part.answered) {
    return false;
  }
  const bool first = !part.answered;
  part.answered = when;
  part.changed = now;
  const size_t before = part.crashes.size();
  for (auto crash = part.crashes.begin(); crash != part.crashes.end();) {
    crash = crash->second <= when ? part.crashes.erase(crash) : std::next(crash);
  }
  part.quarantined = part.quarantined && !part.crashes.empty();
  return first || part.crashes.size() < before;
}

PromptQuarantine::CrashCount PromptQuarantine::Count(PartId id, const Part& part,
                                                     const std::set<ProcessId>& explained) {
  const Milliseconds min_interval = IsRequestPart(id) ? Milliseconds(0) : kMinCrashInterval;
  std::vector<TimePoint> times;
  for (const auto& [process, when] : part.crashes) {
    if (explained.count(process) == 0) {
      times.push_back(when);
    }
  }
  std::sort(times.begin(), times.end());
  CrashCount result;
  for (const TimePoint when : times) {
    if (result.count == 0 || when - result.last >= min_interval) {
      result.isolated += result.count > 0 && when - result.last >= kTrialDelayProven ? 1 : 0;
      result.first = result.count == 0 ? when : result.first;
      result.last = when;
      ++result.count;
    }
  }
  return result;
}

bool PromptQuarantine::WasProven(const Part& part, const CrashCount& crashes) {
  return part.answered && crashes.first - *part.answered < kProofTtl;
}

int PromptQuarantine::Limit(PartId id, const Part& part, const CrashCount& crashes) const {
  if (WasProven(part, crashes)) {
    return kMaxCrashes;
  }
  if (IsRequestPart(id)) {
    return kMinCrashes;
  }
  const double needed = std::ceil(std::log(kFalseBlame) / std::log(std::min(0.9, CrashShare())));
  return std::clamp(static_cast<int>(needed), kMinCrashes, kMaxCrashes);
}

void PromptQuarantine::CountRequest(bool crashed, TimePoint now) {
  const double decay = std::exp(-std::chrono::duration<double>(now - m_counted) / kShareWindow);
  m_counted = now;
  m_begun = m_begun * decay + 1;
  m_crashed = m_crashed * decay + (crashed ? 1 : 0);
}

Milliseconds PromptQuarantine::TrialDelay(PartId id, const Part& part,
                                          const CrashCount& crashes) const {
  Milliseconds delay = WasProven(part, crashes) ? kTrialDelayProven : kTrialDelay;
  const int trials = IsRequestPart(id) ? crashes.count - kMinCrashes : crashes.isolated;
  for (int i = 0; i < trials; ++i) {
    delay = std::min(kMaxTrialDelay, delay * 4);
  }
  return delay;
}

void PromptQuarantine::Update(TimePoint now) {
  if (m_updated_version == m_version && now - m_updated < kExpiryInterval) {
    return;
  }
  m_updated = now;
  for (auto part = m_parts.begin(); part != m_parts.end();) {
    auto& crashes = part->second.crashes;
    for (auto crash = crashes.begin(); crash != crashes.end();) {
      crash = now - crash->second > kEvidenceTtl ? crashes.erase(crash) : std::next(crash);
    }
    const bool expired = crashes.empty() && now - part->second.changed > kAnswerTtl;
    part = expired ? m_parts.erase(part) : std::next(part);
  }
  m_quarantined.clear();
  m_explained.clear();
  for (std::vector<PartId> worst = FindWorst(); !worst.empty(); worst = FindWorst()) {
    m_quarantined.insert(worst.begin(), worst.end());
    for (const PartId id : worst) {
      for (const auto& [process, when] : m_parts[id].crashes) {
        m_explained.insert(process);
      }
    }
  }
  std::vector<PartId> added;
  for (const PartId id : m_quarantined) {
    if (!std::exchange(m_parts[id].quarantined, true)) {
      added.push_back(id);
    }
  }
  AddOwn(added);
  m_updated_version = m_version;
}

std::vector<PartId> PromptQuarantine::FindWorst() const {
  std::vector<PartId> worst;
  int most = 0;
  for (const auto& [id, part] : m_parts) {
    if (m_quarantined.count(id) > 0) {
      continue;
    }
    const CrashCount crashes = Count(id, part, m_explained);
    // A rising share of crashed requests does not release a part.
    const int limit = part.quarantined ? kMinCrashes : Limit(id, part, crashes);
    if (crashes.count < std::max(limit, most)) {
      continue;
    }
    const bool tie = crashes.count == most;
    if (tie && !IsRequestPart(id)) {
      continue;
    }
    if (!tie || !IsRequestPart(worst.front())) {
      worst.clear();
    }
    worst.push_back(id);
    most = crashes.count;
  }
  return worst;
}

std::optional<PromptQuarantine::Block> PromptQuarantine::Check(gsl::span<const PartId> parts,
                                                               bool crashed, TimePoint now) {
  if (m_parts.empty() || parts.empty()) {
    return std::nullopt;
  }
  Update(now);
  for (const PartId id : parts) {
    const auto found = m_parts.find(id);
    if (found == m_parts.end()) {
      continue;
    }
    const Part& part = found->second;
    if (m_quarantined.count(id) == 0) {
      const CrashCount crashes = Count(id, part, m_explained);
      if (crashed && crashes.count + 1 >= Limit(id, part, crashes)) {
        return Block{id, kTrialDelay};
      }
      if (now < part.trial_until) {
        return Block{id, kProbeRetryAfter};
      }
      continue;
    }
    const CrashCount crashes = Count(id, part, {});
    if (IsRequestPart(id) && crashes.count >= kMinCrashes + kMaxRequestTrials) {
      return Block{id, kMaxTrialDelay};
    }
    const TimePoint trial =
        std::max(crashes.last + TrialDelay(id, part, crashes), part.trial_until);
    if (crashed || !m_trials_allowed || now < trial) {
      return Block{id, std::max(kMinRetryAfter, Age(now, trial))};
    }
  }
  return std::nullopt;
}

void PromptQuarantine::OnSent(gsl::span<const PartId> parts, TimePoint now) {
  for (const PartId id : parts) {
    if (m_quarantined.count(id) > 0) {
      m_parts[id].trial_until = now + kTrialTimeout;
      continue;
    }
    const auto part = m_parts.find(id);
    if (part != m_parts.end() && IsRequestPart(id) && !part->second.crashes.empty()) {
      part->second.trial_until = now + kProbeTimeout;
    }
  }
}

void PromptQuarantine::OnEnded(gsl::span<const PartId> parts) {
  for (const PartId id : parts) {
    const auto part = m_parts.find(id);
    if (part != m_parts.end() && m_quarantined.count(id) == 0) {
      part->second.trial_until = TimePoint();
    }
  }
}

bool PromptQuarantine::Proven(gsl::span<const PartId> parts, TimePoint now) const {
  return std::all_of(parts.begin(), parts.end(), [&](PartId id) {
    const auto part = m_parts.find(id);
    if (part != m_parts.end() && !part->second.crashes.empty()) {
      return false;
    }
    const auto proof = m_proof_index.find(id);
    return proof != m_proof_index.end() && now - proof->second->second < kProofTtl;
  });
}

void PromptQuarantine::LiftAll(TimePoint now) {
  std::vector<PartId> changed;
  for (const auto& [id, part] : m_parts) {
    if (AddAnswer(id, now, now)) {
      changed.push_back(id);
    }
  }
  AddOwn(changed);
}

PromptEvidence PromptQuarantine::Collect(
    TimePoint now, const std::function<bool(PartId, const Part&)>& wanted) const {
  PromptEvidence evidence;
  for (const auto& [id, part] : m_parts) {
    if (!wanted(id, part)) {
      continue;
    }
    for (const auto& [process, when] : part.crashes) {
      evidence.crashes.push_back({id, process, Age(when, now)});
    }
    if (part.answered) {
      evidence.answers.push_back({id, Age(*part.answered, now)});
    }
    if (part.quarantined) {
      evidence.quarantined.push_back(id);
    }
  }
  return evidence;
}

PromptEvidence PromptQuarantine::EvidenceSince(uint64_t version, TimePoint now) const {
  return Collect(now, [version](PartId, const Part& part) { return part.version > version; });
}

PromptEvidence PromptQuarantine::OwnEvidenceSince(uint64_t own_version, TimePoint now) const {
  return Collect(
      now, [own_version](PartId, const Part& part) { return part.own_version > own_version; });
}

PromptEvidence PromptQuarantine::EvidenceToKeep(TimePoint now) {
  Update(now);
  return Collect(now, [this](PartId id, const Part& part) {
    return part.quarantined || Count(id, part, m_explained).count >= kMinSuspectCrashes;
  });
}

bool PromptQuarantine::Merge(const PromptEvidence& evidence, TimePoint now) {
  std::vector<PartId> changed;
  for (const CrashReport& crash : evidence.crashes) {
    if (AddCrash(crash.part, crash.process, now - crash.age, now)) {
      changed.push_back(crash.part);
    }
  }
  for (const AnswerReport& answer : evidence.answers) {
    if (AddAnswer(answer.part, now - answer.age, now)) {
      changed.push_back(answer.part);
    }
  }
  for (const PartId id : evidence.quarantined) {
    const auto part = m_parts.find(id);
    if (part != m_parts.end() && !part->second.crashes.empty() &&
        !std::exchange(part->second.quarantined, true)) {
      changed.push_back(id);
    }
  }
  if (changed.empty()) {
    return false;
  }
  ++m_version;
  for (const PartId id : changed) {
    const auto part = m_parts.find(id);
    if (part != m_parts.end()) {
      part->second.version = m_version;
    }
  }
  return true;
}

std::map<PartId, int> PromptQuarantine::Quarantined(TimePoint now) {
  Update(now);
  std::map<PartId, int> result;
  for (const PartId id : m_quarantined) {
    result[id] = Count(id, m_parts[id], {}).count;
  }
  return result;
}

void PromptQuarantine::DropWeakest() {
  auto weakest = m_parts.end();
  const auto order = [this](const auto& entry) {
    return std::make_tuple(m_quarantined.count(entry.first), entry.second.crashes.size(),
                           entry.second.changed);
  };
  for (auto part = m_parts.begin(); part != m_parts.end(); ++part) {
    if (weakest == m_parts.end() || order(*part) < order(*weakest)) {
      weakest = part;
    }
  }
  m_parts.erase(weakest);
}

}  // namespace azuregw
