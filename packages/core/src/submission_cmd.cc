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

/// A submission on its way in.
struct arrival {
  job_request request;
  waiter_id waiter;
  sender from = sender::kCaller;
  instant now;
};

/// Tells when a refused request is worth sending again.
std::chrono::milliseconds RetryTime(const entry& state, const arrival& coming,
                                    result_code code) {
  const bool passes = code == result_code::kNotRunOverloaded ||
                      code == result_code::kNotRunQuota ||
                      code == result_code::kRefusedForNow;
  return passes ? RetryAfter(state.dispatch, coming.request, coming.now)
                : state.options.retry_after;
}

/// Delivers a refusal that no later request depends on.
result_code Refuse(const entry& state, const arrival& coming, result_code code,
                   actions& out) {
  const submission_id id = coming.request.id.value_or(submission_id{});
  out.emplace_back(deliver_answer{
      .waiter = coming.waiter,
      .answer = MakeRefusal(id, code, RetryTime(state, coming, code))});
  return code;
}

/// Refuses what could have become a job. The id is used up by it, so that a
/// late copy of the request can't make "not run" false. With an idempotency
/// key nothing is promised, because other ids can stand for the same key.
result_code RefuseNew(entry& state, const arrival& coming, result_code code,
                      actions& out) {
  if (!coming.request.idempotency_key.empty()) {
    return Refuse(state, coming, result_code::kRefusedForNow, out);
  }
  if (!coming.request.id.has_value()) {
    return Refuse(state, coming, code, out);
  }
  const submission_id id = *coming.request.id;
  const job_answer_ptr answer =
      MakeRefusal(id, code, RetryTime(state, coming, code));
  MarkUsed(state.kept.window, id.sequence);
  KeepRefusal(state, id,
              submission{.digest = coming.request.digest, .answer = answer});
  out.emplace_back(deliver_answer{.waiter = coming.waiter, .answer = answer});
  return code;
}

/// Sends a submission on to its owner, unless it came from another entry.
result<submission_id> Forward(const entry& state, arrival coming,
                              incarnation owner, actions& out) {
  const submission_id id = coming.request.id.value_or(submission_id{});
  const uint32_t contract = coming.request.contract.index;
  const bool recorded = state.config != nullptr &&
                        contract < state.config->contracts.size() &&
                        state.config->contracts[contract].recorded;
  out.emplace_back(forward_submission{
      .waiter = coming.waiter,
      .owner = owner,
      .request = std::make_shared<const job_request>(std::move(coming.request)),
      .recorded = recorded});
  return id;
}

/// Finds why a submission that this entry owns and does not know cannot
/// become a job.
result_code TestNewSubmission(const entry& state, const job_request& request,
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

/// Makes a job of a submission that this entry owns and does not know.
/// @param claim whether the table must be asked who holds the key.
result<submission_id> SubmitNew(entry& state, arrival coming, bool claim,
                                actions& out) {
  const result_code test = TestNewSubmission(state, coming.request, coming.now);
  if (test != result_code::kOk) {
    return RefuseNew(state, coming, test, out);
  }
  const submission_id id = coming.request.id.value_or(submission_id{
      state.options.data_centre, state.options.self, state.kept.window.next});
  if (!coming.request.id.has_value()) {
    MintSequences(state.kept.window, 1);
  }
  const job_id place =
      InsertJob(state, std::move(coming.request), id, coming.now);
  state.jobs.Get(place).waiters.push_back(coming.waiter);
  BeginJob(state, place, claim, coming.now, out);
  return id;
}

/// Takes a submission whose id is of this entry and names nothing known.
result<submission_id> SubmitOwnId(entry& state, arrival coming, actions& out) {
  const result_code test = TestUnknownId(state, *coming.request.id);
  if (test != result_code::kOk) {
    return Refuse(state, coming, test, out);
  }
  const bool keyed = !coming.request.idempotency_key.empty();
  return SubmitNew(state, std::move(coming), keyed, out);
}

/// Takes a submission whose id names nothing known.
result<submission_id> SubmitUnknownId(entry& state, arrival coming,
                                      actions& out) {
  if (Owns(state, *coming.request.id)) {
    return SubmitOwnId(state, std::move(coming), out);
  }
  if (coming.from == sender::kCaller) {
    const incarnation owner = coming.request.id->owner;
    return Forward(state, std::move(coming), owner, out);
  }
  if (state.options.fault_for_test == injected_fault::kForwardTwice) {
    coming.request.id.reset();
    return SubmitNew(state, std::move(coming), false, out);
  }
  return Refuse(state, coming, result_code::kOwnerGone, out);
}

/// Attaches a waiter to a known submission, or repeats its kept answer.
result<submission_id> Attach(entry& state, const submission_id& id,
                             arrival coming, actions& out) {
  const submission& known = state.submissions.at(id);
  const bool any_content = known.digest == content_digest{};
  if (!any_content && known.digest != coming.request.digest) {
    return Refuse(state, coming, result_code::kContentMismatch, out);
  }
  if (known.answer != nullptr) {
    out.emplace_back(
        deliver_answer{.waiter = coming.waiter, .answer = known.answer});
    return id;
  }
  if (known.may_resubmit) {
    const bool keyed = !coming.request.idempotency_key.empty();
    return keyed ? SubmitNew(state, std::move(coming), true, out)
                 : Refuse(state, coming, result_code::kRefusedForNow, out);
  }
  if (!known.holder.has_value()) {
    state.jobs.Get(known.job).waiters.push_back(coming.waiter);
    return id;
  }
  coming.request.id = known.holder;
  // The holder of a key is never another name itself: one hop more, no loop.
  coming.from = sender::kCaller;
  return state.submissions.contains(*known.holder)
             ? Attach(state, *known.holder, std::move(coming), out)
             : SubmitUnknownId(state, std::move(coming), out);
}

/// Takes a submission whose key says which interval, and so which entry, it
/// belongs to; a ticket that comes with it is not used.
result<submission_id> SubmitIssuedKey(entry& state, arrival coming,
                                      const key_interval& interval,
                                      actions& out) {
  coming.request.id.reset();
  const key_lookup ruling = LookUpKey(state.keys, state.options.self, interval,
                                      coming.request.idempotency_key);
  switch (ruling.kind) {
    case key_lookup_kind::kUngranted:
      RequestInterval(state, interval, out);
      return Refuse(state, coming, result_code::kRefusedForNow, out);
    case key_lookup_kind::kClosed:
      return Refuse(state, coming, result_code::kAnswerExpired, out);
    case key_lookup_kind::kOther:
      if (coming.from == sender::kEntry) {
        return Refuse(state, coming, result_code::kOwnerGone, out);
      }
      return Forward(state, std::move(coming), ruling.owner, out);
    case key_lookup_kind::kKnown:
      if (!state.submissions.contains(ruling.id)) {
        return Refuse(state, coming, result_code::kAnswerExpired, out);
      }
      return Attach(state, ruling.id, std::move(coming), out);
    case key_lookup_kind::kNew:
      break;
  }
  const std::string key = coming.request.idempotency_key;
  // Remembered before the first start; taken back if no job came of it.
  const submission_id next{state.options.data_centre, state.options.self,
                           state.kept.window.next};
  RememberKey(state.keys, interval, key, next);
  const auto taken = SubmitNew(state, std::move(coming), false, out);
  if (!taken) {
    ForgetKey(state.keys, key, next);
  }
  return taken;
}

/// Takes a submission from a caller or from another entry.
result<submission_id> Submit(entry& state, arrival coming, actions& out) {
  const job_request& request = coming.request;
  const auto key = state.options.use_key_intervals
                       ? ParseIssuedKey(request.idempotency_key)
                       : std::nullopt;
  if (key.has_value()) {
    const key_interval interval = IntervalOf(state.keys.options, *key);
    return SubmitIssuedKey(state, std::move(coming), interval, out);
  }
  if (!request.id.has_value()) {
    const bool keyed = !request.idempotency_key.empty();
    return SubmitNew(state, std::move(coming), keyed, out);
  }
  const submission_id id = *request.id;
  return state.submissions.contains(id)
             ? Attach(state, id, std::move(coming), out)
             : SubmitUnknownId(state, std::move(coming), out);
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

result<void> AwaitAnswer(entry& state, const submission_id& asked,
                         waiter_id waiter, instant /*now*/, actions& out) {
  const submission_id id = ResolveSubmission(state, asked);
  const auto known = state.submissions.find(id);
  if (known == state.submissions.end()) {
    if (!Owns(state, id)) {
      return result_code::kOwnerUnreachable;
    }
    const result_code test = TestUnknownId(state, id);
    return test == result_code::kOk ? result_code::kNotFound : test;
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

result<void> CancelJob(entry& state, const submission_id& asked, instant now,
                       actions& out) {
  const submission_id id = ResolveSubmission(state, asked);
  const auto known = state.submissions.find(id);
  if (known != state.submissions.end()) {
    const job_id place = known->second.job;
    if (known->second.may_resubmit) {
      // This id won't run; another may run under the same key.
      known->second.may_resubmit = false;
      known->second.answer = MakeRefusal(id, result_code::kOutcomeUnknown,
                                         state.options.retry_after);
    }
    if (state.jobs.Find(place) == nullptr) {
      return outcome::success();
    }
    const bool started = state.jobs.Get(place).started > 0;
    FailJob(state, place,
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
  const result_code test = TestUnknownId(state, id);
  if (test != result_code::kOk) {
    return test == result_code::kInvalidSubmissionId ? result_code::kNotFound
                                                     : test;
  }
  // The cancel overtook its submission, which must not run when it arrives.
  const auto answer =
      MakeRefusal(id, result_code::kNotRunCancelled, state.options.retry_after);
  MarkUsed(state.kept.window, id.sequence);
  KeepRefusal(state, id, submission{.answer = answer});
  return outcome::success();
}

}  // namespace tarragondrift
