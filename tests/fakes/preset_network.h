// Simulated network between PresetDistribution objects, with message loss. Of a heartbeat, only the
// revision that it carries is simulated. Time advances in steps.

#ifndef AZUREGW_TESTS_FAKES_PRESET_NETWORK_H_
#define AZUREGW_TESTS_FAKES_PRESET_NETWORK_H_

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "azuregw/distribution/preset_distribution.h"
#include "azuregw/peer/frame_decoder.h"

namespace azuregw {

// Runs `count` instances named gw-0, gw-1, ... that know each other. Deterministic for a given
// seed.
class PresetNetwork {
 public:
  static constexpr Milliseconds kStep{10};
  static constexpr int kHeartbeatSteps = 100;  // Steps between heartbeats of an instance: 1 s.

  PresetNetwork(int count, uint64_t seed, const PresetDistributionOptions& options = {})
      : m_random(MakeRandom(seed)) {
    for (int i = 0; i < count; ++i) {
      const std::string name = "gw-" + std::to_string(i);
      m_index[name] = m_instances.size();
      m_instances.push_back(MakePresetDistribution(options, MakeRandom(m_random->Next())));
      m_names.push_back(name);
      m_revisions.emplace_back();
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      std::vector<std::string> others = m_names;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      m_instances[i]->SetPeers(others);
    }
  }

  // Activates `document` in an instance, as if it came from the key-value service.
  void ActivatePreset(size_t instance, uint64_t revision, const std::string& document) {
    Handle(instance, m_instances[instance]->OnPresetActivated(revision, document, m_now));
  }

  // Advances the time by kStep, delivers the messages in flight and sends heartbeats.
  void Step() {
    m_now += kStep;
    ++m_steps;
    auto arrived = std::move(m_in_flight);
    m_in_flight.clear();
    for (auto& [from, to, envelope] : arrived) {
      Deliver(from, to, envelope);
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      Handle(i, m_instances[i]->Tick(m_now));
      // Spreads heartbeats over a second, like the random phases of real heartbeats.
      if (m_heartbeats && (m_steps + static_cast<int>(i)) % kHeartbeatSteps == 0) {
        SendHeartbeats(i);
      }
    }
  }

  // Steps until all instances have `revision`, at most for `limit`. Returns the simulated time
  // taken.
  Milliseconds RunUntilAll(uint64_t revision, Milliseconds limit) {
    const TimePoint start = m_now;
    while (CountAtRevision(revision) < m_instances.size() && m_now - start < limit) {
      Step();
    }
    return std::chrono::duration_cast<Milliseconds>(m_now - start);
  }

  size_t CountAtRevision(uint64_t revision) const {
    size_t count = 0;
    for (const auto& instance : m_instances) {
      count += instance->Revision() == revision ? 1 : 0;
    }
    return count;
  }

  PresetDistribution& At(size_t i) { return *m_instances[i]; }
  // Returns the revisions that instance `i` received from peers, in order.
  const std::vector<uint64_t>& Delivered(size_t i) const { return m_revisions[i]; }
  // Sets the fraction of messages that are lost, from 0 to 1.
  void SetLoss(double fraction) { m_loss = fraction; }
  void SetHeartbeats(bool on) { m_heartbeats = on; }
  TimePoint Now() const { return m_now; }
  // Return the number of messages sent and their size with frame headers, without heartbeats.
  uint64_t Messages() const { return m_messages; }
  uint64_t Bytes() const { return m_bytes; }

 private:
  using InFlight = std::tuple<size_t, size_t, wire::EnvelopeT>;

  void Handle(size_t from, PresetActions actions) {
    if (actions.delivered) {
      m_revisions[from].push_back(actions.delivered->revision);
    }
    for (OutgoingPeerMessage& send : actions.sends) {
      ++m_messages;
      m_bytes += kFrameHeaderBytes + EncodeEnvelope(send.envelope).size();
      if (m_random->Unit() >= m_loss) {
        m_in_flight.emplace_back(from, m_index.at(send.peer), std::move(send.envelope));
      }
    }
  }

  void Deliver(size_t from, size_t to, const wire::EnvelopeT& envelope) {
    PresetDistribution& instance = *m_instances[to];
    const std::string& sender = m_names[from];
    if (const auto* notice = envelope.body.AsPresetNotice()) {
      Handle(to, instance.OnNotice(sender, *notice, m_now));
    } else if (const auto* request = envelope.body.AsPresetRequest()) {
      Handle(to, instance.OnRequest(sender, *request, m_now));
    } else if (const auto* reply = envelope.body.AsPresetReply()) {
      Handle(to, instance.OnReply(sender, *reply, m_now));
    }
  }

  void SendHeartbeats(size_t from) {
    for (int i = 0; i < 4; ++i) {
      const size_t to = m_random->Below(m_instances.size());
      if (to != from && m_random->Unit() >= m_loss) {
        Handle(to, m_instances[to]->OnPeerRevision(m_names[from], m_instances[from]->Revision(),
                                                   m_now));
      }
    }
  }

  std::unique_ptr<Random> m_random;
  std::vector<std::unique_ptr<PresetDistribution>> m_instances;
  std::vector<std::string> m_names;
  std::map<std::string, size_t> m_index;
  std::vector<std::vector<uint64_t>> m_revisions;
  std::vector<InFlight> m_in_flight;
  TimePoint m_now{Milliseconds(1000000)};
  int m_steps = 0;
  bool m_heartbeats = true;
  double m_loss = 0;
  uint64_t m_messages = 0;
  uint64_t m_bytes = 0;
};

// Returns a document shaped like a preset, of about `bytes` bytes. Documents of different `weight`
// differ in one value.
inline std::string SampleDocument(size_t bytes, int weight) {
  std::string document = "{\"name\":\"ordinary\",\"upstreams\":{";
  int i = 0;
  while (document.size() < bytes) {
    document += (i == 0 ? "" : ",") + std::string("\"design-") + std::to_string(i) +
                "\":{\"type\":\"engine\",\"address\":\"127.0.0.1:9001\",\"model\":\"design\"," +
                "\"first_layer\":0,\"last_layer\":8,\"kind\":\"a100\",\"capacity\":8}";
    ++i;
  }
  return document + "},\"workspaces\":{\"stall\":{\"weight\":" + std::to_string(weight) + "}}}";
}

}  // namespace azuregw

#endif  // AZUREGW_TESTS_FAKES_PRESET_NETWORK_H_
