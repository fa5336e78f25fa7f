#include "tarragondrift/core/submission_cmd.h"

#include <algorithm>
#include <utility>

#include "tarragondrift/core/answer_store_cmd.h"
#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/job_cmd.h"
#include "tarragondrift/core/key_owner_cmd.h"

namespace tarragondrift {
namespace {

/// Who sent a submission here.
enum class sender : uint8_t { kCaller, kEntry };

/// An incoming submission.
struct incoming_submission {
  job_request request;
  waiter_id waiter;
  sender from = sender::kCaller;
  instant now;
};

/// Returns the time after which a refused request may be retried.
std::chrono::milliseconds RetryDelay(const entry& state,
                                     const incoming_submission& incoming,
                                     result_code code) {
  const bool temporary = code == result_code::kNotRunOverloaded ||
                         code == result_code::kNotRunQuota ||
                         code == result_code::kRefusedForNow;
  return temporary ? RetryAfter(state.dispatch, incoming.request, incoming.now)
                   : state.options.retry_after;
}

/// Delivers a refusal without keeping it.
result_code Refuse(const entry& state, const incoming_submission& incoming,
                   result_code code, actions& out) {
  const submission_id id = incoming.request.id.value_or(submission_id{});
  out.emplace_back(deliver_answer{
      .waiter = incoming.waiter,
      .answer = MakeRefusal(id, code, RetryDelay(state, incoming, code))});
  return code;
}

/// Refuses a submission that could have become a job. Marks its id as used, so
/// that a late copy of the request cannot make "not run" false. With an
/// idempotency key the refusal promises nothing, because other ids can stand
/// for the same key.
result_code RefuseNew(entry& state, const incoming_submission& incoming,
                      result_code code, actions& out) {
  if (!incoming.request.idempotency_key.empty()) {
    return Refuse(state, incoming, result_code::kRefusedForNow, out);
  }
  if (!incoming.request.id.has_value()) {
    return Refuse(state, incoming, code, out);
  }
  const submission_id id = *incoming.request.id;
  const job_answer_ptr answer =
      MakeRefusal(id, code, RetryDelay(state, incoming, code));
  MarkUsed(state.kept.window, id.sequence);
  KeepRefusal(state, id,
              submission{.digest = incoming.request.digest, .answer = answer});
  out.emplace_back(deliver_answer{.waiter = incoming.waiter, .answer = answer});
  return code;
}

/// Forwards a submission that did not come from another entry to its owner.
result<submission_id> Forward(const entry& state, incoming_submission incoming,
                              incarnation owner, actions& out) {
  const submission_id id = incoming.request.id.value_or(submission_id{});
  const uint32_t contract = incoming.request.contract.index;
  const bool recorded = state.config != nullptr &&
                        contract < state.config->contracts.size() &&
                        state.config->contracts[contract].recorded;
  out.emplace_back(forward_submission{
      .waiter = incoming.waiter,
      .owner = owner,
      .request =
          std::make_shared<const job_request>(std::move(incoming.request)),
      .recorded = recorded});
  return id;
}

/// Returns why a submission that this entry owns and does not know cannot
/// become a job; kOk when it can.
result_code CheckNewSubmission(const entry& state, const job_request& request,
                               instant now) {
  if (state.stage != entry_stage::kServing) {
    return result_code::kNotRunDraining;
  }
  if (state.config == nullptr) {
    return result_code::kNotRunNoConfig;
  }
  if (request.contract.index >= state.config->contracts.size()) {
    return result_code::kUnknownContract;
  }
  if (request.tasks.empty()) {
    return result_code::kMalformedRequest;
  }
  return TestAdmission(state.dispatch, request, now);
}

/// Creates the job of a submission that this entry owns and does not know.
/// @param claim whether the idempotency key must be claimed.
result<submission_id> SubmitNew(entry& state, incoming_submission incoming,
                                bool claim, actions& out) {
  const result_code check =
      CheckNewSubmission(state, incoming.request, incoming.now);
  if (check != result_code::kOk) {
    return RefuseNew(state, incoming, check, out);
  }
  const submission_id id = incoming.request.id.value_or(submission_id{
      state.options.data_centre, state.options.self, state.kept.window.next});
  if (!incoming.request.id.has_value()) {
    MintSequences(state.kept.window, 1);
  }
  const job_id handle =
      InsertJob(state, std::move(incoming.request), id, incoming.now);
  state.jobs.Get(handle).waiters.push_back(incoming.waiter);
  BeginJob(state, handle, claim, incoming.now, out);
  return id;
}

/// Handles a submission whose id this entry minted and that is not known.
result<submission_id> SubmitOwnId(entry& state, incoming_submission incoming,
                                  actions& out) {
  const result_code check = TestUnknownId(state, *incoming.request.id);
  if (check != result_code::kOk) {
    return Refuse(state, incoming, check, out);
  }
  const bool keyed = !incoming.request.idempotency_key.empty();
  return SubmitNew(state, std::move(incoming), keyed, out);
}

/// Handles a submission whose id is not known.
result<submission_id> SubmitUnknownId(entry& state,
                                      incoming_submission incoming,
                                      actions& out) {
  if (Owns(state, *incoming.request.id)) {
    return SubmitOwnId(state, std::move(incoming), out);
  }
  if (incoming.from == sender::kCaller) {
    const incarnation owner = incoming.request.id->owner;
    return Forward(state, std::move(incoming), owner, out);
  }
  if (state.options.fault_for_test == injected_fault::kForwardTwice) {
    incoming.request.id.reset();
    return SubmitNew(state, std::move(incoming), false, out);
  }
  return Refuse(state, incoming, result_code::kOwnerGone, out);
}

/// Attaches a waiter to a known submission, or repeats its kept answer.
result<submission_id> Attach(entry& state, const submission_id& id,
                             incoming_submission incoming, actions& out) {
  const submission& known = state.submissions.at(id);
  const bool any_content = known.digest == content_digest{};
  if (!any_content && known.digest != incoming.request.digest) {
    return Refuse(state, incoming, result_code::kContentMismatch, out);
  }
  if (known.answer != nullptr) {
    out.emplace_back(
        deliver_answer{.waiter = incoming.waiter, .answer = known.answer});
    return id;
  }
  if (known.may_resubmit) {
    const bool keyed = !incoming.request.idempotency_key.empty();
    return keyed ? SubmitNew(state, std::move(incoming), true, out)
                 : Refuse(state, incoming, result_code::kRefusedForNow, out);
  }
  if (!known.holder.has_value()) {
    state.jobs.Get(known.job).waiters.push_back(incoming.waiter);
    return id;
  }
  incoming.request.id = known.holder;
  // The holder of a key is never an alias itself: at most one more hop, and no
  // loop.
  incoming.from = sender::kCaller;
  return state.submissions.contains(*known.holder)
             ? Attach(state, *known.holder, std::move(incoming), out)
             : SubmitUnknownId(state, std::move(incoming), out);
}

/// Handles a submission whose key determines its interval, and thereby the
/// entry that owns it. A ticket sent with it is not used.
result<submission_id> SubmitIssuedKey(entry& state,
                                      incoming_submission incoming,
                                      const key_interval& interval,
                                      actions& out) {
  incoming.request.id.reset();
  const key_lookup lookup = LookUpKey(state.keys, state.options.self, interval,
                                      incoming.request.idempotency_key);
  switch (lookup.kind) {
    case key_lookup_kind::kUngranted:
      RequestInterval(state, interval, out);
      return Refuse(state, incoming, result_code::kRefusedForNow, out);
    case key_lookup_kind::kClosed:
      return Refuse(state, incoming, result_code::kAnswerExpired, out);
    case key_lookup_kind::kOther:
      if (incoming.from == sender::kEntry) {
        return Refuse(state, incoming, result_code::kOwnerGone, out);
      }
      return Forward(state, std::move(incoming), lookup.owner, out);
    case key_lookup_kind::kKnown:
      if (!state.submissions.contains(lookup.id)) {
        return Refuse(state, incoming, result_code::kAnswerExpired, out);
      }
      return Attach(state, lookup.id, std::move(incoming), out);
    case key_lookup_kind::kNew:
      break;
  }
  const std::string key = incoming.request.idempotency_key;
  // Remembered before the first start; forgotten if no job is created.
  const submission_id expected_id{state.options.data_centre, state.options.self,
                                  state.kept.window.next};
  RememberKey(state.keys, interval, key, expected_id);
  const auto submitted = SubmitNew(state, std::move(incoming), false, out);
  if (!submitted) {
    ForgetKey(state.keys, key, expected_id);
  }
  return submitted;
}

/// Handles a submission from a caller or from another entry.
result<submission_id> Submit(entry& state, incoming_submission incoming,
                             actions& out) {
  const job_request& request = incoming.request;
  const auto key = state.options.use_key_intervals
                       ? ParseIssuedKey(request.idempotency_key)
                       : std::nullopt;
  if (key.has_value()) {
    const key_interval interval = IntervalOf(state.keys.options, *key);
    return SubmitIssuedKey(state, std::move(incoming), interval, out);
  }
  if (!request.id.has_value()) {
    const bool keyed = !request.idempotency_key.empty();
    return SubmitNew(state, std::move(incoming), keyed, out);
  }
  const submission_id id = *request.id;
  return state.submissions.contains(id)
             ? Attach(state, id, std::move(incoming), out)
             : SubmitUnknownId(state, std::move(incoming), out);
}

}  // namespace

job_answer_ptr MakeRefusal(const submission_id& id, result_code code,
                           std::chrono::milliseconds retry_after) {
  return std::make_shared<const job_answer>(
      job_answer{.id = id, .code = code, .retry_after = retry_after});
}

bool Owns(const entry& state, const submission_id& id) {
  return id.owner == state.options.self &&
         id.data_centre == state.options.data_centre;
}

result_code TestUnknownId(const entry& state, const submission_id& id) {
  const sequence_window& window = state.kept.window;
  if (id.sequence == 0 || id.sequence >= window.next) {
    return result_code::kInvalidSubmissionId;
  }
  if (state.options.fault_for_test == injected_fault::kSkipWatermark) {
    return result_code::kOk;
  }
  if (id.sequence < window.oldest) {
    return result_code::kNotRunStaleId;
  }
  return IsUsed(window, id.sequence) ? result_code::kAnswerExpired
                                     : result_code::kOk;
}

result<ticket_block> MintTickets(entry& state, uint32_t count) {
  if (state.stage != entry_stage::kServing) {
    return result_code::kNotRunDraining;
  }
  if (count == 0) {
    return result_code::kMalformedRequest;
  }
  const uint32_t minted =
      std::min(count, state.options.max_tickets_per_request);
  const uint64_t first = MintSequences(state.kept.window, minted);
  return ticket_block{
      .first = {state.options.data_centre, state.options.self, first},
      .count = minted};
}

result<submission_id> SubmitJob(entry& state, job_request request,
                                waiter_id waiter, instant now, actions& out) {
  return Submit(state,
                {.request = std::move(request), .waiter = waiter, .now = now},
                out);
}

result<submission_id> SubmitForwarded(entry& state, job_request request,
                                      waiter_id waiter, instant now,
                                      actions& out) {
  return Submit(state,
                {.request = std::move(request),
                 .waiter = waiter,
                 .from = sender::kEntry,
                 .now = now},
                out);
}

result<void> AwaitAnswer(entry& state, const submission_id& requested_id,
                         waiter_id waiter, instant /*now*/, actions& out) {
  const submission_id id = ResolveSubmission(state, requested_id);
  const auto known = state.submissions.find(id);
  if (known == state.submissions.end()) {
    if (!Owns(state, id)) {
      return result_code::kOwnerUnreachable;
    }
    const result_code check = TestUnknownId(state, id);
    return check == result_code::kOk ? result_code::kNotFound : check;
  }
  const submission& found = known->second;
  if (found.may_resubmit) {
    return result_code::kRefusedForNow;
  }
  if (found.answer != nullptr) {
    out.emplace_back(deliver_answer{.waiter = waiter, .answer = found.answer});
  } else {
    state.jobs.Get(found.job).waiters.push_back(waiter);
  }
  return outcome::success();
}

submission_id ResolveSubmission(const entry& state, const submission_id& id) {
  const auto known = state.submissions.find(id);
  const bool alias =
      known != state.submissions.end() && known->second.holder.has_value();
  return alias ? *known->second.holder : id;
}

void DropWaiter(entry& state, const submission_id& id, waiter_id waiter) {
  const auto known = state.submissions.find(id);
  if (known == state.submissions.end()) {
    return;
  }
  job* const waiting = state.jobs.Find(known->second.job);
  if (waiting != nullptr) {
    std::erase(waiting->waiters, waiter);
  }
}

result<void> CancelJob(entry& state, const submission_id& requested_id,
                       instant now, actions& out) {
  const submission_id id = ResolveSubmission(state, requested_id);
  const auto known = state.submissions.find(id);
  if (known != state.submissions.end()) {
    const job_id handle = known->second.job;
    if (known->second.may_resubmit) {
      // This id will not run, but another may run under the same key.
      known->second.may_resubmit = false;
      known->second.answer = MakeRefusal(id, result_code::kOutcomeUnknown,
                                         state.options.retry_after);
    }
    if (state.jobs.Find(handle) == nullptr) {
      return outcome::success();
    }
    const bool started = state.jobs.Get(handle).started > 0;
    FailJob(state, handle,
            started ? result_code::kCancelledAfterStart
                    : result_code::kNotRunCancelled,
            now, out);
    StartPlaced(state, now, out);
    ContinueDrain(state, out);
    return outcome::success();
  }
  if (!Owns(state, id)) {
    return result_code::kNotFound;
  }
  const result_code check = TestUnknownId(state, id);
  if (check != result_code::kOk) {
    return check == result_code::kInvalidSubmissionId ? result_code::kNotFound
                                                      : check;
  }
  // The cancel arrived before its submission, which must not run later.
  const auto answer =
      MakeRefusal(id, result_code::kNotRunCancelled, state.options.retry_after);
  MarkUsed(state.kept.window, id.sequence);
  KeepRefusal(state, id, submission{.answer = answer});
  return outcome::success();
}

}  // namespace tarragondrift
