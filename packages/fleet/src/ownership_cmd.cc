#include "tarragondrift/fleet/ownership_cmd.h"

#include <algorithm>

namespace tarragondrift::fleet {
namespace {

/// FNV-1a with a final mix, the same at every entry.
uint64_t HashOf(std::string_view first, std::string_view second) {
  constexpr uint64_t kOffset = 0xcbf29ce484222325;
  constexpr uint64_t kPrime = 0x100000001b3;
  uint64_t hash = kOffset;
  const auto add = [&hash](std::string_view text) {
    for (const char one : text) {
      hash = (hash ^ static_cast<unsigned char>(one)) * kPrime;
    }
    hash = (hash ^ 0xff) * kPrime;
  };
  add(first);
  add(second);
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33U;
  return hash;
}

}  // namespace

std::vector<controller_candidate> ChooseControllers(
    const std::vector<controller_candidate>& entries,
    std::string_view data_centre, size_t workers, size_t per_controller) {
  std::vector<controller_candidate> chosen;
  std::copy_if(entries.begin(), entries.end(), std::back_inserter(chosen),
               [data_centre](const controller_candidate& one) {
                 return one.data_centre == data_centre;
               });
  if (chosen.empty()) {
    chosen = entries;
  }
  const size_t wanted =
      std::max<size_t>(1, (workers + per_controller - 1) / per_controller);
  std::sort(chosen.begin(), chosen.end(),
            [data_centre](const controller_candidate& a,
                          const controller_candidate& b) {
              return HashOf(data_centre, a.name) > HashOf(data_centre, b.name);
            });
  if (chosen.size() > wanted) {
    chosen.resize(wanted);
  }
  return chosen;
}

const controller_candidate* ChooseController(
    const std::vector<controller_candidate>& controllers,
    std::string_view worker) {
  const controller_candidate* best = nullptr;
  uint64_t best_hash = 0;
  for (const controller_candidate& one : controllers) {
    const uint64_t hash = HashOf(worker, one.name);
    if (best == nullptr || hash > best_hash) {
      best = &one;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace tarragondrift::fleet
