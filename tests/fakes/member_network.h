// In-memory delivery between Membership objects, with loss and cuts. Time advances in steps.

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

class MemberNetwork {
 public:
  static constexpr Milliseconds kStep{50};

  explicit MemberNetwork(uint64_t seed) : m_random(MakeRandom(seed)) {}

  // Instance i is named "gw-i" and stands in failure domain "fd-(i modulo domains)".
  void Add(int count, int domains, const std::function<void(MembershipOptions*)>& adjust = {}) {
    for (int i = 0; i < count; ++i) {
      AddOne(static_cast<int>(m_nodes.size()), domains, adjust);
    }
  }

  // Gives every instance the list of all instances and the given upstreams.
  void DeliverList(const std::vector<ListedInstance>& upstreams = {}) {
    const std::vector<ListedInstance> list = List(upstreams);
    for (Node& node : m_nodes) {
      if (!node.stopped) {
        Post(node, node.membership->OnList(list, At()));
      }
    }
  }

  // Makes every instance know all others, as after a long time without changes.
  void Settle() {
    DeliverList();
    wire::HeartbeatT state;
    state.full_state = true;
    for (const Node& node : m_nodes) {
      auto update = std::make_unique<wire::MemberUpdateT>();
      update->name = node.name;
      update->incarnation = static_cast<uint64_t>(m_wall_ms);
      update->address = node.address;
      update->admin_address = node.address;
      update->failure_domain = node.failure_domain;
      state.members.push_back(std::move(update));
    }
    state.incarnation = static_cast<uint64_t>(m_wall_ms);
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      const std::string& from = m_nodes[i == 0 ? 1 : 0].name;
      Post(m_nodes[i], m_nodes[i].membership->OnHeartbeat(from, state, At()));
    }
    Run(Milliseconds(15000));
  }

  std::vector<ListedInstance> List(const std::vector<ListedInstance>& upstreams) const {
    std::vector<ListedInstance> list = upstreams;
    for (const Node& node : m_nodes) {
      list.push_back(ListedInstance{node.name, ListedRole::kInstance, node.address, node.address,
                                    node.failure_domain, false});
    }
    return list;
  }

  void Run(Milliseconds duration) {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      Step();
    }
  }

  // Steps until `done`; returns the time taken, or `limit` when it was not reached.
  Milliseconds RunUntil(Milliseconds limit, const std::function<bool()>& done) {
    const TimePoint start = m_now;
    while (!done() && m_now - start < limit) {
      Step();
    }
    return std::chrono::duration_cast<Milliseconds>(m_now - start);
  }

  Membership& At(int i) { return *m_nodes[static_cast<size_t>(i)].membership; }
  Instant At() const { return Instant{m_now, m_wall_ms}; }
  size_t Size() const { return m_nodes.size(); }
  void Stop(int i) { m_nodes[static_cast<size_t>(i)].stopped = true; }
  // Messages to a paused instance wait, as they do in the socket of a stopped process.
  void Pause(int i, bool paused) { m_nodes[static_cast<size_t>(i)].paused = paused; }
  void SetLoss(double share) { m_loss = share; }
  // Instances of different groups cannot reach each other; see Node::group.
  void SetGroup(int i, int group) { m_nodes[static_cast<size_t>(i)].group = group; }
  void Send(int from, OutgoingHeartbeats sends) {
    Post(m_nodes[static_cast<size_t>(from)], std::move(sends));
  }
  uint64_t Bytes() const { return m_bytes; }
  uint64_t Messages() const { return m_messages; }

  int CountIf(const std::function<bool(Membership&)>& condition) {
    int count = 0;
    for (Node& node : m_nodes) {
      count += !node.stopped && condition(*node.membership) ? 1 : 0;
    }
    return count;
  }

 private:
  struct Node {
    std::string name;
    std::string address;
    std::string failure_domain;
    std::unique_ptr<Membership> membership;
    bool stopped = false;
    bool paused = false;
    int group = 0;
    std::vector<std::pair<std::string, std::vector<uint8_t>>> inbox;  // Sender and payload.
  };

  void AddOne(int i, int domains, const std::function<void(MembershipOptions*)>& adjust) {
    Node node;
    node.name = "gw-" + std::to_string(i);
    node.address = "127.0.0.1:" + std::to_string(10000 + i);
    node.failure_domain = "fd-" + std::to_string(i % domains);
    MembershipOptions options;
    options.name = node.name;
    options.address = node.address;
    options.admin_address = node.address;
    options.failure_domain = node.failure_domain;
    options.incarnation = static_cast<uint64_t>(m_wall_ms);
    if (adjust) {
      adjust(&options);
    }
    node.membership = MakeMembership(options, MakeRandom(m_random->Next()));
    m_by_address[node.address] = m_nodes.size();
    m_nodes.push_back(std::move(node));
  }

  void Post(const Node& from, OutgoingHeartbeats sends) {
    for (OutgoingHeartbeat& send : sends) {
      wire::EnvelopeT envelope = MakeEnvelope(std::move(send.heartbeat));
      envelope.hlc = static_cast<uint64_t>(m_wall_ms) << 16;
      std::vector<uint8_t> payload = EncodeEnvelope(envelope);
      ++m_messages;
      m_bytes += kFrameHeaderBytes + payload.size();
      const size_t target = m_by_address.at(send.address);
      const Node& to = m_nodes[target];
      if (!to.stopped && to.group == from.group && m_random->Unit() >= m_loss) {
        m_in_flight.emplace_back(target, std::make_pair(from.name, std::move(payload)));
      }
    }
  }

  // A message takes one step to arrive.
  void Step() {
    m_now += kStep;
    m_wall_ms += kStep.count();
    auto arrived = std::move(m_in_flight);
    m_in_flight.clear();
    for (auto& [to, message] : arrived) {
      m_nodes[to].inbox.push_back(std::move(message));
    }
    for (Node& node : m_nodes) {
      if (node.stopped || node.paused) {
        continue;
      }
      const auto inbox = std::move(node.inbox);
      node.inbox.clear();
      for (const auto& [from, payload] : inbox) {
        wire::EnvelopeT envelope;
        VerifyEnvelope(payload).value()->UnPackTo(&envelope);
        Post(node, node.membership->OnHeartbeat(from, *envelope.body.AsHeartbeat(), At()));
      }
      Post(node, node.membership->Tick(At()));
    }
  }

  std::unique_ptr<Random> m_random;
  std::vector<Node> m_nodes;
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
