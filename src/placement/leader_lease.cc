// Acquires, renews and releases the leader lease.

#include "azuregw/placement/leader_lease.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace azuregw {

namespace {

constexpr int kRevisionBits = 40;
constexpr uint64_t kMaxTokenEra = (uint64_t{1} << (53 - kRevisionBits)) - 1;

}  // namespace

uint64_t MakeFencingToken(uint64_t era, uint64_t revision) {
  const uint64_t restores = era > StoreEra::kFirst ? era - StoreEra::kFirst : 0;
  return (std::min(restores, kMaxTokenEra) << kRevisionBits) + revision;
}

std::string LeaderLease::Key() const {
  const uint64_t era = m_store->Era()->Current();
  return era > StoreEra::kFirst ? m_key + "/era-" + std::to_string(era) : m_key;
}

void LeaderLease::OnStoreRestored() {
  if (m_stopped) {
    return;
  }
  ++m_generation;
  if (m_fencing_token != 0) {
    LoseLease("the store was restored");
    m_leader_value = m_own_value;
  }
  // The last leader cannot compete with itself; the others wait until its lease would have ended.
  Schedule(m_last_known_leader ? Milliseconds(0) : kLeaderPollInterval,
           m_last_known_leader ? &LeaderLease::Acquire : &LeaderLease::Poll);
}

TimePoint LeaderLease::EarliestAcquisition() const {
  const std::optional<TimePoint> noticed = m_store->Era()->NoticedAt();
  return noticed && !m_last_known_leader ? *noticed + kTtl : TimePoint();
}

void LeaderLease::Schedule(Milliseconds delay, void (LeaderLease::*step)()) {
  m_timer = m_loop->After(delay, [this, step] { (this->*step)(); });
}

void LeaderLease::Start() {
  m_store->Era()->AddListener([this](uint64_t, std::string_view) { OnStoreRestored(); });
  Poll();
}

void LeaderLease::SetCpuShares(double own, std::optional<double> fleet_max) {
  const double missing_share =
      1 - std::min(1.0, own / std::max(1e-6, fleet_max.value_or(kAmpleCpuShare)));
  const Milliseconds max_delay = fleet_max ? kMaxLowCpuDelay : kMaxLowCpuStartupDelay;
  m_acquire_delay =
      Milliseconds(static_cast<int64_t>(missing_share * static_cast<double>(max_delay.count())));
}

void LeaderLease::PollNow() {
  m_last_leader_message.reset();
  if (!m_stopped && m_fencing_token == 0) {
    Schedule(Milliseconds(0), &LeaderLease::Poll);
  }
}

void LeaderLease::Stop() {
  m_stopped = true;
  m_last_known_leader = false;
  m_timer.reset();
  if (m_fencing_token != 0) {
    // Allows another instance to take over immediately instead of after the expiry of the lease.
    m_store->EndLease(m_lease_id, [this](Result<Milliseconds> ended) {
      if (!ended) {
        m_log->Write("duty_lease_not_ended", {{"reason", ended.error().message}}, false);
      }
    });
    m_fencing_token = 0;
    m_log->Write("duty_lost", {{"duty", m_key}, {"reason", "stopping"}}, true);
  }
}

void LeaderLease::StepDown(const std::string& reason) {
  m_last_known_leader = false;
  if (m_fencing_token != 0) {
    LoseLease(reason);
  }
}

void LeaderLease::LoseLease(const std::string& reason) {
  m_log->Write("duty_lost",
               {{"duty", m_key}, {"fencing_token", m_fencing_token}, {"reason", reason}}, true);
  m_fencing_token = 0;
  m_leader_value.clear();
  Schedule(kLeaderPollInterval, &LeaderLease::Poll);
}

void LeaderLease::Poll() {
  if (m_last_leader_message && m_loop->Now() - *m_last_leader_message < kLeaderPollInterval) {
    Schedule(kLeaderPollInterval, &LeaderLease::Poll);
    return;
  }
  const std::string key = Key();
  m_store->Get(
      key, ReadMode::kBounded, [this, key, generation = m_generation](Result<KvReading> reading) {
        if (m_stopped || generation != m_generation) {
          return;
        }
        if (key != Key()) {
          // The first answer told the era.
          Schedule(Milliseconds(0), &LeaderLease::Poll);
          return;
        }
        if (!reading) {
          Schedule(kLeaderPollInterval, &LeaderLease::Poll);
          return;
        }
        if (reading.value().entry && reading.value().entry->value == m_own_value &&
            !m_last_known_leader) {
          // The previous process has exited, because this one owns its address.
          Acquire();
          return;
        }
        if (reading.value().entry) {
          OnLeaderSeen(*reading.value().entry);
          return;
        }
        const auto wait =
            std::chrono::duration_cast<Milliseconds>(EarliestAcquisition() - m_loop->Now());
        if (wait.count() > 0) {
          Schedule(std::min(wait, kLeaderPollInterval), &LeaderLease::Poll);
          return;
        }
        m_leader_value.clear();
        const auto jitter = static_cast<int64_t>(m_random->Unit() * kMaxAcquireJitter.count());
        Schedule(m_acquire_delay + Milliseconds(jitter), &LeaderLease::Acquire);
      });
}

void LeaderLease::OnLeaderSeen(const KvEntry& entry) {
  m_last_known_leader = m_last_known_leader && entry.value == m_own_value;
  if (entry.value != m_leader_value) {
    m_leader_value = entry.value;
    m_log->Write("duty_holder",
                 {{"duty", m_key},
                  {"holder", entry.value},
                  {"fencing_token", MakeFencingToken(m_store->Era()->Current(), entry.revision)}},
                 true);
  }
  Schedule(kLeaderPollInterval, &LeaderLease::Poll);
}

void LeaderLease::Acquire() {
  // A linearizable read first: most instances find the lease taken and save two writes.
  m_store->Get(Key(), ReadMode::kNewest,
               [this, generation = m_generation](Result<KvReading> reading) {
                 if (m_stopped || generation != m_generation) {
                   return;
                 }
                 const bool left_behind = reading && reading.value().entry &&
                                          reading.value().entry->value == m_own_value &&
                                          !m_last_known_leader;
                 if (!reading) {
                   Schedule(kLeaderPollInterval, &LeaderLease::Poll);
                   return;
                 }
                 if (reading.value().entry && !left_behind) {
                   OnLeaderSeen(*reading.value().entry);
                   return;
                 }
                 RequestLease(left_behind ? reading.value().entry->revision : 0);
               });
}

void LeaderLease::RequestLease(uint64_t replaced_revision) {
  // The store counts the TTL from the arrival of the call, so counting from its sending is safe.
  const TimePoint requested_at = m_loop->Now();
  m_store->GrantLease(kTtl, [this, requested_at, replaced_revision,
                             generation = m_generation](Result<uint64_t> lease) {
    if (m_stopped || generation != m_generation) {
      return;
    }
    if (!lease) {
      Schedule(kLeaderPollInterval, &LeaderLease::Poll);
      return;
    }
    CreateKey(lease.value(), replaced_revision, requested_at);
  });
}

void LeaderLease::CreateKey(uint64_t lease, uint64_t replaced_revision, TimePoint requested_at) {
  m_store->CompareAndSwap(
      Key(), replaced_revision, m_own_value, lease,
      [this, lease, replaced_revision, requested_at,
       generation = m_generation](Result<uint64_t> revision) {
        if (m_stopped || generation != m_generation) {
          return;
        }
        if (revision) {
          BecomeLeader(lease, revision.value(), requested_at);
          return;
        }
        if (revision.error().code != ResultCode::kKvOutcomeUnknown) {
          Schedule(kLeaderPollInterval, &LeaderLease::Poll);
          return;
        }
        m_store->Get(Key(), ReadMode::kNewest,
                     [this, lease, replaced_revision, requested_at,
                      generation = m_generation](Result<KvReading> reading) {
                       if (m_stopped || generation != m_generation) {
                         return;
                       }
                       // An earlier write that the store carries out late has another lease, which
                       // nobody renews.
                       if (reading && reading.value().entry &&
                           reading.value().entry->value == m_own_value &&
                           reading.value().entry->lease == lease &&
                           reading.value().entry->revision > replaced_revision) {
                         BecomeLeader(lease, reading.value().entry->revision, requested_at);
                       } else {
                         Schedule(kLeaderPollInterval, &LeaderLease::Poll);
                       }
                     });
      });
}

void LeaderLease::BecomeLeader(uint64_t lease, uint64_t revision, TimePoint requested_at) {
  const uint64_t token = MakeFencingToken(m_store->Era()->Current(), revision);
  m_lease_id = lease;
  m_fencing_token = token;
  m_valid_until = requested_at + kTtl - kExpiryMargin;
  m_leader_value = m_own_value;
  m_last_known_leader = true;
  m_log->Write("duty_taken",
               {{"duty", m_key},
                {"fencing_token", token},
                {"lease", m_lease_id},
                {"store_era", m_store->Era()->Current()}},
               true);
  Schedule(kRenewInterval, &LeaderLease::Renew);
}

void LeaderLease::Renew() {
  if (!Held()) {
    LoseLease("not renewed in time");
    return;
  }
  const TimePoint sent_at = m_loop->Now();
  m_store->RenewLease(
      m_lease_id, [this, sent_at, generation = m_generation](Result<Milliseconds> renewed) {
        if (m_stopped || m_fencing_token == 0 || generation != m_generation) {
          return;
        }
        if (renewed) {
          m_valid_until = sent_at + kTtl - kExpiryMargin;
        } else if (renewed.error().code == ResultCode::kLeaseLapsed) {
          LoseLease("the lease has ended");
          return;
        }
        Schedule(renewed ? kRenewInterval : kRenewInterval / 3, &LeaderLease::Renew);
      });
}

}  // namespace azuregw
