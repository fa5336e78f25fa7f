// Commands on membership: hear beats, decide which to send.
#ifndef TARRAGONDRIFT_CORE_MEMBERSHIP_CMD_H_
#define TARRAGONDRIFT_CORE_MEMBERSHIP_CMD_H_

#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/membership_base.h"

namespace tarragondrift {

/// Makes a membership that knows nobody.
membership MakeMembership(const membership_options& options);

/// Learns an entry's address from the platform's rows or from settings, before
/// it is heard.
void LearnPeer(membership& state, incarnation who, uint16_t data_centre,
               const std::string& address, instant now);

/// Takes a beat, and those that it relays. One that is older than what is known
/// of its sender changes nothing.
void ReceiveHeartbeat(membership& state, const heartbeat& beat, instant now);

/// Decides which beats go out now; `self` is what this entry says of itself.
/// A changed stage or configuration version goes out at once.
std::vector<heartbeat_target> TickMembership(membership& state,
                                             const heartbeat& self,
                                             instant now);

/// Tells whether this entry speaks for its data centre to the others.
bool IsSpeaker(const membership& state, instant now);

/// Finds where to reach an incarnation, also a silent one.
/// @return nothing when it is unknown or another now has its address.
std::optional<std::string> FindPeerAddress(const membership& state,
                                           incarnation who);

/// Lists the live entries of a data centre, this one included.
std::vector<incarnation> LiveEntries(const membership& state,
                                     uint16_t data_centre, instant now);

/// Tells whether a peer was heard lately enough to count as live.
bool IsLive(const membership& state, const peer& other, instant now);

/// Estimates a beat's size on the wire, headers of the transport included.
size_t HeartbeatBytes(const heartbeat& beat);

/// Gives the highest configuration version that any peer was heard to have.
uint64_t HighestPeerConfig(const membership& state);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_MEMBERSHIP_CMD_H_
