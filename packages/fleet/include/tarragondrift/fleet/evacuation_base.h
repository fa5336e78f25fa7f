// Evacuated data centres: the operator asked that nothing more start on their
// workers.
#ifndef TARRAGONDRIFT_FLEET_EVACUATION_BASE_H_
#define TARRAGONDRIFT_FLEET_EVACUATION_BASE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::fleet {

/// All evacuated data centres as of a version of the platform's table service.
struct evacuation_snapshot {
  uint64_t version = 0;
  std::set<std::string> data_centres;
};

/// Where an entry learned of a snapshot.
enum class evacuation_source : uint8_t { kStore, kPeer };

/// What this entry knows.
struct evacuation_table {
  /// Version of the newest snapshot; older ones are ignored.
  uint64_t version = 0;
  /// Version by which the set was as it is, among those that this entry and its
  /// peers know; 0 until it has heard of an evacuation. Peers whose number is
  /// lower are sent the snapshot.
  uint64_t announced_version = 0;
  /// Evacuated data centres, and when this entry learned of it.
  std::map<std::string, instant> since;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_EVACUATION_BASE_H_
