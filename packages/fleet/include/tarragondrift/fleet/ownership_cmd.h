// Which entry should control which worker.
#ifndef TARRAGONDRIFT_FLEET_OWNERSHIP_CMD_H_
#define TARRAGONDRIFT_FLEET_OWNERSHIP_CMD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragondrift::fleet {

/// An entry that may control workers.
struct controller_candidate {
  uint64_t incarnation = 0;
  std::string name;
  std::string data_centre;
  /// Workers that it can control beside its other work.
  size_t worker_capacity = 1;
};

/// Chooses the controllers of one data centre's workers: as few of its own
/// entries as can carry them, or of all entries where it has none; the strong
/// ones first. Every entry with the same view chooses the same.
std::vector<controller_candidate> ChooseControllers(
    const std::vector<controller_candidate>& entries,
    std::string_view data_centre, size_t workers);

/// Chooses the controller of one worker by weighted rendezvous hashing: each
/// gets workers in proportion to what it can carry, and a change among the
/// controllers moves few of them.
/// @return nullptr when there are none.
const controller_candidate* ChooseController(
    const std::vector<controller_candidate>& controllers,
    std::string_view worker);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_OWNERSHIP_CMD_H_
