// What is said of a submission whose owner can't be asked.
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/submission_cmd.h"

namespace tarragondrift {
namespace {

/// Answers a waiter whose submission is not here.
void Answer(const entry& state, waiter_id waiter, const submission_id& id,
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
    Answer(state, sent.waiter, id, result_code::kOwnerUnreachable, out);
    return;
  }
  const bool provable =
      outcome == forward_outcome::kOwnerGone && sent.recorded && has_id;
  if (provable) {
    out.emplace_back(fence_intent{.waiter = sent.waiter, .id = id});
    return;
  }
  Answer(state, sent.waiter, id, result_code::kOutcomeUnknown, out);
}

void OnIntentFenceResult(entry& state, const fence_intent& asked,
                         fence_outcome outcome, actions& out) {
  switch (outcome) {
    case fence_outcome::kFenced:
      Answer(state, asked.waiter, asked.id, result_code::kNotRunRecorded, out);
      break;
    case fence_outcome::kRecorded:
      Answer(state, asked.waiter, asked.id, result_code::kOutcomeUnknown, out);
      break;
    case fence_outcome::kUnknown:
      Answer(state, asked.waiter, asked.id, result_code::kOwnerUnreachable,
             out);
      break;
  }
}

}  // namespace tarragondrift
