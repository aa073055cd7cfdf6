// Bookkeeping of the layers held in a layout, and the greedy selection of the next range.
//
// Shared by the planner and by the selection of the layout's shape, so that a shape is judged by
// the layout that the planner would produce with it.

#ifndef SRC_PLACEMENT_LAYOUT_COVERAGE_H_
#define SRC_PLACEMENT_LAYOUT_COVERAGE_H_

#include <string>
#include <vector>

#include "azuregw/fleet/engine_model.h"
#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// Returns the number of requests of typical size that fit into the memory beside `layers` layers.
double RequestCapacity(const EngineProfile& profile, const EngineModel& model, int layers);

// Serving capacity of each grid cell, per failure domain and in total.
class LayoutCoverage {
 public:
  // Capacity of one cell.
  struct Cell {
    double requests = 0;        // Requests of typical size that fit into memory.
    double largest_holder = 0;  // Largest share of one engine in `requests`.
    double second_holder = 0;   // Second largest share.
  };

  LayoutCoverage(const EngineProfile& profile, int cell_layers);

  int Cells() const { return m_cells; }
  LayerRange Range(int first_cell, int cells) const;
  // Returns the index of a failure domain, which is added if necessary.
  int DomainIndex(const std::string& name);
  int Domains() const { return static_cast<int>(m_domains.size()); }

  // Adds an engine to all cells that `range` contains completely.
  void Add(int domain, const LayerRange& range, double requests);
  // Removes an engine that Add() added.
  void Remove(int domain, const LayerRange& range, double requests);
  // Returns the score of the layout; see LayoutShapeScore().
  double Score() const;
  // Returns the first cell of the range of `cells` cells that improves the coverage most for an
  // engine in `domain`.
  int BestStart(int domain, int cells) const;

  const Cell& InDomain(int domain, int cell) const {
    return m_domains[static_cast<size_t>(domain)].cells[static_cast<size_t>(cell)];
  }
  const Cell& InFleet(int cell) const { return m_fleet[static_cast<size_t>(cell)]; }

 private:
  struct Domain {
    std::string name;
    std::vector<Cell> cells;
  };

  const int m_layers;
  const double m_ample_requests;  // Requests beyond which more capacity is of no use to a domain.
  const int m_cell_layers;
  const int m_cells;
  std::vector<Domain> m_domains;
  std::vector<Cell> m_fleet;  // All failure domains together.
};

}  // namespace azuregw

#endif  // SRC_PLACEMENT_LAYOUT_COVERAGE_H_
