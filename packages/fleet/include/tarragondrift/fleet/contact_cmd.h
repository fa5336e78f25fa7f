// Choice of the peers that an entry exchanges heartbeats with. In a small fleet
// these are all peers. In a larger one heartbeats between all pairs would cost
// more than the jobs, so only these are in contact:
//
// - the candidates of a data centre (the entries that control its workers, and
//   the next in line) with each other and with those of other data centres;
// - every entry with the candidates of its own data centre, and with a few
//   controllers of other ones;
// - an entry with the controllers of its jobs.
//
// An entry's number of contacts so depends on the number of controllers, and on
// the entries of its data centre, but not on the size of the fleet.
#ifndef TARRAGONDRIFT_FLEET_CONTACT_CMD_H_
#define TARRAGONDRIFT_FLEET_CONTACT_CMD_H_

#include <chrono>

#include "tarragondrift/fleet/engine_base.h"
#include "tarragondrift/fleet/ownership_cmd.h"

namespace tarragondrift::fleet {

/// Whether every peer is a contact.
bool IsFullMesh(const engine& state);

/// Returns an entry as a candidate for the control of workers.
controller_candidate MakeCandidate(const engine& state,
                                   const entry_identity& entry);

/// Chooses the contacts anew, and whether this entry is a candidate.
void UpdateContacts(engine& state, instant now);

/// Returns how often this entry sends to a contact at least.
std::chrono::milliseconds HeartbeatInterval(const engine& state,
                                            const peer& to);

/// Ends the contact with a peer that neither side needs, without the
/// consequences of its failure.
void DropContact(peer& one);

/// Whether this entry has to follow the list of workers. Entries that only
/// serve callers do not, as its rows change more often than callers send jobs.
bool NeedsWorkerList(const engine& state);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CONTACT_CMD_H_
