// Commands on the other entries: who is there, and the messages between them.
#ifndef TARRAGONDRIFT_FLEET_PEER_CMD_H_
#define TARRAGONDRIFT_FLEET_PEER_CMD_H_

#include <cstdint>
#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Gives the interval of beats of an entry to peers that it asked nothing of.
/// @param controls whether it controls workers.
std::chrono::milliseconds HeartbeatInterval(const engine& state, bool controls);

/// Takes note of an entry in the list of entries.
void AddPeer(engine& state, const entry_identity& identity, instant now);

/// Takes note that an entry's row is gone.
void RemovePeerRow(engine& state, const std::string& name, instant now);

/// Takes the messages of another entry.
/// @return false when they were meant for an earlier process at this address.
bool OnEnvelope(engine& state, const envelope& received, instant now);

/// How a delivery ended.
enum class delivery : uint8_t {
  kDelivered,
  kLost,
  /// Another process answers at the address.
  kOtherProcess,
};

/// Takes the end of a delivery.
void OnDelivery(engine& state, uint64_t incarnation, delivery outcome,
                instant now);

/// Queues a message for a peer, or handles it at once when it is for this
/// entry itself.
void SendTo(engine& state, uint64_t incarnation, peer_message message);

/// Sends beats that are due and finds peers that went silent.
void TickPeers(engine& state, instant now);

/// Sends what waits for peers that have no delivery in flight.
void FlushPeers(engine& state, instant now);

/// Gives up what is done with all peers until they are heard again, since this
/// entry stood still: what it finds in its mailbox may be long out of date.
void ResetAllPeers(engine& state, const char* why, instant now);

/// Tells whether a peer can be given work.
bool IsUsable(const peer& one);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PEER_CMD_H_
