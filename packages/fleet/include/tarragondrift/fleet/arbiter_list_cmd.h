// The entries that relay claims. Candidates hear each other and the witnesses.
// An entry of a large fleet that is none hears those of its own data centre,
// one of which relays its claims.
#ifndef TARRAGONDRIFT_FLEET_ARBITER_LIST_CMD_H_
#define TARRAGONDRIFT_FLEET_ARBITER_LIST_CMD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"
#include "tarragondrift/fleet/ownership_cmd.h"

namespace tarragondrift::fleet {

/// Whether this entry was just paused or is reached again, and has heard no
/// candidate since.
bool IsListening(const engine& state, instant now);

/// Whether a peer can be asked to relay a claim.
bool MayArbitrate(const peer& one);

/// Returns the entries that can relay claims of this one: the witnesses that it
/// hears of its own data centre; if there are none, other candidates of it, or
/// those of other data centres.
/// @param excluded relays that were asked before.
std::vector<controller_candidate> ListRelays(
    const engine& state, const std::vector<uint64_t>& excluded);

/// Whether claims of this entry are relayed: it does not hear all witnesses, as
/// it is no candidate, or may not hear them all yet.
bool ClaimsByRelay(const engine& state, instant now);

/// Chooses the relay of a job's claim by weighted rendezvous hashing.
/// @param excluded relays that were asked before.
/// @return its incarnation, 0 if there is none.
uint64_t ChooseRelay(const engine& state, const std::string& job,
                     const std::vector<uint64_t>& excluded);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ARBITER_LIST_CMD_H_
