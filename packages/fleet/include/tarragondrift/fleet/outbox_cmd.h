// The messages that wait to be sent to a peer, and the envelopes that carry
// them.
#ifndef TARRAGONDRIFT_FLEET_OUTBOX_CMD_H_
#define TARRAGONDRIFT_FLEET_OUTBOX_CMD_H_

#include <cstddef>
#include <cstdint>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Queues a message to a peer, or to this entry itself. It is sent as soon as
/// no envelope to the peer is in flight; a peer that is not known gets nothing.
void SendTo(engine& state, uint64_t incarnation, peer_message message);

/// Queues a message that goes with the next envelope to the peer, which is at
/// most a heartbeat interval later. Messages to this entry are not delayed.
void SendLater(engine& state, uint64_t incarnation, peer_message message);

/// Drops the messages to a peer that has lost track of them. Ends of claims are
/// kept: without them the peer refuses other submissions of their jobs.
void ClearOutbox(peer& one);

/// Queues the ends of claims again that were in a lost envelope.
void RestoreReleases(peer& one);

/// Sends an envelope to each peer for which messages are due and none is in
/// flight.
void SendOutboxes(engine& state, instant now);

/// Returns the name of a kind of message, for logs and metrics.
/// @param kind its place in peer_message.
const char* DescribeMessageKind(size_t kind);

/// Returns the earliest time, on this entry's clock, at which an envelope was
/// sent.
instant EarliestSent(const envelope& received, instant now);

/// Keeps the time stamp of an envelope for echoes, if none that is recent was
/// on its way for less time.
void KeepForEcho(const engine& state, peer& one, const envelope& received,
                 instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_OUTBOX_CMD_H_
