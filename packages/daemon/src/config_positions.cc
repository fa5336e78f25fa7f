#include "config_positions.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace tarragondrift {
namespace {

/// Merges two lists by the names of their elements; `before` sets the order.
template <class Element>
std::vector<Element> MergeByName(const std::vector<Element>& before,
                                 std::vector<Element> next) {
  std::vector<Element> merged = before;
  for (Element& old : merged) {
    const auto same = std::find_if(
        next.begin(), next.end(), [&old](const Element& candidate) {
          return !old.name.empty() && candidate.name == old.name;
        });
    if (same == next.end()) {
      old.name.clear();
      continue;
    }
    old = std::move(*same);
    next.erase(same);
  }
  std::move(next.begin(), next.end(), std::back_inserter(merged));
  return merged;
}

}  // namespace

config_document KeepPositions(const config_document& before,
                              config_document next) {
  next.upstreams = MergeByName(before.upstreams, std::move(next.upstreams));
  next.contracts = MergeByName(before.contracts, std::move(next.contracts));
  next.teams = MergeByName(before.teams, std::move(next.teams));
  return next;
}

}  // namespace tarragondrift
