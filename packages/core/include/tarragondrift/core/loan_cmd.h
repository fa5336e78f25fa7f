// Commands on loans of slots between entries, which exchange a request, its
// grant and the return. Any of these may be lost: requests time out, and loans
// expire.
#ifndef TARRAGONDRIFT_CORE_LOAN_CMD_H_
#define TARRAGONDRIFT_CORE_LOAN_CMD_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "tarragondrift/core/share_base.h"

namespace tarragondrift {

/// The state of an upstream instance that loans depend on.
struct loan_view {
  std::string address;
  std::string upstream;
  /// All slots of the instance; 0 when it is in another data centre.
  uint32_t slots = 0;
  uint32_t in_flight = 0;
  bool leaving = false;
};

/// The idle slots that a peer last reported for one upstream.
struct lender_view {
  incarnation who;
  uint32_t idle = 0;
  /// Peers of this entry's data centre are preferred.
  bool same_data_centre = true;
};

/// A loan request and the peer to send it to.
struct loan_target {
  incarnation to;
  loan_request request;
};

/// A return of slots and the peer to send it to.
struct return_target {
  incarnation to;
  loan_return message;
};

/// Chooses a peer to request slots from when an upstream lacks `lacking` slots;
/// see LoanDemand. Call it after each event while slots are lacking.
/// @return nothing when no peer has idle slots, or each received a request too
///   recently.
std::optional<loan_target> RequestLoan(shares& state,
                                       const std::string& upstream,
                                       uint32_t lacking,
                                       std::span<const lender_view> peers,
                                       instant now);

/// Answers a request from the entry's own idle slots, of which it keeps some
/// for tasks that may arrive. Refuses while `queued` tasks of the upstream wait
/// here or the entry is leaving.
loan_grant GrantLoan(shares& state, const loan_request& request,
                     std::span<const loan_view> instances, uint32_t queued,
                     instant now);

/// Applies a grant. A duplicate is ignored, and so is the grant of any request
/// but the last one to that peer.
/// @return whether slots were gained that may be used now.
bool ApplyGrant(shares& state, const loan_grant& grant, instant now);

/// Takes back the lent slots that a peer returns; a duplicate is ignored.
void ApplyReturn(shares& state, const loan_return& message);

/// Returns borrowed slots on which nothing runs to their lenders: those of
/// expired loans and, if the entry is `idle` (no task waits), those held for at
/// least min_loan_hold.
std::vector<return_target> ReturnLoans(shares& state,
                                       std::span<const loan_view> instances,
                                       bool idle, instant now);

/// Returns the idle slots borrowed from one lender, which now requests slots
/// itself.
std::vector<return_target> ReturnTo(shares& state, incarnation lender,
                                    std::span<const loan_view> instances,
                                    instant now);

/// Returns the slots of an instance that are lent out at time `now`.
uint32_t LentSlots(const shares& state, const std::string& address,
                   instant now);

/// Returns the borrowed slots of an instance that have not been returned yet,
/// expired loans included.
uint32_t UnreturnedSlots(const shares& state, const std::string& address);

/// Returns the borrowed slots of an instance on which attempts may start.
uint32_t BorrowedSlots(const shares& state, const std::string& address,
                       instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_LOAN_CMD_H_
