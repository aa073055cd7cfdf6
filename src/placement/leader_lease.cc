// Acquires, renews and gives up a duty.

#include "azuregw/placement/leader_lease.h"

#include <algorithm>
#include <utility>

namespace azuregw {

void LeaderLease::Later(Milliseconds delay, void (LeaderLease::*step)()) {
  m_timer = m_loop->After(delay, [this, step] { (this->*step)(); });
}

void LeaderLease::Start() { Look(); }

void LeaderLease::SetCpuShares(double own, std::optional<double> most) {
  const double missing = 1 - std::min(1.0, own / std::max(1e-6, most.value_or(kAmpleCpuShare)));
  const Milliseconds longest = most ? kMaxLowCpuDelay : kMaxLowCpuStartupDelay;
  m_delay = Milliseconds(static_cast<int64_t>(missing * static_cast<double>(longest.count())));
}

void LeaderLease::PollNow() {
  m_holder_heard.reset();
  if (!m_stopped && m_token == 0) {
    Later(Milliseconds(0), &LeaderLease::Look);
  }
}

void LeaderLease::Stop() {
  m_stopped = true;
  m_last_holder = false;
  m_timer.reset();
  if (m_token != 0) {
    // Lets another instance take over at once instead of after the lease.
    m_store->EndLease(m_lease, [this](Result<Milliseconds> ended) {
      if (!ended) {
        m_log->Write("duty_lease_not_ended", {{"reason", ended.error().message}}, false);
      }
    });
    m_token = 0;
    m_log->Write("duty_lost", {{"duty", m_key}, {"reason", "stopping"}}, true);
  }
}

void LeaderLease::StepDown(const std::string& reason) {
  m_last_holder = false;
  if (m_token != 0) {
    Lose(reason);
  }
}

void LeaderLease::Lose(const std::string& reason) {
  m_log->Write("duty_lost", {{"duty", m_key}, {"fencing_token", m_token}, {"reason", reason}},
               true);
  m_token = 0;
  m_holder_value.clear();
  Later(kLeaderPollInterval, &LeaderLease::Look);
}

void LeaderLease::Look() {
  if (m_holder_heard && m_loop->Now() - *m_holder_heard < kLeaderPollInterval) {
    Later(kLeaderPollInterval, &LeaderLease::Look);
    return;
  }
  m_store->Get(m_key, ReadMode::kBounded, [this](Result<KvReading> reading) {
    if (m_stopped) {
      return;
    }
    if (!reading) {
      Later(kLeaderPollInterval, &LeaderLease::Look);
      return;
    }
    if (reading.value().entry && reading.value().entry->value == m_value && !m_last_holder) {
      // The former process has ended, since this one has its address.
      Acquire();
      return;
    }
    if (reading.value().entry) {
      const std::string& holder = reading.value().entry->value;
      m_last_holder = m_last_holder && holder == m_value;
      if (holder != m_holder_value) {
        m_holder_value = holder;
        m_log->Write("duty_holder",
                     {{"duty", m_key},
                      {"holder", holder},
                      {"fencing_token", reading.value().entry->revision}},
                     true);
      }
      Later(kLeaderPollInterval, &LeaderLease::Look);
      return;
    }
    m_holder_value.clear();
    const auto spread = static_cast<int64_t>(m_random->Unit() * kMaxAcquireJitter.count());
    Later(m_delay + Milliseconds(spread), &LeaderLease::Acquire);
  });
}

void LeaderLease::Acquire() {
  // A strict read first: most instances find the duty taken and save two writes.
  m_store->Get(m_key, ReadMode::kNewest, [this](Result<KvReading> reading) {
    if (m_stopped) {
      return;
    }
    const bool left_behind = reading && reading.value().entry &&
                             reading.value().entry->value == m_value && !m_last_holder;
    if (!reading || (reading.value().entry && !left_behind)) {
      Later(kLeaderPollInterval, &LeaderLease::Look);
      return;
    }
    Grant(left_behind ? reading.value().entry->revision : 0);
  });
}

void LeaderLease::Grant(uint64_t replaced) {
  // The lease runs from the arrival of the call, so counting from its sending is safe.
  const TimePoint granted = m_loop->Now();
  m_store->GrantLease(kTtl, [this, granted, replaced](Result<uint64_t> lease) {
    if (m_stopped) {
      return;
    }
    if (!lease) {
      Later(kLeaderPollInterval, &LeaderLease::Look);
      return;
    }
    Create(lease.value(), replaced, granted);
  });
}

void LeaderLease::Create(uint64_t lease, uint64_t replaced, TimePoint granted) {
  m_store->CompareAndSwap(
      m_key, replaced, m_value, lease, [this, lease, replaced, granted](Result<uint64_t> revision) {
        if (m_stopped) {
          return;
        }
        if (revision) {
          Become(lease, revision.value(), granted);
          return;
        }
        if (revision.error().code != ResultCode::kKvOutcomeUnknown) {
          Later(kLeaderPollInterval, &LeaderLease::Look);
          return;
        }
        m_store->Get(
            m_key, ReadMode::kNewest, [this, lease, replaced, granted](Result<KvReading> reading) {
              if (m_stopped) {
                return;
              }
              if (reading && reading.value().entry && reading.value().entry->value == m_value &&
                  reading.value().entry->revision > replaced) {
                Become(lease, reading.value().entry->revision, granted);
              } else {
                Later(kLeaderPollInterval, &LeaderLease::Look);
              }
            });
      });
}

void LeaderLease::Become(uint64_t lease, uint64_t token, TimePoint granted) {
  m_lease = lease;
  m_token = token;
  m_held_until = granted + kTtl - kExpiryMargin;
  m_holder_value = m_value;
  m_last_holder = true;
  m_log->Write("duty_taken", {{"duty", m_key}, {"fencing_token", token}}, true);
  Later(kRenewInterval, &LeaderLease::Renew);
}

void LeaderLease::Renew() {
  if (!Held()) {
    Lose("not renewed in time");
    return;
  }
  const TimePoint sent = m_loop->Now();
  m_store->RenewLease(m_lease, [this, sent](Result<Milliseconds> renewed) {
    if (m_stopped || m_token == 0) {
      return;
    }
    if (renewed) {
      m_held_until = sent + kTtl - kExpiryMargin;
    } else if (renewed.error().code == ResultCode::kLeaseLapsed) {
      Lose("the lease has ended");
      return;
    }
    Later(renewed ? kRenewInterval : kRenewInterval / 3, &LeaderLease::Renew);
  });
}

}  // namespace azuregw
