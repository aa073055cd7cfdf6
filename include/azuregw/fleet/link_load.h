// Load of the links between failure domains, over which engines pass activations to each other.
//
// Decision module: no I/O, single-threaded. There is one link per ordered pair of failure domains.
// It transfers one prompt after another, so that a full link delays every token of every stream
// that crosses it. Rates are averaged over kWindow; those of the other instances come from their
// load reports.

#ifndef AZUREGW_FLEET_LINK_LOAD_H_
#define AZUREGW_FLEET_LINK_LOAD_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "azuregw/base/clock.h"

namespace azuregw {

// Hash of an ordered pair of failure domains; identifies a link in load reports.
using LinkId = uint32_t;

// Returns the link from `source` to `target`.
LinkId LinkBetween(std::string_view source, std::string_view target);

// Rates of tokens that cross the links, of this instance and of the others.
class LinkLoad {
 public:
  // Time constant of the exponential average of the rates.
  static constexpr Milliseconds kWindow{1000};

  // Records a path of this instance that sends `tokens` across `link`.
  void OnTransfer(LinkId link, double tokens, TimePoint now);
  // Replaces the rates of the other instances, in tokens per second.
  void SetOthers(std::unordered_map<LinkId, double> rates) { m_others = std::move(rates); }

  // Returns the rate of this instance in tokens per second.
  double OwnRate(LinkId link, TimePoint now) const;
  // Returns the rate of all instances in tokens per second. A nonzero `assumed_instances` scales
  // the own rate instead of using the reported rates of the other instances.
  double Rate(LinkId link, TimePoint now, int assumed_instances) const;
  // Returns the rates of this instance that are worth reporting.
  std::unordered_map<LinkId, double> OwnRates(TimePoint now) const;

 private:
  // Exponentially decaying number of tokens.
  struct Own {
    double tokens = 0;
    TimePoint updated;
  };

  std::unordered_map<LinkId, Own> m_own;
  std::unordered_map<LinkId, double> m_others;
};

// Utilization of a link and its cost for one more stream.
struct LinkUse {
  double utilization = 0;  // Fraction of the capacity in use, with the stream; 1 is full.
  double cost_ms = 0;      // Cost per output token, in ms, in addition to the delay of the link.
};

// Returns the use of a link that carries `rate` tokens per second if a stream with `prompt_tokens`
// tokens crosses it, too. `bytes_per_token` and `capacity_mbps` describe the activations and the
// link; a capacity of 0 is unlimited.
LinkUse LinkUseWith(double rate, double prompt_tokens, double bytes_per_token,
                    double capacity_mbps);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_LINK_LOAD_H_
