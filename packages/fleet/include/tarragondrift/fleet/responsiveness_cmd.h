// Which peers are offered work while a link or a process is failing. Answers
// the load after a network partition: between the cut and the silence limit an
// origin would go on offering parts to controllers that no longer receive them,
// and each of these jobs would be lost.
#ifndef TARRAGONDRIFT_FLEET_RESPONSIVENESS_CMD_H_
#define TARRAGONDRIFT_FLEET_RESPONSIVENESS_CMD_H_

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Whether a peer acknowledged what was sent to it within
/// offer_response_limit. A peer that did not is not silent yet: parts that it
/// has go on.
bool IsResponsive(const engine& state, const peer& one, instant now);

/// Whether parts of jobs may be offered to a peer.
bool AcceptsOffers(const engine& state, const peer& one, instant now);

/// Takes the offers that were not sent yet to unresponsive peers out of their
/// outboxes and offers them to other controllers. A job for which there is none
/// is refused as not run, unless another part of it has started.
void WithdrawUnsentOffers(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RESPONSIVENESS_CMD_H_
