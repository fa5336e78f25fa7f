#include "tarragondrift/core/loan_cmd.h"

#include <algorithm>

#include "tarragondrift/core/share_cmd.h"

namespace tarragondrift {
namespace {

constexpr uint32_t kPercent = 100;

uint32_t SlotsAt(std::span<const loan_item> items, const std::string& address) {
  uint32_t slots = 0;
  for (const loan_item& item : items) {
    slots += item.address == address ? item.slots : 0;
  }
  return slots;
}

/// Whether a loan may be requested from a peer now.
bool MayRequestLoan(const shares& state, incarnation who, instant now) {
  const auto at = state.loan_requests.find(who);
  if (at == state.loan_requests.end()) {
    return true;
  }
  const auto wait = at->second.answered ? state.options.loan_interval
                                        : state.options.loan_timeout;
  return now - at->second.sent >= wait;
}

/// Whether `left` is preferred as a lender to `right`.
bool IsBetterLender(const lender_view& left, const lender_view& right) {
  return std::pair{left.same_data_centre, left.idle} >
         std::pair{right.same_data_centre, right.idle};
}

/// Returns the idle slots of an instance that this entry holds itself.
uint32_t IdleSlots(const shares& state, const loan_view& instance,
                   instant now) {
  if (instance.leaving) {
    return 0;
  }
  const uint32_t held = HeldSlots(state, instance.address, instance.slots, now);
  const uint32_t used =
      LentSlots(state, instance.address, now) + instance.in_flight;
  return held > used ? held - used : 0;
}

/// An instance with idle slots.
struct idle_instance {
  const loan_view* view = nullptr;
  uint32_t idle = 0;
};

/// Returns the instances of an upstream that have idle slots, most idle first.
std::vector<idle_instance> IdleInstances(const shares& state,
                                         std::span<const loan_view> instances,
                                         const std::string& upstream,
                                         instant now) {
  std::vector<idle_instance> found;
  for (const loan_view& instance : instances) {
    const uint32_t idle =
        instance.upstream == upstream ? IdleSlots(state, instance, now) : 0;
    if (idle > 0) {
      found.push_back({&instance, idle});
    }
  }
  std::sort(found.begin(), found.end(),
            [](const idle_instance& left, const idle_instance& right) {
              return left.idle > right.idle;
            });
  return found;
}

/// Picks up to `wanted` slots, from the instances with the most idle slots
/// first.
std::vector<loan_item> PickItems(std::span<const idle_instance> idle,
                                 uint32_t wanted) {
  std::vector<loan_item> items;
  for (const idle_instance& instance : idle) {
    const uint32_t slots = std::min(wanted, instance.idle);
    if (slots == 0) {
      break;
    }
    items.push_back({.address = instance.view->address, .slots = slots});
    wanted -= slots;
  }
  return items;
}

/// Subtracts items from those of a loan and removes emptied ones.
void Subtract(std::vector<loan_item>& loan_items,
              std::span<const loan_item> items) {
  for (loan_item& remaining : loan_items) {
    remaining.slots -=
        std::min(remaining.slots, SlotsAt(items, remaining.address));
  }
  std::erase_if(loan_items, [](const loan_item& remaining) {
    return remaining.slots == 0;
  });
}

const loan_view* FindView(std::span<const loan_view> instances,
                          const std::string& address) {
  for (const loan_view& instance : instances) {
    if (instance.address == address) {
      return &instance;
    }
  }
  return nullptr;
}

/// Returns how many slots of an instance can be returned while the attempts in
/// flight still fit into the rest.
uint32_t ReturnableSlots(const shares& state,
                         std::span<const loan_view> instances,
                         const std::string& address, instant now) {
  const loan_view* const view = FindView(instances, address);
  if (view == nullptr) {
    return UnreturnedSlots(state, address);
  }
  const uint32_t held = HeldSlots(state, address, view->slots, now);
  const uint32_t lent = LentSlots(state, address, now);
  const uint32_t available =
      (held > lent ? held - lent : 0) + UnreturnedSlots(state, address);
  return available > view->in_flight ? available - view->in_flight : 0;
}

/// Returns the slots of one loan that can be returned now.
std::vector<loan_item> ReturnableItems(const shares& state, const loan_in& loan,
                                       std::span<const loan_view> instances,
                                       instant now) {
  std::vector<loan_item> items;
  for (const loan_item& item : loan.items) {
    const uint32_t slots = std::min(
        item.slots, ReturnableSlots(state, instances, item.address, now));
    if (slots > 0) {
      items.push_back({.address = item.address, .slots = slots});
    }
  }
  return items;
}

/// Returns all returnable slots of the loans that match a predicate.
template <class Predicate>
std::vector<return_target> ReturnMatching(shares& state,
                                          std::span<const loan_view> instances,
                                          const Predicate& matches,
                                          instant now) {
  std::vector<return_target> returns;
  for (loan_in& loan : state.borrowed) {
    auto items = matches(loan) ? ReturnableItems(state, loan, instances, now)
                               : std::vector<loan_item>{};
    if (items.empty()) {
      continue;
    }
    Subtract(loan.items, items);
    returns.push_back({.to = loan.lender,
                       .message = {.from = state.options.self,
                                   .number = loan.number,
                                   .part = ++loan.part,
                                   .items = std::move(items)}});
  }
  std::erase_if(state.borrowed,
                [](const loan_in& loan) { return loan.items.empty(); });
  return returns;
}

}  // namespace

std::optional<loan_target> RequestLoan(shares& state,
                                       const std::string& upstream,
                                       uint32_t lacking,
                                       std::span<const lender_view> peers,
                                       instant now) {
  const lender_view* best = nullptr;
  for (const lender_view& peer : peers) {
    const bool eligible = peer.idle > 0 && MayRequestLoan(state, peer.who, now);
    if (eligible && (best == nullptr || IsBetterLender(peer, *best))) {
      best = &peer;
    }
  }
  if (best == nullptr || lacking == 0) {
    return std::nullopt;
  }
  const uint32_t wanted = std::clamp(lacking, state.options.min_loan_slots,
                                     state.options.max_loan_slots);
  const uint64_t number = state.next_loan++;
  state.loan_requests[best->who] = {.number = number, .sent = now};
  return loan_target{.to = best->who,
                     .request = {.from = state.options.self,
                                 .number = number,
                                 .upstream = upstream,
                                 .wanted = wanted}};
}

loan_grant GrantLoan(shares& state, const loan_request& request,
                     std::span<const loan_view> instances, uint32_t queued,
                     instant now) {
  loan_grant grant{.from = state.options.self,
                   .number = request.number,
                   .lasts = state.options.loan_duration};
  if (queued > 0 || state.leaving) {
    return grant;
  }
  const auto idle = IdleInstances(state, instances, request.upstream, now);
  uint32_t total = 0;
  for (const idle_instance& instance : idle) {
    total += instance.idle;
  }
  const uint32_t max_lent = total * state.options.lend_percent / kPercent;
  grant.items = PickItems(idle, std::min(request.wanted, max_lent));
  if (grant.items.empty()) {
    return grant;
  }
  const bool reclaims_at_expiry =
      state.options.mutation == share_mutation::kReclaimAtExpiry;
  const auto reclaim_after = reclaims_at_expiry
                                 ? state.options.loan_duration
                                 : state.options.loan_duration +
                                       state.options.max_running_time +
                                       state.options.clock_margin;
  state.lent.push_back({.borrower = request.from,
                        .number = request.number,
                        .items = grant.items,
                        .reclaim_at = now + reclaim_after});
  return grant;
}

bool ApplyGrant(shares& state, const loan_grant& grant, instant now) {
  const auto at = state.loan_requests.find(grant.from);
  if (at == state.loan_requests.end() || at->second.number != grant.number ||
      at->second.answered) {
    return false;
  }
  at->second.answered = true;
  if (grant.items.empty()) {
    // Moves `sent` to the arrival of the refusal, so that the wait of
    // loan_interval before the next request counts from there.
    at->second.sent = now;
    return false;
  }
  const instant expires = at->second.sent + grant.lasts;
  state.borrowed.push_back({.lender = grant.from,
                            .number = grant.number,
                            .items = grant.items,
                            .received_at = now,
                            .expires = expires});
  return now < expires;
}

void ApplyReturn(shares& state, const loan_return& message) {
  for (loan_out& loan : state.lent) {
    const bool same =
        loan.borrower == message.from && loan.number == message.number;
    if (same && message.part > loan.part) {
      loan.part = message.part;
      Subtract(loan.items, message.items);
    }
  }
  std::erase_if(state.lent,
                [](const loan_out& loan) { return loan.items.empty(); });
}

std::vector<return_target> ReturnLoans(shares& state,
                                       std::span<const loan_view> instances,
                                       bool idle, instant now) {
  const auto due = [&](const loan_in& loan) {
    const bool held_long_enough =
        now - loan.received_at >= state.options.min_loan_hold;
    return now >= loan.expires || (idle && held_long_enough);
  };
  return ReturnMatching(state, instances, due, now);
}

std::vector<return_target> ReturnTo(shares& state, incarnation lender,
                                    std::span<const loan_view> instances,
                                    instant now) {
  const auto is_from_lender = [lender](const loan_in& loan) {
    return loan.lender == lender;
  };
  return ReturnMatching(state, instances, is_from_lender, now);
}

uint32_t LentSlots(const shares& state, const std::string& address,
                   instant now) {
  uint32_t slots = 0;
  for (const loan_out& loan : state.lent) {
    slots += now < loan.reclaim_at ? SlotsAt(loan.items, address) : 0;
  }
  return slots;
}

uint32_t UnreturnedSlots(const shares& state, const std::string& address) {
  uint32_t slots = 0;
  for (const loan_in& loan : state.borrowed) {
    slots += SlotsAt(loan.items, address);
  }
  return slots;
}

uint32_t BorrowedSlots(const shares& state, const std::string& address,
                       instant now) {
  uint32_t slots = 0;
  for (const loan_in& loan : state.borrowed) {
    slots += now < loan.expires ? SlotsAt(loan.items, address) : 0;
  }
  return slots;
}

}  // namespace tarragondrift
