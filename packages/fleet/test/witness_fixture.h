// The list of witnesses in tests.
#ifndef TARRAGONDRIFT_FLEET_TEST_WITNESS_FIXTURE_H_
#define TARRAGONDRIFT_FLEET_TEST_WITNESS_FIXTURE_H_

#include <vector>

#include "tarragondrift/fleet/engine_base.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift::fleet {

/// Gives an entry a list of witnesses that was made after all of them had
/// started.
inline void SetWitnesses(engine& state,
                         const std::vector<entry_identity>& entries,
                         instant now) {
  witness_list list{.version = 1};
  for (const entry_identity& one : entries) {
    list.witnesses.push_back({.name = one.name,
                              .data_centre = one.data_centre,
                              .cpu_milli = one.cpu_milli});
  }
  ApplyWitnessList(state, {}, now);
  ApplyWitnessList(state, list, now);
  TakeActions(state);
}

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_TEST_WITNESS_FIXTURE_H_
