#include "outside.h"

#include <utility>

namespace tarragondrift {

outside::outside(const settings& options, engine& target, table_port& table,
                 metrics& counts)
    : engine_(target),
      counts_(counts),
      store_(table,
             [this](engine_event event) { engine_.Post(std::move(event)); }),
      upstreams_(upstream_client::Start(
          {.threads = options.upstream_threads},
          [this](const placement& placed, attempt_result ended) {
            counts_.CountEnd(ended);
            engine_.Post(attempt_ended_event{.placed = placed,
                                             .ended = std::move(ended)});
          })) {}

void outside::Start(start_task start) {
  counts_.CountStart();
  upstreams_->Run(std::move(start));
}

void outside::Claim(claim_key claim) {
  counts_.messages().platform.fetch_add(1);
  store_.Claim(std::move(claim));
}

void outside::Record(record_intent record) {
  counts_.messages().platform.fetch_add(1);
  store_.Record(record);
}

void outside::Forward(forward_submit call) {
  engine_.Post(forward_ended_event{
      .waiter = call.waiter,
      .reply = MakeCodeReply(call.id, result_code::kOwnerUnreachable)});
}

void outside::Forward(forward_await call) {
  engine_.Post(forward_ended_event{
      .waiter = call.waiter,
      .reply = MakeCodeReply(call.id, result_code::kOwnerUnreachable)});
}

void outside::ForwardCancel(const submission_id& /*id*/, cancel_callback done) {
  done(result_code::kOwnerUnreachable);
}

void outside::HandOver(hand_over /*handed*/) {}

void outside::Answered(const job_answer& answer) {
  counts_.CountAnswer(answer);
}

}  // namespace tarragondrift
