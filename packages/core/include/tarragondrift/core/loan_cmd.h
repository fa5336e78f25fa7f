// Commands on loans of slots between entries. A request, its grant and the
// return travel between the entries; all expire without them.
#ifndef TARRAGONDRIFT_CORE_LOAN_CMD_H_
#define TARRAGONDRIFT_CORE_LOAN_CMD_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "tarragondrift/core/share_base.h"

namespace tarragondrift {

/// An instance as loans see it.
struct loan_view {
  std::string address;
  std::string upstream;
  /// All slots of the instance; 0 when it lies in another data centre.
  uint32_t slots = 0;
  uint32_t in_flight = 0;
  bool leaving = false;
};

/// A peer's idle slots of one upstream, as its last message told.
struct lender_view {
  incarnation who;
  uint32_t idle = 0;
  /// Peers of the own data centre are asked first.
  bool same_data_centre = true;
};

/// A request and the peer that it goes to.
struct loan_target {
  incarnation to;
  loan_request request;
};

/// A return and the peer that it goes to.
struct return_target {
  incarnation to;
  loan_return message;
};

/// Decides whom to ask for slots when an upstream lacks `lacking` of them; see
/// LoanDemand. Call it after each event while slots are lacking.
/// @return nothing when no peer has idle slots or each was asked lately.
std::optional<loan_target> RequestLoan(shares& state,
                                       const std::string& upstream,
                                       uint32_t lacking,
                                       std::span<const lender_view> peers,
                                       instant now);

/// Answers a request out of the own idle slots, keeping some for itself when
/// its own tasks come: `queued` tasks of the upstream wait here.
loan_grant GrantLoan(shares& state, const loan_request& request,
                     std::span<const loan_view> instances, uint32_t queued,
                     instant now);

/// Takes a grant; a late or repeated one is ignored.
/// @return whether slots were gained.
bool ApplyGrant(shares& state, const loan_grant& grant, instant now);

/// Takes lent slots back that a peer returns.
void ApplyReturn(shares& state, const loan_return& message);

/// Gives back borrowed slots on which nothing runs: those of expired loans, and
/// those held for long enough when the entry is `idle`, which means that
/// nothing waits.
std::vector<return_target> ReturnLoans(shares& state,
                                       std::span<const loan_view> instances,
                                       bool idle, instant now);

/// Gives back what is idle of one lender's slots, as it asks for slots itself.
std::vector<return_target> ReturnTo(shares& state, incarnation lender,
                                    std::span<const loan_view> instances,
                                    instant now);

/// Counts the slots of an instance that are lent out at a time.
uint32_t LentSlots(const shares& state, const std::string& address,
                   instant now);

/// Counts the borrowed slots of an instance that were not returned yet.
uint32_t UnreturnedSlots(const shares& state, const std::string& address);

/// Counts the borrowed slots of an instance on which attempts may start.
uint32_t BorrowedSlots(const shares& state, const std::string& address,
                       instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_LOAN_CMD_H_
