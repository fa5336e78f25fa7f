// Commands on peers: discovery, failure detection and messages.
#ifndef TARRAGONDRIFT_FLEET_PEER_CMD_H_
#define TARRAGONDRIFT_FLEET_PEER_CMD_H_

#include <cstdint>
#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Adds an entry from the list of entries or updates its identity.
void AddPeer(engine& state, const entry_identity& identity, instant now);

/// Handles the removal of an entry's row: the entry gets no further workers,
/// and is forgotten once it is silent.
void RemovePeerRow(engine& state, const std::string& name, instant now);

/// Handles the messages of a peer.
/// @return false if they were addressed to an earlier process at this address.
bool OnEnvelope(engine& state, const envelope& received, instant now);

/// Outcome of the delivery of an envelope.
enum class delivery : uint8_t {
  kDelivered,
  kLost,
  /// A different process answered at the address.
  kOtherProcess,
};

/// Handles the outcome of a delivery.
void OnDelivery(engine& state, uint64_t incarnation, delivery outcome,
                instant now);

/// Requests that contacts are told of a change before their next heartbeat.
void AnnounceChange(engine& state, announcement to);

/// Queues heartbeats that are due, detects silent peers and forgets those that
/// have been silent for long.
void TickPeers(engine& state, instant now);

/// Handles messages of this entry to itself and sends queued messages to peers
/// that have no delivery in flight.
void FlushPeers(engine& state, instant now);

/// Marks all peers silent until they are heard again. Used after a process
/// pause, when messages that have piled up may be out of date.
void ResetAllPeers(engine& state, const char* cause, instant now);

/// Whether a peer can be given work.
bool IsUsable(const peer& one);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PEER_CMD_H_
