#include "peer_calls.h"

namespace tarragondrift {

void peer_calls::OnHeartbeat(heartbeat beat,
                             std::function<void(beat_reply)> done) {
  engine_.Post(
      heartbeat_event{.beat = std::move(beat), .done = std::move(done)});
}

void peer_calls::OnHandOver(hand_over handed,
                            std::function<void(incarnation)> done) {
  engine_.Post(handover_event{
      .handed = std::move(handed),
      .done = [self = self_, done = std::move(done)](bool accepted) {
        done(accepted ? self : incarnation{});
      }});
}

config_text peer_calls::OnFetchConfig(uint64_t /*version*/) {
  return config_();
}

void peer_calls::OnLendSlots(loan_request request,
                             std::function<void(loan_grant)> done) {
  // Slots are divided evenly and never lent, so the grant is empty.
  done({.from = self_, .number = request.number});
}

void peer_calls::OnReturnSlots(loan_return /*message*/) {}

}  // namespace tarragondrift
