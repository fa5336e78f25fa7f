// Assignment of workers to the entries that control them.
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
  /// Number of workers that it can control beside its other work.
  size_t worker_capacity = 1;

  bool operator==(const controller_candidate&) const = default;
};

/// Returns the controllers for one data centre's workers: the fewest local
/// entries with sufficient total `worker_capacity`, those with the largest
/// first. If the data centre has no entries, entries of all data centres are
/// considered. Entries with the same list of candidates get the same result.
std::vector<controller_candidate> ChooseControllers(
    const std::vector<controller_candidate>& entries,
    std::string_view data_centre, size_t workers);

/// Returns the controllers that ChooseControllers chooses among the local
/// entries, and up to `standbys` entries that would be chosen after them.
std::vector<controller_candidate> ChooseCandidates(
    const std::vector<controller_candidate>& entries,
    std::string_view data_centre, size_t workers, size_t standbys);

/// Chooses the controller of one worker by weighted rendezvous hashing: each
/// controller gets workers in proportion to its `worker_capacity`, and adding
/// or removing a controller reassigns few workers.
/// @return nullptr if `controllers` is empty.
const controller_candidate* ChooseController(
    const std::vector<controller_candidate>& controllers,
    std::string_view worker);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_OWNERSHIP_CMD_H_
