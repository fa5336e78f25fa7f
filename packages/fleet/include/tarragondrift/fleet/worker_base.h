// Workers as listed by the platform, and their state at the controller.
#ifndef TARRAGONDRIFT_FLEET_WORKER_BASE_H_
#define TARRAGONDRIFT_FLEET_WORKER_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/job_base.h"
#include "tarragondrift/fleet/resources_base.h"

namespace tarragondrift::fleet {

/// A worker's own description in the platform's worker list.
struct worker_listing {
  std::string id;
  /// "IP:port".
  std::string address;
  std::string upstream;
  std::string data_centre;
  resources capacity;
  /// Worker type and rack.
  std::vector<std::string> labels;
  bool draining = false;
  /// Boot time by the worker's own clock; 0 if not reported.
  int64_t boot_time_ms = 0;
};

/// This entry's progress in controlling a worker.
enum class control_phase : uint8_t {
  kNotControlled,
  /// An earlier attempt got no reply; a poll with fence 0, which claims
  /// nothing, tests whether the worker is reachable.
  kProbing,
  /// This entry's fence was sent; runs of earlier controllers are being stopped
  /// first.
  kAcquiring,
  kHeld,
  /// No new runs are started; control ends with the last run of this entry.
  kReleasing,
};

enum class run_phase : uint8_t {
  /// The start order was sent; no reply yet.
  kOrdered,
  kRunning,
  /// The stop order was sent; no acknowledgement yet.
  kStopping,
  /// The stop was acknowledged; the worker has not listed the run as ended yet.
  kStopped,
};

/// A run started by this entry.
struct task_run {
  part_id owner;
  /// Index into the part's tasks.
  uint32_t task = 0;
  resources need;
  run_phase phase = run_phase::kOrdered;
  instant ordered;
  /// Running time expected at the time of the order.
  std::chrono::milliseconds expected{0};
  /// When the last start or stop order for it was sent.
  instant last_order;
  /// When the worker first reported it as running.
  instant confirmed;
  /// Latest lease expiry allowed, so that the run ends before its job is
  /// resubmitted.
  instant lease_limit = instant::max();
  /// Progress as last reported by the worker.
  uint32_t percent = 0;
  /// When the worker last listed it as running, and when it was first known to
  /// run or its progress last changed.
  instant reported;
  instant progressed;
  /// Nothing else starts on the worker meanwhile.
  bool alone = false;
  /// Started by the process that the worker restarted as.
  bool after_restart = false;
};

/// A run whose worker fell silent, for the case that it turns out to have
/// crashed.
struct silent_loss {
  task_name task;
  /// The worker was alive well after the start of the run.
  bool survived = false;
};

/// Health of a worker, derived from the outcomes of its runs.
struct worker_health {
  /// Failed or stalled runs since the last success.
  uint32_t consecutive_failures = 0;
  /// No starts before this time.
  instant ejected_until;
  /// Duration of the latest ejection.
  std::chrono::milliseconds ejection{0};
};

/// This entry's state of a worker.
struct worker {
  worker_listing listing;
  /// The boot time that its description in `listing` came with; 0 if unknown.
  /// Its next process may have other labels, capacity and upstream.
  int64_t described_boot_time_ms = 0;
  /// Whether the platform lists it.
  bool listed = true;
  /// When it left the list; valid only while `listed` is false.
  instant unlisted;
  /// Its row was replaced by one that names no worker.
  bool has_odd_row = false;
  /// It is known from its controller alone.
  bool told_by_peer = false;

  control_phase phase = control_phase::kNotControlled;
  /// Incarnation of the entry that is to control it, 0 if there is none; unset
  /// until it is computed. Valid for `engine::controllers`.
  std::optional<uint64_t> assigned;
  /// Number sent with each order; a worker rejects orders whose fence is below
  /// the highest it has seen.
  uint64_t fence = 0;
  /// Highest fence known to have been used at this worker by any entry.
  uint64_t highest_fence = 0;
  /// Consecutive attempts to acquire it that met a higher fence.
  uint32_t fence_conflicts = 0;
  /// The last attempt to acquire it got no reply.
  bool acquire_unanswered = false;
  /// No attempt to acquire or poll it before this time.
  instant retry;

  /// The worker's clock at `clock_read`, in milliseconds.
  int64_t clock_ms = 0;
  instant clock_read;
  /// Time by which all runs of this entry have ended if no further order
  /// arrives.
  instant lease_expiry;
  /// Time of the last reply of any kind.
  instant last_heard;
  bool poll_in_flight = false;
  instant poll_sent;
  std::chrono::milliseconds poll_wait{0};
  /// Polls without a reply since `last_heard`, and whether the worker's address
  /// refused a connection since then.
  uint32_t failed_polls = 0;
  bool refused = false;
  /// A poll failed, and no reply to a later one has said which process answers.
  bool process_unconfirmed = false;
  /// Until when it is known to have been alive: `last_heard`, or when its
  /// connection broke under a poll.
  instant last_alive;
  /// `lease_expiry` before and after the newest poll was ordered.
  instant lease_before_poll;
  instant lease_after_poll;
  /// Number of the newest poll; replies to earlier ones are ignored.
  uint64_t poll_number = 0;
  /// Number of the last ended run that was processed.
  uint64_t last_seen = 0;

  std::map<run_name, task_run> runs;
  resources used;
  /// Its last reply listed runs that are not in `runs`. What they use is not
  /// known, so nothing starts until they have been stopped.
  bool has_unknown_runs = false;
  /// The runs that were lost when it last fell silent.
  std::vector<silent_loss> lost_silently;
  /// Until then only tasks that need a worker of their own start on it.
  instant reserved_until;
  worker_health health;
  /// Its data centre was evacuated until lately: it gets one run at a time
  /// until one has succeeded.
  bool on_probation = false;
  /// No starts before this time, since a run on it is far slower than expected.
  instant suspect_until;
  /// No starts before this time, after it reported no capacity, refused one, or
  /// could not be sent one.
  instant no_starts_until;
  /// Ratio of actual to expected running times.
  double slowness = 1.0;
  /// Logarithm of that ratio, smoothed over many runs and over the last few;
  /// both begin at 0 (see speed_cmd.cc).
  double log_slowness = 0;
  double log_recent = 0;
  uint32_t samples = 0;
};

/// Whether this entry controls a worker or is acquiring it.
inline bool IsControlled(const worker& one) {
  return one.phase != control_phase::kNotControlled &&
         one.phase != control_phase::kProbing;
}

/// Outcome of a start order.
enum class start_outcome : uint8_t {
  kAccepted,
  /// Refused: not enough free capacity.
  kNoCapacity,
  /// Refused: the run number is not above that of an earlier run of the task.
  kStaleRun,
  /// Refused: the lease in the order had expired on arrival.
  kTooLate,
  /// Refused: the worker has seen a higher fence.
  kFenced,
  /// Refused by an unhealthy worker, or for another reason.
  kRefused,
  /// The worker has restarted since; the order was for its earlier process.
  kOtherIncarnation,
  /// The order was not sent.
  kNotSent,
  /// No reply: the order may be carried out now or later.
  kUnknown,
};

enum class stop_outcome : uint8_t { kAcknowledged, kFenced, kUnknown };

/// How a run ended at its worker.
enum class run_end : uint8_t { kDone, kFailed, kStopped, kLeaseExpired };

/// A run that a worker lists as running.
struct listed_run {
  run_name name;
  uint32_t percent = 0;
};

/// A run that a worker lists as ended.
struct listed_end {
  /// Sequence number; restarts with the worker.
  uint64_t number = 0;
  run_name name;
  run_end how = run_end::kDone;
};

enum class poll_outcome : uint8_t {
  kAnswered,
  kFenced,
  kOtherIncarnation,
  /// The poll was not sent: nothing listens at the worker's address.
  kRefused,
  /// The poll was not sent for another reason.
  kNotSent,
  /// No reply: the worker may have received the poll.
  kUnknown
};

inline bool IsUnanswered(poll_outcome outcome) {
  return outcome >= poll_outcome::kRefused;
}

/// A worker's reply to a poll.
struct poll_reply {
  poll_outcome outcome = poll_outcome::kUnknown;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  /// 0 if not reported.
  int64_t boot_time_ms = 0;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_WORKER_BASE_H_
