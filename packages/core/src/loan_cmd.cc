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

/// Tells whether a peer may be asked again.
bool MayAsk(const shares& state, incarnation who, instant now) {
  const auto at = state.asked.find(who);
  if (at == state.asked.end()) {
    return true;
  }
  const auto wait = at->second.answered ? state.options.loan_interval
                                        : state.options.loan_timeout;
  return now - at->second.sent >= wait;
}

/// Tells which of two peers to ask first.
bool IsBetterLender(const lender_view& left, const lender_view& right) {
  return std::pair{left.same_data_centre, left.idle} >
         std::pair{right.same_data_centre, right.idle};
}

/// Counts the idle slots of an instance that this entry holds itself.
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

/// An instance that has idle slots.
struct idle_instance {
  const loan_view* view = nullptr;
  uint32_t idle = 0;
};

std::vector<idle_instance> IdleInstances(const shares& state,
                                         std::span<const loan_view> instances,
                                         const std::string& upstream,
                                         instant now) {
  std::vector<idle_instance> all;
  for (const loan_view& instance : instances) {
    const uint32_t idle =
        instance.upstream == upstream ? IdleSlots(state, instance, now) : 0;
    if (idle > 0) {
      all.push_back({&instance, idle});
    }
  }
  std::sort(all.begin(), all.end(),
            [](const idle_instance& left, const idle_instance& right) {
              return left.idle > right.idle;
            });
  return all;
}

/// Takes slots from the instances with the most idle ones.
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

/// Takes the items out of a loan.
void Subtract(std::vector<loan_item>& from, std::span<const loan_item> items) {
  for (loan_item& left : from) {
    left.slots -= std::min(left.slots, SlotsAt(items, left.address));
  }
  std::erase_if(from, [](const loan_item& left) { return left.slots == 0; });
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

/// Counts the slots of an instance that could be returned: those without which
/// what runs there still fits.
uint32_t Returnable(const shares& state, std::span<const loan_view> instances,
                    const std::string& address, instant now) {
  const loan_view* const view = FindView(instances, address);
  if (view == nullptr) {
    return UnreturnedSlots(state, address);
  }
  const uint32_t held = HeldSlots(state, address, view->slots, now);
  const uint32_t lent = LentSlots(state, address, now);
  const uint32_t all =
      (held > lent ? held - lent : 0) + UnreturnedSlots(state, address);
  return all > view->in_flight ? all - view->in_flight : 0;
}

/// Lists what can be returned of one loan.
std::vector<loan_item> ReturnableItems(const shares& state, const loan_in& loan,
                                       std::span<const loan_view> instances,
                                       instant now) {
  std::vector<loan_item> items;
  for (const loan_item& item : loan.items) {
    const uint32_t slots =
        std::min(item.slots, Returnable(state, instances, item.address, now));
    if (slots > 0) {
      items.push_back({.address = item.address, .slots = slots});
    }
  }
  return items;
}

/// Gives back what can be of the chosen loans.
template <class Choose>
std::vector<return_target> ReturnWhere(shares& state,
                                       std::span<const loan_view> instances,
                                       const Choose& choose, instant now) {
  std::vector<return_target> returns;
  for (loan_in& loan : state.borrowed) {
    auto items = choose(loan) ? ReturnableItems(state, loan, instances, now)
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
    const bool can = peer.idle > 0 && MayAsk(state, peer.who, now);
    if (can && (best == nullptr || IsBetterLender(peer, *best))) {
      best = &peer;
    }
  }
  if (best == nullptr || lacking == 0) {
    return std::nullopt;
  }
  const uint32_t wanted = std::clamp(lacking, state.options.min_loan_slots,
                                     state.options.max_loan_slots);
  const uint64_t number = state.next_loan++;
  state.asked[best->who] = {.number = number, .sent = now};
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
  const uint32_t most = total * state.options.lend_percent / kPercent;
  grant.items = PickItems(idle, std::min(request.wanted, most));
  if (grant.items.empty()) {
    return grant;
  }
  const bool early = state.options.mutation == share_mutation::kReclaimAtExpiry;
  const auto back = early ? state.options.loan_duration
                          : state.options.loan_duration +
                                state.options.max_running_time +
                                state.options.clock_margin;
  state.lent.push_back({.borrower = request.from,
                        .number = request.number,
                        .items = grant.items,
                        .back = now + back});
  return grant;
}

bool ApplyGrant(shares& state, const loan_grant& grant, instant now) {
  const auto at = state.asked.find(grant.from);
  if (at == state.asked.end() || at->second.number != grant.number ||
      at->second.answered) {
    return false;
  }
  at->second.answered = true;
  if (grant.items.empty()) {
    // A refusal keeps this entry from asking again for a while.
    at->second.sent = now;
    return false;
  }
  const instant expires = at->second.sent + grant.lasts;
  state.borrowed.push_back({.lender = grant.from,
                            .number = grant.number,
                            .items = grant.items,
                            .taken = now,
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
    const bool held = now - loan.taken >= state.options.min_loan_hold;
    return now >= loan.expires || (idle && held);
  };
  return ReturnWhere(state, instances, due, now);
}

std::vector<return_target> ReturnTo(shares& state, incarnation lender,
                                    std::span<const loan_view> instances,
                                    instant now) {
  const auto from = [lender](const loan_in& loan) {
    return loan.lender == lender;
  };
  return ReturnWhere(state, instances, from, now);
}

uint32_t LentSlots(const shares& state, const std::string& address,
                   instant now) {
  uint32_t slots = 0;
  for (const loan_out& loan : state.lent) {
    slots += now < loan.back ? SlotsAt(loan.items, address) : 0;
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
