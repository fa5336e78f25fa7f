#include "tarragondrift/fleet/ownership_cmd.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "tarragondrift/core/fnv_hash.h"

namespace tarragondrift::fleet {
namespace {

/// FNV-1a with a final mix; every entry must compute the same hash.
uint64_t HashOf(std::string_view first, std::string_view second) {
  // This byte does not occur in UTF-8 text.
  constexpr std::string_view kSeparator = "\xff";
  uint64_t hash = kFnvOffset;
  for (const std::string_view text : {first, kSeparator, second, kSeparator}) {
    hash = AddToFnv(hash, text);
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33U;
  return hash;
}

/// Returns a hash between 0 and 1, both excluded.
double UnitHashOf(std::string_view first, std::string_view second) {
  constexpr int kMantissaBits = 53;
  constexpr double kSteps = 1ULL << kMantissaBits;
  const uint64_t high = HashOf(first, second) >> (64 - kMantissaBits);
  return (static_cast<double>(high) + 0.5) / kSteps;
}

/// Sorts entries by the order in which they become controllers of a data
/// centre's workers.
void SortByRank(std::vector<controller_candidate>& entries,
                std::string_view data_centre) {
  const auto rank = [data_centre](const controller_candidate& one) {
    return std::make_pair(one.worker_capacity, HashOf(data_centre, one.name));
  };
  std::sort(
      entries.begin(), entries.end(),
      [&rank](const controller_candidate& a, const controller_candidate& b) {
        return rank(a) > rank(b);
      });
}

/// Returns how many of the first entries have the capacity for all workers.
size_t CountNeeded(const std::vector<controller_candidate>& ranked,
                   size_t workers) {
  size_t total_capacity = 0;
  const auto last_needed =
      std::find_if(ranked.begin(), ranked.end(),
                   [&total_capacity, workers](const auto& candidate) {
                     total_capacity += candidate.worker_capacity;
                     return total_capacity >= workers;
                   });
  return last_needed == ranked.end()
             ? ranked.size()
             : static_cast<size_t>(last_needed - ranked.begin()) + 1;
}

std::vector<controller_candidate> LocalEntries(
    const std::vector<controller_candidate>& entries,
    std::string_view data_centre) {
  std::vector<controller_candidate> local;
  std::copy_if(entries.begin(), entries.end(), std::back_inserter(local),
               [data_centre](const controller_candidate& candidate) {
                 return candidate.data_centre == data_centre;
               });
  return local;
}

}  // namespace

std::vector<controller_candidate> ChooseControllers(
    const std::vector<controller_candidate>& entries,
    std::string_view data_centre, size_t workers) {
  std::vector<controller_candidate> chosen = LocalEntries(entries, data_centre);
  if (chosen.empty()) {
    chosen = entries;
  }
  SortByRank(chosen, data_centre);
  chosen.resize(CountNeeded(chosen, workers));
  return chosen;
}

std::vector<controller_candidate> ChooseCandidates(
    const std::vector<controller_candidate>& entries,
    std::string_view data_centre, size_t workers, size_t standbys) {
  std::vector<controller_candidate> chosen = LocalEntries(entries, data_centre);
  SortByRank(chosen, data_centre);
  chosen.resize(
      std::min(chosen.size(), CountNeeded(chosen, workers) + standbys));
  return chosen;
}

const controller_candidate* ChooseController(
    const std::vector<controller_candidate>& controllers,
    std::string_view worker) {
  const controller_candidate* best = nullptr;
  double best_score = 0;
  for (const controller_candidate& candidate : controllers) {
    const double score = -static_cast<double>(candidate.worker_capacity) /
                         std::log(UnitHashOf(worker, candidate.name));
    if (best == nullptr || score > best_score) {
      best = &candidate;
      best_score = score;
    }
  }
  return best;
}

}  // namespace tarragondrift::fleet
