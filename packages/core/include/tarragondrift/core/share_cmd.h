// Commands on the slot shares of one entry: who holds which slots of the data
// centre's upstream instances.
#ifndef TARRAGONDRIFT_CORE_SHARE_CMD_H_
#define TARRAGONDRIFT_CORE_SHARE_CMD_H_

#include <span>
#include <string>
#include <vector>

#include "tarragondrift/core/result_code.h"
#include "tarragondrift/core/share_base.h"

namespace tarragondrift {

/// Makes the shares of an entry that holds nothing yet.
shares MakeShares(const share_options& options);

/// Takes the row as read, or as just written; `begun` is when the call to the
/// table began. A row of a lower version is ignored.
void ApplyShareRow(shares& state, const share_row_read& read, instant begun,
                   instant now);

/// Takes what the heartbeats tell of the other entries of the data centre.
void UpdateSharePeers(shares& state, std::span<const share_peer> peers);

/// Takes a hint that the row has changed: reads it at the next tick.
void RequestShareRowRead(shares& state);

/// Begins to give up all slots; ends once this entry is no member.
void LeaveShares(shares& state);

/// Tells whether this entry has given up all slots.
bool HasLeftShares(const shares& state);

/// Does what time brings and says what to do about the row. Call it every
/// 100 ms or oftener, with every instance of the data centre.
share_row_requests TickShares(shares& state,
                              std::span<const shared_instance> instances,
                              instant now);

/// Tells whether this entry may start anything on its own slots now.
bool MayUseShares(const shares& state, instant now);

/// Tells whether this entry may acknowledge a peer's heartbeats. It must not
/// while it may have a vote standing against the peer.
bool SupportsPeer(const shares& state, incarnation who);

/// Gives the slots of an instance that this entry holds itself, lent or not.
uint32_t HeldSlots(const shares& state, const std::string& address,
                   uint32_t slots, instant now);

/// Gives the slots of each instance that this entry may use now: its own ones
/// less those lent plus those borrowed. Pass them on by SetInstance after each
/// tick, and at once after GrantLoan, ApplyGrant, ApplyReturn and ReturnLoans.
/// In-flight attempts may exceed them for a while; nothing new starts until
/// they fit.
std::vector<usable_share> UsableShares(
    const shares& state, std::span<const shared_instance> instances,
    instant now);

/// Counts the slots of an instance that a member holds under a list of
/// members.
uint32_t OwnedSlots(std::span<const incarnation> members, incarnation who,
                    const std::string& address, uint32_t slots);

/// Gives the connections that this entry may keep to an instance.
uint32_t ConnectionBudget(const shares& state, uint32_t connections);

/// Writes a row as the text that the table keeps.
std::string FormatShareRow(const share_row& row);

/// Reads what FormatShareRow wrote.
/// @return kMalformedRequest for any other text.
result<share_row> ParseShareRow(const std::string& text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_SHARE_CMD_H_
