// Accumulates the capacity of grid cells and finds the range with the highest benefit.

#include "placement/layout_coverage.h"

#include <algorithm>
#include <cmath>
#include <gsl/span>
#include <limits>

namespace azuregw {
namespace {

// Weight of a cell's coverage over all failure domains relative to that in the engine's own domain.
constexpr double kFleetWeight = 0.3;
// Added to a cell's coverage before it is inverted, in requests of typical size; bounds the gain of
// an uncovered cell.
constexpr double kCoverageOffset = 1.0;
// Requests of typical size beyond which memory does not bind, in multiples of the slots of an
// engine: a domain with that many running requests is limited by the speed of its engines.
constexpr double kAmpleSlots = 2.0;
// Weight of the capacity after the loss of an engine relative to that with all engines.
constexpr double kLossWeight = 0.5;
// Weight of the fraction of covered cells, so that a domain that lacks several cells gains with
// each one that it gets.
constexpr double kCoveredWeight = 5.0;
// Weight of the score over all failure domains together. It decides alone if no domain can hold all
// layers.
constexpr double kFleetScoreWeight = 0.1;

void AddHolder(double requests, LayoutCoverage::Cell* cell) {
  cell->requests += requests;
  cell->second_holder = std::max(cell->second_holder, std::min(cell->largest_holder, requests));
  cell->largest_holder = std::max(cell->largest_holder, requests);
}

// Keeps the third largest holder unknown, so that a cell supports one exact removal.
void RemoveHolder(double requests, LayoutCoverage::Cell* cell) {
  cell->requests = std::max(0.0, cell->requests - requests);
  if (requests >= cell->largest_holder) {
    cell->largest_holder = cell->second_holder;
  }
  cell->largest_holder = std::min(cell->largest_holder, cell->requests);
}

// Returns the score of one set of cells: the covered fraction, the weakest cell with all holders,
// and the weakest and the average cell without their largest holders.
double ScoreCells(gsl::span<const LayoutCoverage::Cell> cells, double ample_requests) {
  const auto count = static_cast<double>(cells.size());
  double weakest = ample_requests;
  double covered = 0;
  for (const LayoutCoverage::Cell& cell : cells) {
    weakest = std::min(weakest, cell.requests);
    covered += cell.requests > 0 ? 1 / count : 0;
  }
  double average_after_loss = 0;
  double weakest_after_loss = weakest;
  for (const LayoutCoverage::Cell& cell : cells) {
    const double after_loss = std::min(weakest, cell.requests - cell.largest_holder);
    average_after_loss += std::log1p(after_loss) / count;
    weakest_after_loss = std::min(weakest_after_loss, after_loss);
  }
  return kCoveredWeight * covered + std::log1p(weakest) +
         kLossWeight / 2 * (average_after_loss + std::log1p(weakest_after_loss));
}

}  // namespace

double RequestCapacity(const EngineProfile& profile, const EngineModel& model, int layers) {
  const double typical_tokens =
      std::max(1.0, profile.usual_prompt_tokens + profile.usual_answer_tokens);
  return model.KvTokenLayers(layers) / layers / typical_tokens;
}

LayoutCoverage::LayoutCoverage(const EngineProfile& profile, int cell_layers)
    : m_layers(profile.layers),
      m_ample_requests(profile.slots > 0 ? kAmpleSlots * profile.slots
                                         : std::numeric_limits<double>::infinity()),
      m_cell_layers(cell_layers),
      m_cells((profile.layers + cell_layers - 1) / cell_layers),
      m_fleet(static_cast<size_t>(m_cells)) {}

LayerRange LayoutCoverage::Range(int first_cell, int cells) const {
  return {first_cell * m_cell_layers, std::min(m_layers, (first_cell + cells) * m_cell_layers)};
}

int LayoutCoverage::DomainIndex(const std::string& name) {
  for (size_t i = 0; i < m_domains.size(); ++i) {
    if (m_domains[i].name == name) {
      return static_cast<int>(i);
    }
  }
  m_domains.push_back({name, std::vector<Cell>(static_cast<size_t>(m_cells))});
  return static_cast<int>(m_domains.size()) - 1;
}

void LayoutCoverage::Add(int domain, const LayerRange& range, double requests) {
  std::vector<Cell>& cells = m_domains[static_cast<size_t>(domain)].cells;
  for (int cell = 0; cell < m_cells; ++cell) {
    const LayerRange layers = Range(cell, 1);
    if (range.first <= layers.first && range.last >= layers.last) {
      AddHolder(requests, &cells[static_cast<size_t>(cell)]);
      AddHolder(requests, &m_fleet[static_cast<size_t>(cell)]);
    }
  }
}

void LayoutCoverage::Remove(int domain, const LayerRange& range, double requests) {
  std::vector<Cell>& cells = m_domains[static_cast<size_t>(domain)].cells;
  for (int cell = 0; cell < m_cells; ++cell) {
    const LayerRange layers = Range(cell, 1);
    if (range.first <= layers.first && range.last >= layers.last) {
      RemoveHolder(requests, &cells[static_cast<size_t>(cell)]);
      RemoveHolder(requests, &m_fleet[static_cast<size_t>(cell)]);
    }
  }
}

double LayoutCoverage::Score() const {
  double score = kFleetScoreWeight *
                 ScoreCells(m_fleet, m_ample_requests * static_cast<double>(m_domains.size()));
  for (const Domain& domain : m_domains) {
    score += ScoreCells(domain.cells, m_ample_requests) / static_cast<double>(m_domains.size());
  }
  return score;
}

int LayoutCoverage::BestStart(int domain, int cells) const {
  const auto gain = [this, domain](int cell) {
    return 1 / (kCoverageOffset + InDomain(domain, cell).requests) +
           kFleetWeight / (kCoverageOffset + InFleet(cell).requests);
  };
  double window = 0;
  for (int cell = 0; cell < cells; ++cell) {
    window += gain(cell);
  }
  int best = 0;
  double best_gain = window;
  for (int start = 1; start + cells <= m_cells; ++start) {
    window += gain(start + cells - 1) - gain(start - 1);
    if (window > best_gain + 1e-9) {
      best = start;
      best_gain = window;
    }
  }
  return best;
}

}  // namespace azuregw
