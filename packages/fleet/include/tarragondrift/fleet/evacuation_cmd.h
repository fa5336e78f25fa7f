// Evacuation of data centres. Each controller decides by itself, before each
// start, by the newest snapshot that it got from the platform's table service
// or from a peer. Answers the load when the workers of a data centre are taken
// out of service at once: what they would have run goes to the others or is
// refused, and it returns gradually, since the workers may be slow at first.
#ifndef TARRAGONDRIFT_FLEET_EVACUATION_CMD_H_
#define TARRAGONDRIFT_FLEET_EVACUATION_CMD_H_

#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Replaces the set of evacuated data centres, unless the snapshot is older
/// than the current one. Parts that cannot start here any more are returned to
/// their origins, and workers that are back in service are on probation.
/// @return whether the set changed.
bool ApplyEvacuations(engine& state, const evacuation_snapshot& snapshot,
                      evacuation_source source, instant now);

/// Confirms by the platform's table service that the set is that of a snapshot;
/// if it is not, the snapshot replaces it. To be called with each newer version
/// of the table, also when it has not changed, so that a peer with an older
/// snapshot is not believed.
void ConfirmEvacuations(engine& state, const evacuation_snapshot& snapshot,
                        instant now);

/// Returns the current snapshot, for peers with an older one.
evacuation_snapshot CurrentEvacuations(const engine& state);

/// Whether nothing may start on the workers of a data centre.
bool IsEvacuated(const engine& state, const std::string& data_centre);

/// Whether a peer's load report was received before this entry learned that the
/// peer's data centre is evacuated, so that the capacity in it may be gone.
bool IsLoadOutdated(const engine& state, const peer& one);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_EVACUATION_CMD_H_
