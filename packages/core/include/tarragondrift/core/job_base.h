// Jobs, their tasks and their answers as plain data.
#ifndef TARRAGONDRIFT_CORE_JOB_BASE_H_
#define TARRAGONDRIFT_CORE_JOB_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/config_base.h"
#include "tarragondrift/core/pool.h"
#include "tarragondrift/core/result_code.h"
#include "tarragondrift/core/submission_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

struct job_tag;
using job_id = typed_id<job_tag>;

/// Identifies one task of a job in the pool.
struct task_ref {
  job_id job;
  /// Position in job_request::tasks.
  uint32_t number = 0;
  auto operator<=>(const task_ref&) const = default;
};

/// One task as the caller declared it.
struct task_request {
  std::string name;
  upstream_id upstream;
  /// The caller's estimate of the running time; a hint.
  std::chrono::microseconds declared{0};
  /// The body sent to the upstream.
  std::string payload;
};

/// A job as the caller sent it, checked against the configuration in force.
struct job_request {
  /// Absent when the caller sent no ticket; the entry mints the id then.
  std::optional<submission_id> id;
  /// Chosen by the caller; empty when the caller sent none.
  std::string idempotency_key;
  content_digest digest;
  contract_id contract;
  team_id team;
  /// Time from acceptance to the answer.
  std::chrono::milliseconds deadline{0};
  std::vector<task_request> tasks;
};

/// The state of one task, as far as the entry knows it.
enum class task_state : uint8_t {
  kQueued,
  kRunning,
  kSucceeded,
  kFailed,
  kOutcomeUnknown,
  kNotStarted,
};

/// One task's part of an answer.
struct task_answer {
  std::string name;
  task_state state = task_state::kNotStarted;
  /// The upstream's answer; empty unless the whole job succeeded.
  std::string body;
};

/// The answer to a submission: the bodies of all tasks, or an error code and
/// no body.
struct job_answer {
  submission_id id;
  result_code code = result_code::kInternal;
  std::vector<task_answer> tasks;
  /// Time from acceptance to the answer.
  std::chrono::microseconds response_time{0};
  /// Time after which the caller may retry a temporary refusal.
  std::chrono::milliseconds retry_after{0};
};

using job_answer_ptr = std::shared_ptr<const job_answer>;

/// The outcome of one attempt at a task, as seen by the upstream client.
enum class attempt_outcome : uint8_t {
  kSucceeded,
  /// The upstream ran it and answered with an error.
  kFailed,
  /// Refused explicitly, or no connection: the upstream took no byte of it.
  kRefused,
  /// A byte was sent and no answer came.
  kUnknown,
};

/// The result of one attempt.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kUnknown;
  /// Time from the first byte sent to the last byte of the answer.
  std::chrono::microseconds service_time{0};
  std::string body;
  /// The instance reported that it is leaving.
  bool leaving = false;
  /// The connection broke after the request was sent: the instance may have
  /// crashed.
  bool connection_broken = false;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_JOB_BASE_H_
