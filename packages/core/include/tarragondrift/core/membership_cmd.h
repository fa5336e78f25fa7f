// Commands on membership: receive heartbeats and decide which ones to send.
#ifndef TARRAGONDRIFT_CORE_MEMBERSHIP_CMD_H_
#define TARRAGONDRIFT_CORE_MEMBERSHIP_CMD_H_

#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/membership_base.h"

namespace tarragondrift {

/// Returns a membership without peers.
membership MakeMembership(const membership_options& options);

/// Adds or confirms an entry that the platform's rows or the settings list. Its
/// heartbeats, once heard, take precedence over the listed address.
void LearnPeer(membership& state, incarnation who, uint16_t data_centre,
               const std::string& address, instant now);

/// Handles a heartbeat and those that it relays. A heartbeat that is older than
/// the last one known of its sender changes nothing.
void ReceiveHeartbeat(membership& state, const heartbeat& message, instant now);

/// Returns the heartbeats to send now; `self` is the state of this entry that
/// they report. A change of stage or configuration version is sent at once.
std::vector<heartbeat_target> TickMembership(membership& state,
                                             const heartbeat& self,
                                             instant now);

/// Whether this entry is the speaker, which exchanges heartbeats with the other
/// data centres.
bool IsSpeaker(const membership& state, instant now);

/// Returns the address of an incarnation, even if it is silent.
/// @return nothing when it is unknown or another incarnation has taken over its
///   address.
std::optional<std::string> FindPeerAddress(const membership& state,
                                           incarnation who);

/// Returns the live entries of a data centre, including this one if it belongs
/// to it, sorted.
std::vector<incarnation> LiveEntries(const membership& state,
                                     uint16_t data_centre, instant now);

/// Whether a peer has been heard within the silence limit and has not drained.
bool IsLive(const membership& state, const peer& other, instant now);

/// Returns the estimated size of a heartbeat on the wire, with transport
/// headers.
size_t HeartbeatBytes(const heartbeat& message);

/// Returns the highest configuration version that any peer has reported.
uint64_t HighestPeerConfig(const membership& state);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_MEMBERSHIP_CMD_H_
