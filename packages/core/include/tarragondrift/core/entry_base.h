// The state of one entry: its submissions, jobs and dispatcher; and the
// actions that its commands request. An entry is a process that accepts jobs
// and dispatches their tasks to the upstream instances.
#ifndef TARRAGONDRIFT_CORE_ENTRY_BASE_H_
#define TARRAGONDRIFT_CORE_ENTRY_BASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tarragondrift/core/answer_store_base.h"
#include "tarragondrift/core/dispatch_base.h"
#include "tarragondrift/core/job_base.h"
#include "tarragondrift/core/key_owner_base.h"
#include "tarragondrift/core/submission_base.h"

namespace tarragondrift {

/// Identifies one held request; chosen by the code that holds the request,
/// unique within the entry.
struct waiter_id {
  uint64_t value = 0;
  auto operator<=>(const waiter_id&) const = default;
};

/// A fault that a test injects to show that its checker detects it.
enum class injected_fault : uint8_t {
  kNone,
  /// Treats ids that were used, or that lie below the watermark
  /// (sequence_window::oldest), as new.
  kSkipWatermark,
  /// Retries a task that may have run, and starts a job whose key claim has an
  /// unknown outcome.
  kStartAfterLostReply,
  /// Runs a forwarded submission at an entry that did not mint its id.
  kForwardTwice,
  /// Forgets that an id was used when its answer is evicted.
  kEvictEarly,
  /// Ends the entry without handing over its kept answers.
  kHandOverLate,
};

/// Options of an entry's core.
struct entry_options {
  uint16_t data_centre = 0;
  incarnation self;
  /// Limit of job answers that are kept for resubmissions.
  size_t max_kept_answers = 50'000;
  /// Limit of the bytes of all kept job answers.
  size_t max_kept_bytes = 64U << 20U;
  /// Limit of refusals that are kept for resubmissions.
  size_t max_kept_refusals = 10'000;
  /// The newest minted ids, of which the entry remembers whether they were
  /// used; older ids are refused.
  uint64_t remembered_sequences = 1U << 20U;
  uint32_t max_tickets_per_request = 4'096;
  /// Interval between attempts to write a record whose outcome is unknown.
  std::chrono::milliseconds record_retry{200};
  /// Retry-after time of refusals for which the dispatcher estimates none.
  std::chrono::milliseconds retry_after{500};
  /// Limit of answers in one handover message.
  size_t max_handover_answers = 256;
  /// Size from which a handover message takes no further answer.
  size_t max_handover_bytes = 1U << 20U;
  /// Limit of idempotency keys that are handed over with their intervals.
  size_t max_handover_keys = 20'000;
  /// Whether a key that carries its issue time is owned through its key
  /// interval instead of being claimed individually. Must be equal at all
  /// entries and never change: two entries that differ could both run a key.
  bool use_key_intervals = false;
  /// Set only by tests and the safety bench.
  injected_fault fault_for_test = injected_fault::kNone;
  dispatch_options dispatch;
};

/// One task of a job in the pool.
struct job_task {
  task_request request;
  task_state state = task_state::kQueued;
  uint32_t attempts = 0;
  /// An earlier attempt may have run; its outcome was lost.
  bool earlier_outcome_unknown = false;
  /// Attempts that ended with a broken connection.
  uint32_t broken_attempts = 0;
  std::string body;
};

/// Progress of a job towards its first start.
enum class job_stage : uint8_t {
  /// Waits for the claim of its idempotency key; another submission may hold
  /// the key and run under it.
  kClaiming,
  /// Waits for its intent record; nothing has started.
  kRecording,
  kRunning,
};

/// The terms of a job's contract, copied at acceptance because a later
/// configuration may number the contracts differently.
struct contract_terms {
  bool idempotent = false;
  bool recorded = false;
  uint32_t max_attempts = 1;
  std::chrono::milliseconds max_running_time{0};
};

/// A job from its acceptance to its answer.
struct job {
  submission_id id;
  job_request request;
  contract_terms terms;
  std::vector<job_task> tasks;
  std::vector<waiter_id> waiters;
  job_stage stage = job_stage::kRunning;
  uint32_t running = 0;
  uint32_t unfinished = 0;
  /// Attempts started, without those that the upstream refused.
  uint32_t started = 0;
  instant accepted;
  instant deadline;
  /// When a record with an unknown outcome is requested again.
  std::optional<instant> next_record;
};

/// A submission known to this entry: running, ended with its answer kept, an
/// alias of the submission that holds its idempotency key, or one that may be
/// resubmitted and has no job, answer or holder.
struct submission {
  /// All zeros when the content is unknown; any content matches then.
  content_digest digest;
  job_id job;
  job_answer_ptr answer;
  std::optional<submission_id> holder;
  /// The submission never started, its answer did not promise that nothing was
  /// run, and it may be resubmitted. Only with an idempotency key, because only
  /// the claim of the key prevents a second run.
  bool may_resubmit = false;
  /// Listed in answer_store::refusals, not in answer_store::answers.
  bool refused = false;
};

/// The time at which a job fails if it has not ended by then.
struct job_deadline {
  instant at;
  job_id job;
  auto operator<=>(const job_deadline&) const = default;
};

/// Starts one attempt through the upstream client.
struct start_task {
  submission_id id;
  placement placed;
  std::string address;
  std::string task_name;
  std::string payload;
  uint32_t attempt = 1;
  std::chrono::milliseconds timeout{0};
};

/// Delivers an answer to a held request.
struct deliver_answer {
  waiter_id waiter;
  job_answer_ptr answer;
};

/// Forwards a submission to its owner: the entry that minted its id, or that
/// owns its key interval.
struct forward_submission {
  waiter_id waiter;
  incarnation owner;
  std::shared_ptr<const job_request> request;
  /// The request's contract requires intent records.
  bool recorded = false;
};

/// Claims an idempotency key by a conditional insert.
struct claim_key {
  std::string key;
  submission_id id;
  content_digest digest;
};

/// Writes an intent record; waiting records are written together.
struct record_intent {
  submission_id id;
};

/// Checks whether a lost owner recorded an intent. If it did not, inserts a
/// fence in place of the record, so that the owner can no longer write it.
struct fence_intent {
  waiter_id waiter;
  submission_id id;
};

/// Claims a key interval for this entry by a conditional insert.
struct claim_interval {
  key_interval interval;
};

/// A kept answer in a handover message.
struct kept_answer {
  content_digest digest;
  job_answer_ptr answer;
};

/// A key interval in a handover message, with all keys that were used in it.
struct inherited_interval {
  key_interval interval;
  interval_keys keys;
};

/// Hands kept answers over to a successor before this entry ends.
struct hand_over {
  std::vector<kept_answer> answers;
  /// Intervals whose ownership passes to the successor.
  std::vector<inherited_interval> intervals;
  /// Set with intervals: the only entry that may ever receive this message.
  /// Two successors with the same interval would both run new keys.
  incarnation only_to;
};

using action =
    std::variant<start_task, deliver_answer, forward_submission, claim_key,
                 record_intent, hand_over, fence_intent, claim_interval>;
using actions = std::vector<action>;

/// The outcome of a call to the table service.
enum class store_outcome : uint8_t {
  kApplied,
  kConflict,
  kUnavailable,
  /// The call may have taken effect.
  kUnknown,
};

/// The result of a claim_key. A conflict with the entry's own earlier insert is
/// read back and reported as kConflict with the same holder, or as kApplied.
struct key_claim {
  store_outcome outcome = store_outcome::kUnavailable;
  /// With kConflict: the submission that holds the key, and its content.
  submission_id holder;
  content_digest holder_digest;
};

/// The outcome of a forward_submission that brought no answer.
enum class forward_outcome : uint8_t {
  /// No reply; the submission may have arrived.
  kUnreachable,
  /// The owner has ended, and no successor has its answers.
  kOwnerGone,
  /// The table has no row of the owner, so its records may have been deleted
  /// too.
  kOwnerForgotten,
};

/// The result of a fence_intent.
enum class fence_outcome : uint8_t {
  /// There was no record, and the fence prevents a later one.
  kFenced,
  kRecorded,
  kUnknown,
};

/// The result of a hand_over.
struct handover_result {
  bool accepted = false;
  incarnation successor;
};

/// Whether an entry accepts submissions or is stopping.
enum class entry_stage : uint8_t { kServing, kDraining, kDrained };

/// Progress of the handover to a successor.
struct handover_state {
  /// Ended submissions still to be sent, oldest first.
  std::deque<submission_id> waiting;
  /// Ended submissions that were sent and are not yet confirmed.
  std::vector<submission_id> sent;
  /// Whether a handover message awaits its result.
  bool outstanding = false;
  /// The entry that confirmed the earlier messages.
  incarnation successor;
  /// The entry that receives the key intervals; never changes once set.
  std::optional<incarnation> interval_successor;
  uint32_t interval_handover_messages = 0;
};

/// Hashes a task reference for the unordered containers.
struct task_ref_hash {
  size_t operator()(const task_ref& task) const;
};

/// The whole state of one entry.
struct entry {
  entry_options options;
  entry_stage stage = entry_stage::kServing;
  std::shared_ptr<const config_document> config;
  std::unordered_map<submission_id, submission, submission_id_hash> submissions;
  answer_store kept;
  handover_state handover;
  key_owners keys;
  pool<job, job_id> jobs;
  /// Soonest first; deadlines of ended jobs are skipped when they pass.
  std::priority_queue<job_deadline, std::vector<job_deadline>, std::greater<>>
      deadlines;
  /// Jobs whose record is to be requested again, in any order.
  std::vector<job_id> record_retries;
  dispatcher dispatch;
  /// Attempts that hold a slot, including those of failed jobs.
  std::unordered_map<task_ref, placement, task_ref_hash> running;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ENTRY_BASE_H_
