// One entry as plain data: its submissions, jobs and dispatcher, and the
// actions that its decisions ask of the outside.
#ifndef TARRAGONDRIFT_CORE_ENTRY_BASE_H_
#define TARRAGONDRIFT_CORE_ENTRY_BASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tarragondrift/core/dispatch_base.h"
#include "tarragondrift/core/job_base.h"
#include "tarragondrift/core/submission_base.h"

namespace tarragondrift {

/// Names one held request; chosen by whoever holds it, unique at the entry.
struct waiter_id {
  uint64_t value = 0;
  auto operator<=>(const waiter_id&) const = default;
};

/// Options of an entry's core.
struct entry_options {
  uint16_t data_centre = 0;
  incarnation self;
  /// Ended submissions whose answers are kept for resubmissions.
  size_t most_kept_answers = 50'000;
  /// Bytes of the bodies of kept answers.
  size_t most_kept_bytes = 64U << 20U;
  dispatch_options dispatch;
};

/// One task while its job is in the pool.
struct job_task {
  task_request request;
  task_state state = task_state::kQueued;
  uint32_t attempts = 0;
  std::string body;
};

/// How far a job has come.
enum class job_stage : uint8_t {
  /// Waits for its idempotency key or intent record; nothing has started.
  kRecording,
  kRunning,
  /// Its answer is decided; attempts that run are waited for.
  kEnding,
};

/// A job between acceptance and answer.
struct job {
  submission_id id;
  job_request request;
  std::vector<job_task> tasks;
  std::vector<waiter_id> waiters;
  job_stage stage = job_stage::kRunning;
  /// What the job will be answered with unless all of its tasks succeed.
  result_code failure = result_code::kOk;
  uint32_t running = 0;
  uint32_t unfinished = 0;
  bool any_started = false;
  instant accepted;
  instant deadline;
};

/// A submission that this entry owns: running, or ended with its answer kept.
struct submission {
  content_digest digest;
  job_id job;
  job_answer_ptr answer;
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

/// An answer on its way to a successor.
struct kept_answer {
  content_digest digest;
  job_answer_ptr answer;
};

/// Asks for kept answers to go to a successor before this entry ends.
struct hand_over {
  std::vector<kept_answer> answers;
};

using action = std::variant<start_task, deliver_answer, forward_submission,
                            claim_key, record_intent, hand_over>;
using actions = std::vector<action>;

/// How a call to the table service ended.
enum class store_outcome : uint8_t {
  kApplied,
  kConflict,
  kUnavailable,
  /// It may have taken effect.
  kUnknown,
};

/// What the table service said about an idempotency key.
struct key_claim {
  store_outcome outcome = store_outcome::kUnavailable;
  /// With kConflict: who holds the key, and for which content.
  submission_id holder;
  content_digest holder_digest;
};

/// Whether an entry takes submissions.
enum class entry_stage : uint8_t { kServing, kDraining, kDrained };

/// All that one entry's decisions depend on.
struct entry {
  entry_options options;
  entry_stage stage = entry_stage::kServing;
  std::shared_ptr<const config_document> config;
  uint64_t next_sequence = 1;
  /// Ids below it that are not in the table are never started.
  uint64_t watermark = 1;
  std::unordered_map<submission_id, submission, submission_id_hash> submissions;
  /// Sequences of kept answers, oldest first.
  std::deque<uint64_t> kept;
  size_t kept_bytes = 0;
  pool<job, job_id> jobs;
  dispatcher dispatch;
  std::map<task_ref, placement> running;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ENTRY_BASE_H_
