// Simulated network between Membership objects, with message loss and partitions.

#ifndef AZUREGW_TESTS_FAKES_MEMBER_NETWORK_H_
#define AZUREGW_TESTS_FAKES_MEMBER_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/membership/membership.h"
#include "azuregw/peer/frame_decoder.h"

namespace azuregw {

// Runs Membership objects in one thread on a simulated clock that advances in steps of kStep. The
// same seed and calls give the same run.
class MemberNetwork {
 public:
  static constexpr Milliseconds kStep{50};

  explicit MemberNetwork(uint64_t seed) : m_random(MakeRandom(seed)) {}

  // Adds instances; instance i has the name "gw-i" and the failure domain "fd-(i modulo domains)".
  void Add(int count, int domains, const std::function<void(MembershipOptions*)>& adjust = {}) {
    for (int i = 0; i < count; ++i) {
      AddOne(static_cast<int>(m_instances.size()), domains, adjust);
    }
  }

  // Delivers a list of all instances and the given upstreams to every running instance.
  void DeliverList(const std::vector<ListedInstance>& upstreams = {}) {
    const std::vector<ListedInstance> list = List(upstreams);
    for (SimulatedInstance& instance : m_instances) {
      if (!instance.stopped) {
        Post(instance, instance.membership->OnList(list, At()));
      }
    }
  }

  // Delivers a full state to every instance and runs until the updates have spread, so that the
  // network is as after a long time without changes.
  void Settle() {
    DeliverList();
    wire::HeartbeatT state;
    state.full_state = true;
    for (const SimulatedInstance& instance : m_instances) {
      auto update = std::make_unique<wire::MemberUpdateT>();
      update->name = instance.name;
      update->incarnation = static_cast<uint64_t>(m_wall_ms);
      update->address = instance.address;
      update->admin_address = instance.address;
      update->failure_domain = instance.failure_domain;
      state.members.push_back(std::move(update));
    }
    state.incarnation = static_cast<uint64_t>(m_wall_ms);
    for (size_t i = 0; i < m_instances.size(); ++i) {
      const std::string& from = m_instances[i == 0 ? 1 : 0].name;
      Post(m_instances[i], m_instances[i].membership->OnHeartbeat(from, state, At()));
    }
    Run(Milliseconds(15000));
  }

  std::vector<ListedInstance> List(const std::vector<ListedInstance>& upstreams) const {
    std::vector<ListedInstance> list = upstreams;
    for (const SimulatedInstance& instance : m_instances) {
      list.push_back(ListedInstance{instance.name, ListedRole::kInstance, instance.address,
                                    instance.address, instance.failure_domain, false});
    }
    return list;
  }

  void Run(Milliseconds duration) {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      Step();
    }
  }

  // Steps until `done` returns true; returns the simulated time taken, or `limit` if it never does.
  Milliseconds RunUntil(Milliseconds limit, const std::function<bool()>& done) {
    const TimePoint start = m_now;
    while (!done() && m_now - start < limit) {
      Step();
    }
    return std::chrono::duration_cast<Milliseconds>(m_now - start);
  }

  Membership& At(int i) { return *m_instances[static_cast<size_t>(i)].membership; }
  Instant At() const { return Instant{m_now, m_wall_ms}; }
  size_t Size() const { return m_instances.size(); }
  void Stop(int i) { m_instances[static_cast<size_t>(i)].stopped = true; }
  // Messages to a paused instance are queued, like those in the socket buffer of a stopped process.
  void Pause(int i, bool paused) { m_instances[static_cast<size_t>(i)].paused = paused; }
  // Drops each message with the probability `share`.
  void SetLoss(double share) { m_loss = share; }
  // Instances of different groups cannot reach each other. All start in group 0.
  void SetGroup(int i, int group) { m_instances[static_cast<size_t>(i)].group = group; }
  void Send(int from, OutgoingHeartbeats sends) {
    Post(m_instances[static_cast<size_t>(from)], std::move(sends));
  }
  uint64_t Bytes() const { return m_bytes; }
  uint64_t Messages() const { return m_messages; }

  int CountIf(const std::function<bool(Membership&)>& condition) {
    int count = 0;
    for (SimulatedInstance& instance : m_instances) {
      count += !instance.stopped && condition(*instance.membership) ? 1 : 0;
    }
    return count;
  }

 private:
  struct SimulatedInstance {
    std::string name;
    std::string address;
    std::string failure_domain;
    std::unique_ptr<Membership> membership;
    bool stopped = false;
    bool paused = false;
    int group = 0;  // Side of a partition.
    std::vector<std::pair<std::string, std::vector<uint8_t>>>
        inbox;  // Name of the sender and payload.
  };

  void AddOne(int i, int domains, const std::function<void(MembershipOptions*)>& adjust) {
    SimulatedInstance instance;
    instance.name = "gw-" + std::to_string(i);
    instance.address = "127.0.0.1:" + std::to_string(10000 + i);
    instance.failure_domain = "fd-" + std::to_string(i % domains);
    MembershipOptions options;
    options.name = instance.name;
    options.address = instance.address;
    options.admin_address = instance.address;
    options.failure_domain = instance.failure_domain;
    options.incarnation = static_cast<uint64_t>(m_wall_ms);
    if (adjust) {
      adjust(&options);
    }
    instance.membership = MakeMembership(options, MakeRandom(m_random->Next()));
    m_by_address[instance.address] = m_instances.size();
    m_instances.push_back(std::move(instance));
  }

  void Post(const SimulatedInstance& from, OutgoingHeartbeats sends) {
    for (OutgoingHeartbeat& send : sends) {
      wire::EnvelopeT envelope = MakeEnvelope(std::move(send.heartbeat));
      envelope.hlc = static_cast<uint64_t>(m_wall_ms) << 16;
      std::vector<uint8_t> payload = EncodeEnvelope(envelope);
      ++m_messages;
      m_bytes += kFrameHeaderBytes + payload.size();
      const size_t target = m_by_address.at(send.address);
      const SimulatedInstance& to = m_instances[target];
      if (!to.stopped && to.group == from.group && m_random->Unit() >= m_loss) {
        m_in_flight.emplace_back(target, std::make_pair(from.name, std::move(payload)));
      }
    }
  }

  // Advances the clock by kStep and delivers the messages of the previous step.
  void Step() {
    m_now += kStep;
    m_wall_ms += kStep.count();
    auto arrived = std::move(m_in_flight);
    m_in_flight.clear();
    for (auto& [to, message] : arrived) {
      m_instances[to].inbox.push_back(std::move(message));
    }
    for (SimulatedInstance& instance : m_instances) {
      if (instance.stopped || instance.paused) {
        continue;
      }
      const auto inbox = std::move(instance.inbox);
      instance.inbox.clear();
      for (const auto& [from, payload] : inbox) {
        wire::EnvelopeT envelope;
        VerifyEnvelope(payload).value()->UnPackTo(&envelope);
        Post(instance, instance.membership->OnHeartbeat(from, *envelope.body.AsHeartbeat(), At()));
      }
      Post(instance, instance.membership->Tick(At()));
    }
  }

  std::unique_ptr<Random> m_random;
  std::vector<SimulatedInstance> m_instances;
  std::map<std::string, size_t> m_by_address;
  std::vector<std::pair<size_t, std::pair<std::string, std::vector<uint8_t>>>> m_in_flight;
  TimePoint m_now{Milliseconds(1000000)};
  int64_t m_wall_ms = 1700000000000;
  double m_loss = 0;
  uint64_t m_bytes = 0;
  uint64_t m_messages = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_TESTS_FAKES_MEMBER_NETWORK_H_
