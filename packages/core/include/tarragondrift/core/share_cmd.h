// Commands on the slot shares of one entry: which entry holds which slots of
// the data centre's upstream instances.
#ifndef TARRAGONDRIFT_CORE_SHARE_CMD_H_
#define TARRAGONDRIFT_CORE_SHARE_CMD_H_

#include <span>
#include <string>
#include <vector>

#include "tarragondrift/core/result_code.h"
#include "tarragondrift/core/share_base.h"

namespace tarragondrift {

/// Returns the initial state of an entry that holds no slots.
shares MakeShares(const share_options& options);

/// Applies the row as read or just written; `call_started` is when the call to
/// the table was started. A row with a lower version than the known one is
/// ignored.
void ApplyShareRow(shares& state, const share_row_read& read,
                   instant call_started, instant now);

/// Sets what the latest heartbeats report of the other entries of the data
/// centre.
void UpdateSharePeers(shares& state, std::span<const share_peer> peers);

/// Requests a read of the row at the next tick, for a hint that it changed.
void RequestShareRowRead(shares& state);

/// Starts to release all slots; HasLeftShares reports when that is done.
void LeaveShares(shares& state);

/// Whether this entry has released all slots and is no longer a member.
bool HasLeftShares(const shares& state);

/// Advances the state to `now` and returns the table operations to carry out.
/// Must be called at least every 100 ms, with all instances of the data centre.
share_row_requests TickShares(shares& state,
                              std::span<const shared_instance> instances,
                              instant now);

/// Whether this entry may start attempts on its own slots now.
bool MayUseShares(const shares& state, instant now);

/// Whether this entry may acknowledge a peer's heartbeats. It must not do so
/// while a vote of its own against the peer may be in the row.
bool SupportsPeer(const shares& state, incarnation who);

/// Returns the slots of an instance that this entry holds itself, including
/// those that it lent.
uint32_t HeldSlots(const shares& state, const std::string& address,
                   uint32_t slots, instant now);

/// Returns the slots of each instance that this entry may use now: its own,
/// less those lent, plus those borrowed. Pass them to SetInstance after each
/// tick, and at once after GrantLoan, ApplyGrant, ApplyReturn and ReturnLoans.
/// In-flight attempts may exceed the slots for a while; nothing new starts
/// until the attempts fit.
std::vector<usable_share> UsableShares(
    const shares& state, std::span<const shared_instance> instances,
    instant now);

/// Returns the slots of an instance that member `who` holds when `members` are
/// all the holders; 0 for a non-member.
uint32_t OwnedSlots(std::span<const incarnation> members, incarnation who,
                    const std::string& address, uint32_t slots);

/// Returns how many of the `connections` allowed to an instance this entry may
/// keep: an equal part for each member.
uint32_t ConnectionBudget(const shares& state, uint32_t connections);

/// Serializes a row to the JSON text stored in the table.
std::string FormatShareRow(const share_row& row);

/// Parses the text written by FormatShareRow.
/// @return kMalformedRequest for any other text.
result<share_row> ParseShareRow(const std::string& text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_SHARE_CMD_H_
