// One entry as plain data: its submissions, jobs and dispatcher, and the
// actions that its decisions ask of the outside.
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

/// Names one held request; chosen by whoever holds it, unique at the entry.
struct waiter_id {
  uint64_t value = 0;
  auto operator<=>(const waiter_id&) const = default;
};

/// A rule that a test breaks on purpose, to show that its checker notices.
enum class injected_fault : uint8_t {
  kNone,
  /// Ids that were used, or lie below the watermark, are taken for new.
  kSkipWatermark,
  /// What may have been started, or claimed, is started all the same.
  kStartAfterLostReply,
  /// An entry that did not mint the id of a forwarded submission runs it.
  kForwardTwice,
  /// An id is forgotten together with its answer.
  kEvictEarly,
  /// The entry ends before a successor has confirmed its kept answers.
  kHandOverLate,
};

/// Options of an entry's core.
struct entry_options {
  uint16_t data_centre = 0;
  incarnation self;
  /// Ended jobs whose answers are kept for resubmissions.
  size_t max_kept_answers = 50'000;
  /// Bytes of the kept answers.
  size_t max_kept_bytes = 64U << 20U;
  /// Refusals that are kept for resubmissions.
  size_t max_kept_refusals = 10'000;
  /// Minted ids that are told apart as used and unused; older are refused.
  uint64_t remembered_sequences = 1U << 20U;
  /// Ids that one caller gets at once.
  uint32_t max_tickets_per_request = 4'096;
  /// Between two tries of a record whose outcome is not known.
  std::chrono::milliseconds record_retry{200};
  /// When to come back after a refusal that passes.
  std::chrono::milliseconds retry_after{500};
  /// Ended submissions in one message to a successor.
  size_t max_handover_answers = 256;
  /// Bytes after which a message to a successor is closed.
  size_t max_handover_bytes = 1U << 20U;
  /// Idempotency keys that go to a successor with their intervals.
  size_t max_handover_keys = 20'000;
  /// Keys that carry their issue time belong to key intervals, in place of
  /// being claimed one by one. The same at all entries and for ever: two
  /// entries that differ could both run a key.
  bool use_key_intervals = false;
  /// Only tests and the safety bench set it.
  injected_fault fault_for_test = injected_fault::kNone;
  dispatch_options dispatch;
};

/// One task while its job is in the pool.
struct job_task {
  task_request request;
  task_state state = task_state::kQueued;
  uint32_t attempts = 0;
  /// An earlier attempt may have run.
  bool earlier_outcome_unknown = false;
  std::string body;
};

/// How far a job has come.
enum class job_stage : uint8_t {
  /// Waits for its idempotency key; whether another submission runs under the
  /// key is not known.
  kClaiming,
  /// Waits for its intent record; nothing has started.
  kRecording,
  kRunning,
};

/// What a job keeps of its contract; a later configuration may number the
/// contracts otherwise.
struct contract_terms {
  bool idempotent = false;
  bool recorded = false;
  uint32_t max_attempts = 1;
  std::chrono::milliseconds max_running_time{0};
};

/// A job between acceptance and answer.
struct job {
  submission_id id;
  job_request request;
  contract_terms terms;
  std::vector<job_task> tasks;
  std::vector<waiter_id> waiters;
  job_stage stage = job_stage::kRunning;
  uint32_t running = 0;
  uint32_t unfinished = 0;
  /// Attempts that were not refused.
  uint32_t started = 0;
  instant accepted;
  instant deadline;
  /// When a record with an unknown outcome is tried again.
  std::optional<instant> next_record;
};

/// A submission as this entry knows it: running, ended with its answer kept,
/// or only another name of the submission that holds its idempotency key.
struct submission {
  /// All zeros: the content is not known, and any will do.
  content_digest digest;
  job_id job;
  job_answer_ptr answer;
  std::optional<submission_id> holder;
  /// It never started, nothing was promised, and it may be sent again, but
  /// only with an idempotency key: the key's claim is what keeps it safe.
  bool may_resubmit = false;
  /// Kept among the refusals, not among the answers of jobs.
  bool refused = false;
};

/// When a job has to be given up.
struct job_deadline {
  instant at;
  job_id job;
  auto operator<=>(const job_deadline&) const = default;
};

/// Asks the upstream client to start one attempt.
struct start_task {
  submission_id id;
  placement placed;
  std::string address;
  std::string task_name;
  std::string payload;
  uint32_t attempt = 1;
  std::chrono::milliseconds timeout{0};
};

/// Asks for an answer to go to a held request.
struct deliver_answer {
  waiter_id waiter;
  job_answer_ptr answer;
};

/// Asks for a submission to go to the entry that minted its id.
struct forward_submission {
  waiter_id waiter;
  incarnation owner;
  std::shared_ptr<const job_request> request;
  /// The request's contract wants intent records.
  bool recorded = false;
};

/// Asks for the conditional insert of an idempotency key.
struct claim_key {
  std::string key;
  submission_id id;
  content_digest digest;
};

/// Asks for an intent record; records of one moment are written together.
struct record_intent {
  submission_id id;
};

/// Asks whether a lost owner recorded an intent, and if not, to insert a mark
/// in the record's place, so that the owner can't record it any more.
struct fence_intent {
  waiter_id waiter;
  submission_id id;
};

/// Asks for the conditional insert of a key interval for this entry.
struct claim_interval {
  key_interval interval;
};

/// An answer on its way to a successor.
struct kept_answer {
  content_digest digest;
  job_answer_ptr answer;
};

/// A key interval that an entry owned, with all keys that were used of it.
struct inherited_interval {
  key_interval interval;
  interval_keys keys;
};

/// Asks for kept answers to go to a successor before this entry ends.
struct hand_over {
  std::vector<kept_answer> answers;
  /// Intervals that the successor owns from now on.
  std::vector<inherited_interval> intervals;
  /// With intervals: the only entry that may ever get this message. Two heirs
  /// would both run new keys.
  incarnation only_to;
};

using action =
    std::variant<start_task, deliver_answer, forward_submission, claim_key,
                 record_intent, hand_over, fence_intent, claim_interval>;
using actions = std::vector<action>;

/// How a call to the table service ended.
enum class store_outcome : uint8_t {
  kApplied,
  kConflict,
  kUnavailable,
  /// It may have taken effect.
  kUnknown,
};

/// What the table service said about an idempotency key. A conflict with the
/// entry's own earlier insert is read back and told as kConflict with the same
/// holder, or as kApplied.
struct key_claim {
  store_outcome outcome = store_outcome::kUnavailable;
  /// With kConflict: who holds the key, and for which content.
  submission_id holder;
  content_digest holder_digest;
};

/// What became of a submission on its way to the entry that minted its id.
enum class forward_outcome : uint8_t {
  /// No answer; it may have arrived.
  kUnreachable,
  /// That incarnation has ended, and no successor has its answers.
  kOwnerGone,
  /// The table has no row of that incarnation, so that its records may have
  /// been deleted too.
  kOwnerForgotten,
};

/// What the table service said about the intent of a lost owner.
enum class fence_outcome : uint8_t {
  /// There was no record, and now there can't be one.
  kFenced,
  kRecorded,
  kUnknown,
};

/// How a message to a successor ended.
struct handover_result {
  bool accepted = false;
  incarnation successor;
};

/// Whether an entry takes submissions.
enum class entry_stage : uint8_t { kServing, kDraining, kDrained };

/// Ended submissions on their way to a successor.
struct handover_state {
  /// Still to be sent, oldest first.
  std::deque<submission_id> waiting;
  /// Sent and not confirmed.
  std::vector<submission_id> sent;
  /// A message is on its way.
  bool outstanding = false;
  /// Who confirmed the earlier ones.
  incarnation successor;
  /// Who gets the key intervals; chosen once, for ever.
  std::optional<incarnation> interval_successor;
  uint32_t interval_handover_messages = 0;
};

/// Hashes a task reference for the unordered containers.
struct task_ref_hash {
  size_t operator()(const task_ref& task) const;
};

/// All that one entry's decisions depend on.
struct entry {
  entry_options options;
  entry_stage stage = entry_stage::kServing;
  std::shared_ptr<const config_document> config;
  std::unordered_map<submission_id, submission, submission_id_hash> submissions;
  answer_store kept;
  handover_state handover;
  key_owners keys;
  pool<job, job_id> jobs;
  /// A heap, soonest first; jobs that have ended are skipped.
  std::priority_queue<job_deadline, std::vector<job_deadline>, std::greater<>>
      deadlines;
  /// Jobs whose record is tried again, in any order.
  std::vector<job_id> record_retries;
  dispatcher dispatch;
  /// Attempts that hold a slot, also those of jobs that were given up.
  std::unordered_map<task_ref, placement, task_ref_hash> running;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ENTRY_BASE_H_
