// Answers to submissions whose owner cannot be reached.
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/submission_cmd.h"

namespace tarragondrift {
namespace {

/// Refuses a waiter whose submission this entry does not know.
void RefuseWaiter(const entry& state, waiter_id waiter, const submission_id& id,
                  result_code code, actions& out) {
  out.emplace_back(deliver_answer{
      .waiter = waiter,
      .answer = MakeRefusal(id, code, state.options.retry_after)});
}

}  // namespace

void OnForwardResult(entry& state, const forward_submission& sent,
                     forward_outcome outcome, instant /*now*/, actions& out) {
  const bool has_id = sent.request->id.has_value();
  const submission_id id = sent.request->id.value_or(submission_id{});
  if (outcome == forward_outcome::kUnreachable) {
    RefuseWaiter(state, sent.waiter, id, result_code::kOwnerUnreachable, out);
    return;
  }
  const bool can_fence =
      outcome == forward_outcome::kOwnerGone && sent.recorded && has_id;
  if (can_fence) {
    out.emplace_back(fence_intent{.waiter = sent.waiter, .id = id});
    return;
  }
  RefuseWaiter(state, sent.waiter, id, result_code::kOutcomeUnknown, out);
}

void OnIntentFenceResult(entry& state, const fence_intent& fence,
                         fence_outcome outcome, actions& out) {
  switch (outcome) {
    case fence_outcome::kFenced:
      RefuseWaiter(state, fence.waiter, fence.id, result_code::kNotRunRecorded,
                   out);
      break;
    case fence_outcome::kRecorded:
      RefuseWaiter(state, fence.waiter, fence.id, result_code::kOutcomeUnknown,
                   out);
      break;
    case fence_outcome::kUnknown:
      RefuseWaiter(state, fence.waiter, fence.id,
                   result_code::kOwnerUnreachable, out);
      break;
  }
}

}  // namespace tarragondrift
