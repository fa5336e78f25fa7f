#include "tarragondrift/fleet/responsiveness_cmd.h"

#include <algorithm>
#include <iterator>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/evacuation_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"

namespace tarragondrift::fleet {
namespace {

bool IsOffer(const peer_message& message) {
  return std::holds_alternative<part_offer>(message);
}

/// Removes the offers from an outbox.
/// @return the parts that were offered.
std::vector<part_ref> TakeOffers(std::vector<peer_message>& outbox) {
  std::vector<part_ref> taken;
  for (const peer_message& message : outbox) {
    if (IsOffer(message)) {
      taken.push_back(std::get<part_offer>(message).ref);
    }
  }
  std::erase_if(outbox, IsOffer);
  return taken;
}

}  // namespace

bool IsResponsive(const engine& state, const peer& one, instant now) {
  return IsOff(state.options.without, mechanism::kOfferWithdrawal) ||
         !one.unacknowledged_since ||
         now - *one.unacknowledged_since <= state.options.offer_response_limit;
}

bool AcceptsOffers(const engine& state, const peer& one, instant now) {
  return IsUsable(one) && IsResponsive(state, one, now) &&
         !IsLoadOutdated(state, one);
}

void WithdrawUnsentOffers(engine& state, instant now) {
  for (auto& [incarnation, one] : state.peers) {
    if (IsResponsive(state, one, now) ||
        std::none_of(one.outbox.begin(), one.outbox.end(), IsOffer)) {
      continue;
    }
    const std::vector<part_ref> offers = TakeOffers(one.outbox);
    state.counts.offers_withdrawn += offers.size();
    log_line line("offers_withdrawn");
    line.With("peer", one.identity.name)
        .With("unacknowledged_ms",
              std::chrono::floor<milliseconds>(now - *one.unacknowledged_since)
                  .count())
        .With("parts", static_cast<int64_t>(offers.size()));
    AddLogLine(state, line, true);
    for (const part_ref& ref : offers) {
      OnPartResult(state, incarnation,
                   {.ref = ref,
                    .code = result_code::kNotRunNoInstance,
                    .retry_after = state.options.min_retry_after},
                   now);
    }
  }
}

}  // namespace tarragondrift::fleet
