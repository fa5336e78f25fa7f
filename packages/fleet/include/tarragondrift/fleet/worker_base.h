// Workers as the platform lists them, and what their controller knows of them.
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

/// A worker as it describes itself in the platform's list.
struct worker_listing {
  std::string id;
  /// "IP:port".
  std::string address;
  std::string upstream;
  std::string data_centre;
  resources capacity;
  /// Its kind and its rack.
  std::vector<std::string> labels;
  bool draining = false;
  /// Start of its present life, in milliseconds of its own; 0 when not told.
  int64_t boot_time_ms = 0;
};

/// Who controls a worker, as this entry sees it.
enum class control_phase : uint8_t {
  kNotControlled,
  /// It did not answer before and is asked, without a claim, whether it is
  /// reached.
  kProbing,
  /// Our fence was sent; what runs there is being ended first.
  kAcquiring,
  kHeld,
  /// Nothing new is started; it is given up once nothing of ours runs there.
  kReleasing,
};

enum class run_phase : uint8_t {
  /// The start was sent and not answered.
  kOrdered,
  kRunning,
  /// A stop was sent and not acknowledged.
  kStopping,
  /// The stop was acknowledged; the end is about to be listed.
  kStopped,
};

/// One run that this entry ordered.
struct task_run {
  part_id owner;
  /// Index into the part's tasks.
  uint32_t task = 0;
  resources need;
  run_phase phase = run_phase::kOrdered;
  instant ordered;
  /// Running time expected when it was ordered.
  std::chrono::milliseconds expected{0};
  /// When the last order about it was sent.
  instant last_order;
  /// When the worker was first known to run it.
  instant confirmed;
  /// No lease reaches beyond this, so that it ends before its job runs again.
  instant lease_limit = instant::max();
  /// Part of the work that is done, as the worker told last.
  uint32_t percent = 0;
};

/// What a worker's runs say about its health.
struct worker_health {
  /// Runs in a row that failed or stood still.
  uint32_t consecutive_failures = 0;
  /// Gets nothing before this time.
  instant ejected_until;
  std::chrono::milliseconds ejection{0};
};

/// A worker at this entry.
struct worker {
  worker_listing listing;
  /// The platform no longer lists it since then; unset while it does.
  bool listed = true;
  instant unlisted;

  control_phase phase = control_phase::kNotControlled;
  uint64_t fence = 0;
  /// Highest fence that anyone is known to have used there.
  uint64_t highest_fence = 0;
  /// Attempts to acquire it that met a higher fence, in a row.
  uint32_t fence_conflicts = 0;
  /// The last attempt to acquire it was not answered.
  bool acquire_unanswered = false;
  /// No attempt to acquire it before this time.
  instant retry;

  /// The worker's clock at `clock_read`, in milliseconds.
  int64_t clock_ms = 0;
  instant clock_read;
  /// Whatever this entry started there has ended by then if no later order
  /// arrives.
  instant lease_expiry;
  /// Last reply of any kind.
  instant last_heard;
  bool poll_in_flight = false;
  instant poll_sent;
  /// Tells the reply to the newest hold from late ones.
  uint64_t poll_number = 0;
  uint64_t last_seen = 0;

  std::map<run_name, task_run> runs;
  resources used;
  worker_health health;
  /// Gets no start before this time, since it said that it is full or refused.
  instant no_starts_until;
  /// Running times here relative to the expected ones.
  double slowness = 1.0;
  /// The logarithm of that, smoothed over many runs and over the last few.
  double log_slowness = 0;
  double log_recent = 0;
  uint32_t samples = 0;
};

/// Tells whether this entry controls a worker, or is about to.
inline bool IsControlled(const worker& one) {
  return one.phase != control_phase::kNotControlled &&
         one.phase != control_phase::kProbing;
}

/// Replies to a start.
enum class start_outcome : uint8_t {
  kAccepted,
  /// Refused: no room.
  kNoCapacity,
  /// Refused: the run number is not above that of an earlier run there.
  kStaleRun,
  /// Refused: the lease that the order carried was over when it arrived.
  kTooLate,
  /// Refused: a higher fence was seen there.
  kFenced,
  /// Refused by a worker that is not well, or for another reason.
  kRefused,
  /// The worker is in another life than the one meant.
  kOtherIncarnation,
  /// Nothing was sent.
  kNotSent,
  /// No answer: it may be carried out now or later.
  kUnknown,
};

enum class stop_outcome : uint8_t { kAcknowledged, kFenced, kUnknown };

/// How a run ended at its worker.
enum class run_end : uint8_t { kDone, kFailed, kStopped, kLeaseExpired };

/// A run that is at a worker.
struct listed_run {
  run_name name;
  uint32_t percent = 0;
};

/// A run that has ended at a worker.
struct listed_end {
  /// Numbers the ends of one life of the worker.
  uint64_t number = 0;
  run_name name;
  run_end how = run_end::kDone;
};

enum class poll_outcome : uint8_t {
  kAnswered,
  kFenced,
  kOtherIncarnation,
  kUnknown
};

/// A worker's answer to a hold.
struct poll_reply {
  poll_outcome outcome = poll_outcome::kUnknown;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  /// 0 when not told.
  int64_t boot_time_ms = 0;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_WORKER_BASE_H_
