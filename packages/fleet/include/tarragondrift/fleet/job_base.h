// Jobs of sized tasks, and the parts of them that controllers carry out.
#ifndef TARRAGONDRIFT_FLEET_JOB_BASE_H_
#define TARRAGONDRIFT_FLEET_JOB_BASE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/pool.h"
#include "tarragondrift/core/result_code.h"
#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/resources_base.h"

namespace tarragondrift::fleet {

/// An answer is still useful until this multiple of the time from the arrival
/// to the objective.
inline constexpr int kMaxLatenessFactor = 3;

/// Tasks of one kind within a job.
struct step_spec {
  uint32_t count = 0;
  resources need;
  /// Running time of a task as declared by the submitter.
  std::chrono::milliseconds estimate{0};
  /// Earlier steps whose tasks must all be done before this step starts.
  std::vector<uint32_t> after;
  /// Preferred rack, where the step's data is stored; empty for no preference.
  std::string near_rack;
  /// Label that the worker must have; empty for no requirement.
  std::string label;
  /// Limit on concurrent tasks of the step on one worker; 0 for no limit.
  uint32_t max_per_worker = 0;
};

/// A job as its caller described it.
struct job_spec {
  /// Chosen by the caller.
  std::string id;
  /// Passed to workers unchanged.
  std::string payload;
  std::vector<step_spec> steps;
};

/// Identifies one task of a job.
struct task_name {
  std::string job;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const task_name&) const = default;
};

/// Identifies one run of a task; the runs of a task are numbered from 1 in
/// ascending order.
struct run_name {
  task_name task;
  uint32_t run = 0;

  auto operator<=>(const run_name&) const = default;
};

/// Identifies a part of a job at its origin, the entry that holds the job.
struct part_ref {
  uint64_t job = 0;
  uint32_t part = 0;

  auto operator<=>(const part_ref&) const = default;
};

/// A part of a job, offered to a controller: the tasks `first` to
/// `first + count - 1` of a single-step job, or the whole of a multi-step job.
struct part_offer {
  part_ref ref;
  std::string queue;
  /// The queue's settings at the origin, whose configuration may be newer than
  /// the controller's.
  std::string upstream;
  uint32_t priority = 0;
  uint32_t attempts = 1;
  job_spec job;
  uint32_t first = 0;
  uint32_t count = 0;
  /// Time left until the answer is late, and until the job fails.
  std::chrono::milliseconds objective_left{0};
  std::chrono::milliseconds deadline_left{0};
  /// The caller's request at the origin that the job was claimed for; 0 from
  /// entries of earlier versions.
  uint64_t request = 0;
  /// The origin takes tasks back and has offers left for them. Entries of
  /// earlier versions do not know part_return.
  bool accepts_returns = false;
};

/// How a part ended.
struct part_result {
  part_ref ref;
  /// kOk, kTaskFailed, kDeadlineExceeded, kCancelledAfterStart,
  /// kStoppedAfterStart or a refusal which guarantees that nothing was run.
  result_code code = result_code::kOk;
  /// Whether a start order for one of its tasks may have reached a worker.
  bool started = false;
  /// Delay after which a refused part may be offered again.
  std::chrono::milliseconds retry_after{0};
};

/// Returns the last tasks of a part of a single-step job to its origin. None of
/// them was ever started, and the controller no longer has them.
struct part_return {
  part_ref ref;
  /// Index of the first returned task. A repeated message does not end where
  /// the part now ends, and is ignored.
  uint32_t first = 0;
  uint32_t count = 0;
};

enum class task_phase : uint8_t { kBlocked, kQueued, kPlaced, kDone };

/// One task at its controller.
struct task {
  uint32_t step = 0;
  uint32_t index = 0;
  task_phase phase = task_phase::kBlocked;
  /// Number of the newest run.
  uint32_t run = 0;
  /// Number of failed runs.
  uint32_t failed = 0;
  /// It may crash the worker that runs it, so it needs one of its own.
  bool alone = false;
  /// Where a queued task is in the queue; see queue_key.
  bool late = false;
  instant latest_start;
  /// The worker of the newest run.
  std::string worker;
  /// The worker of the last run that did not succeed; the next run avoids it
  /// where possible.
  std::string avoid;
};

/// Progress of one step of a part.
struct step_progress {
  /// The step's tasks: the index of the first in part::tasks, how many there
  /// are, and how many of them are not done.
  uint32_t first_task = 0;
  uint32_t tasks = 0;
  uint32_t left = 0;
  /// Number of the step's entries in `after` that are not done.
  uint32_t awaited = 0;
  /// The steps that wait for this one, once for each such entry.
  std::vector<uint32_t> later;
  /// Expected running time of the longest chain of steps that wait for this
  /// one, as of the part's arrival.
  std::chrono::milliseconds time_after{0};
};

struct part_tag;
using part_id = typed_id<part_tag>;

/// A part at its controller.
struct part {
  part_ref ref;
  /// Incarnation of the origin, the entry that holds the job.
  uint64_t origin = 0;
  /// The request there; see part_offer.
  uint64_t request = 0;
  std::string queue;
  std::string upstream;
  uint32_t priority = 0;
  uint32_t attempts = 1;
  job_spec job;
  /// The origin takes tasks back; see part_offer.
  bool accepts_returns = false;
  std::vector<task> tasks;
  std::vector<step_progress> steps;
  /// One step for each different requirement (resources and label) of the job.
  std::vector<uint32_t> distinct_needs;
  /// Number of tasks that are not done.
  uint32_t left = 0;
  /// Number of tasks that are placed or done.
  uint32_t begun_tasks = 0;
  /// Running time of its tasks on a worker of nominal speed, derived from the
  /// progress of a run; 0 until known.
  std::chrono::milliseconds observed_runtime{0};
  /// Whether a worker accepted a task of it, or may have.
  bool started = false;
  instant arrived;
  /// When tasks of it were last returned to the origin.
  std::optional<instant> last_return;
  /// Time up to which the answer is on time.
  instant objective;
  instant deadline;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_JOB_BASE_H_
