#include "tarragondrift/fleet/worker_cmd.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "tarragondrift/fleet/contact_cmd.h"
#include "tarragondrift/fleet/crash_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/lease_cmd.h"
#include "tarragondrift/fleet/ownership_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/progress_cmd.h"
#include "tarragondrift/fleet/speed_cmd.h"
#include "tarragondrift/fleet/step_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"
#include "tarragondrift/fleet/worker_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Number of fences in a generation. A fence is its generation times this
/// number, plus the entry's incarnation modulo this number, which keeps the
/// fences of different entries apart.
constexpr uint64_t kFencesPerGeneration = 4'096;
/// A worker that rejects a fence does not report the higher one that it has
/// seen. Each rejection doubles the number of generations that the next attempt
/// skips, at most this many times.
constexpr uint32_t kMaxFenceStepDoublings = 16;

/// Returns a fence above the highest known one that no other entry can choose.
uint64_t NextFence(const engine& state, const worker& one) {
  const uint64_t step =
      uint64_t{1} << std::min(one.fence_conflicts, kMaxFenceStepDoublings);
  const uint64_t generation = std::max(
      one.highest_fence / kFencesPerGeneration + step, state.self.incarnation);
  return generation * kFencesPerGeneration +
         state.self.incarnation % kFencesPerGeneration;
}

worker_target TargetFor(const worker& one) {
  return {.id = one.listing.id, .address = one.listing.address};
}

void LogReachability(engine& state, const worker& one, const char* event,
                     const char* cause, instant now) {
  log_line line(event);
  line.With("worker", one.listing.id)
      .With("cause", cause)
      .With("runs", static_cast<int64_t>(one.runs.size()))
      .With("silence_ms",
            std::chrono::floor<milliseconds>(now - one.last_heard).count());
  AddLogLine(state, line);
}

/// Records a poll that got no reply. Only the first one and the first refused
/// connection since the last reply are logged.
void RecordFailedPoll(engine& state, worker& one, poll_outcome outcome,
                      instant now) {
  const bool refused = outcome == poll_outcome::kRefused;
  if (one.failed_polls == 0 || (refused && !one.refused)) {
    const char* const cause = refused                             ? "refused"
                              : outcome == poll_outcome::kNotSent ? "not_sent"
                                                                  : "no_reply";
    LogReachability(state, one, "worker_unreachable", cause, now);
  }
  if (one.failed_polls == 0 && outcome == poll_outcome::kUnknown &&
      now - one.poll_sent < one.poll_wait + state.options.poll_timeout) {
    // No timeout: the connection broke, at the moment of a crash.
    one.last_alive = now;
  }
  ++one.failed_polls;
  one.process_unconfirmed = true;
  one.refused = one.refused || refused;
  const bool extended_since = one.lease_expiry != one.lease_after_poll;
  if (outcome != poll_outcome::kUnknown && !extended_since) {
    // A poll that was not sent did not extend the lease.
    one.lease_expiry = one.lease_before_poll;
  }
}

/// Records a reply and the worker's clock in it.
void RecordReply(engine& state, worker& one, int64_t clock_ms, instant now) {
  if (one.failed_polls > 0) {
    LogReachability(state, one, "worker_reachable", "reply", now);
  }
  one.failed_polls = 0;
  one.refused = false;
  one.lost_silently.clear();
  one.last_heard = now;
  one.last_alive = now;
  if (clock_ms > 0) {
    one.clock_ms = clock_ms;
    one.clock_read = now;
  }
}

bool IsUnlistedTooLong(const engine& state, const worker& one, instant now) {
  return !one.listed && now - one.unlisted >= state.options.unlisted_limit;
}

void SendPoll(engine& state, worker& one, milliseconds wait, instant now) {
  poll_order order{.target = TargetFor(one),
                   .number = ++one.poll_number,
                   .fence = one.fence,
                   .last_seen = one.last_seen,
                   .wait = wait};
  one.lease_before_poll = one.lease_expiry;
  if (one.phase != control_phase::kAcquiring &&
      one.phase != control_phase::kProbing) {
    order.lease_until_ms = ExtendLease(state, one, now);
  }
  one.lease_after_poll = one.lease_expiry;
  one.poll_in_flight = true;
  one.poll_sent = now;
  one.poll_wait = wait;
  state.out.emplace_back(std::move(order));
}

/// Copies the names of a worker's runs, for loops that add or remove runs.
std::vector<run_name> RunNames(const worker& one) {
  std::vector<run_name> names;
  for (const auto& [name, run] : one.runs) {
    names.push_back(name);
  }
  return names;
}

/// Records all runs of this entry at a worker as ended, without sending orders.
/// Must be called only when none of them can still be running there.
void EndAllRuns(engine& state, worker& one, instant now) {
  for (const run_name& name : RunNames(one)) {
    EndRun(state, one, name, run_end::kLeaseExpired, now);
  }
}

/// Changes the phase of a worker, and the lists of those that are held and
/// ticked.
void EnterPhase(engine& state, worker& one, control_phase phase) {
  if (phase != control_phase::kNotControlled) {
    state.ticked_workers[one.listing.id] = &one;
  }
  const auto at = std::lower_bound(
      state.held_workers.begin(), state.held_workers.end(), one.listing.id,
      [](const worker* other, const std::string& id) {
        return other->listing.id < id;
      });
  const bool is_listed = at != state.held_workers.end() && *at == &one;
  if (phase == control_phase::kHeld && !is_listed) {
    state.held_workers.insert(at, &one);
  } else if (phase != control_phase::kHeld && is_listed) {
    state.held_workers.erase(at);
  }
  one.phase = phase;
}

void SetPhase(engine& state, worker& one, control_phase phase,
              const char* event, const char* cause) {
  EnterPhase(state, one, phase);
  AnnounceChange(state, announcement::kToCandidates);
  log_line line(event);
  line.With("worker", one.listing.id)
      .With("fence", static_cast<int64_t>(one.fence))
      .With("runs", static_cast<int64_t>(one.runs.size()))
      .With("cause", cause);
  AddLogLine(state, line);
}

/// Ends this entry's control of a worker, or its attempt to acquire it.
void EndControl(engine& state, worker& one, const char* cause, instant now) {
  if (one.phase == control_phase::kNotControlled) {
    return;
  }
  ++state.counts.lost_by_cause[cause];
  one.poll_in_flight = false;
  ++one.poll_number;
  one.highest_fence = std::max(one.highest_fence, one.fence);
  one.retry = now + state.options.acquire_backoff;
  SetPhase(state, one, control_phase::kNotControlled, "worker_lost", cause);
}

/// Marks the runs that the restarted worker reports: it started them itself.
void MarkRunsAfterRestart(worker& one, const poll_reply& reply) {
  const auto mark = [&one](const run_name& name) {
    const auto at = one.runs.find(name);
    if (at != one.runs.end()) {
      at->second.after_restart = true;
    }
  };
  for (const listed_run& row : reply.running) {
    mark(row.name);
  }
  for (const listed_end& row : reply.ended) {
    mark(row.name);
  }
}

/// Handles a restart of a worker, which ends everything that ran before it.
void HandleWorkerRestart(engine& state, worker& one, int64_t boot_time_ms,
                         instant now) {
  log_line line("worker_restarted");
  line.With("worker", one.listing.id)
      .With("boot_time_ms", boot_time_ms)
      .With("previous", one.listing.boot_time_ms);
  AddLogLine(state, line);
  one.listing.boot_time_ms = boot_time_ms;
  one.last_seen = 0;
  one.clock_ms = 0;
  one.poll_in_flight = false;
  ++one.poll_number;
  one.health = {};
  RecordWorkerRestart(state, one, now);
  // It is unknown which orders arrived after the restart, so that their runs
  // may be running: every run gets a stop order.
  for (const run_name& name : RunNames(one)) {
    SendStop(state, one, name, now);
  }
  if (one.phase == control_phase::kHeld) {
    EnterPhase(state, one, control_phase::kAcquiring);
  }
}

bool IsClaimedByPeer(const engine& state, const std::string& id) {
  return std::any_of(
      state.peers.begin(), state.peers.end(), [&id](const auto& entry) {
        return !entry.second.silent && entry.second.claims.contains(id);
      });
}

/// Whether a peer neither sent a message nor acknowledged one since it became a
/// contact: its machine was removed, and its row is left.
bool IsPresumedGone(const engine& state, const peer& one, instant now) {
  return !one.ever_heard && one.last_acknowledged < one.contact_since &&
         now - one.contact_since >= state.options.first_acknowledgement_timeout;
}

/// Whether this entry has listened long enough to know which candidates are
/// live and what they control.
bool HasDiscoveredPeers(const engine& state, instant now) {
  const instant since = std::max(state.listening_since, state.candidate_since);
  bool all_heard = state.peers_listed && !state.peers.empty();
  bool any_awaited = false;
  for (const auto& [incarnation, one] : state.peers) {
    const bool has_gone = one.superseded || (one.withdrawn && one.silent);
    if (one.contact && one.candidate && !has_gone &&
        !IsPresumedGone(state, one, now)) {
      all_heard = all_heard && one.ever_heard && one.last_heard >= since;
      any_awaited = any_awaited || (!one.ever_heard &&
                                    now - one.contact_since <
                                        state.options.first_message_timeout);
    }
  }
  const milliseconds discovery_wait =
      all_heard && !IsOff(state.options.without, mechanism::kShortStartup)
          ? state.options.short_startup_wait
          : state.options.startup_wait;
  return !any_awaited && now - since >= discovery_wait;
}

std::vector<controller_candidate> ListCandidates(const engine& state) {
  std::vector<controller_candidate> found;
  if (!state.leaving && state.candidate) {
    found.push_back(MakeCandidate(state, state.self));
  }
  for (const auto& [incarnation, one] : state.peers) {
    if (IsUsable(one) && one.candidate) {
      found.push_back(MakeCandidate(state, one.identity));
    }
  }
  return found;
}

/// Tests whether a worker is reachable, with a fence that claims nothing.
void ProbeWorker(engine& state, worker& one, instant now) {
  EnterPhase(state, one, control_phase::kProbing);
  one.fence = 0;
  one.last_seen = 0;
  SendPoll(state, one, milliseconds{0}, now);
}

/// Returns the longest interval of heartbeats from other candidates.
milliseconds LongestCandidateInterval(const engine& state) {
  milliseconds longest = state.options.heartbeat_interval;
  for (const auto& [incarnation, one] : state.peers) {
    if (one.candidate) {
      longest = std::max(longest, one.heartbeat_interval);
    }
  }
  return longest;
}

/// Handles the result of a probe. A worker that is reachable again may have a
/// controller behind a network partition that has just healed, so the next
/// attempt to acquire it waits for that controller's heartbeats.
void EndProbe(engine& state, worker& one, bool reached, instant now) {
  EnterPhase(state, one, control_phase::kNotControlled);
  one.acquire_unanswered = !reached;
  const milliseconds partition_heal_wait = state.options.partition_heal_wait +
                                           LongestCandidateInterval(state) -
                                           state.options.heartbeat_interval;
  one.retry =
      now + (reached ? partition_heal_wait : state.options.unanswered_backoff);
  log_line line("worker_probed");
  line.With("worker", one.listing.id).With("reached", reached ? "yes" : "no");
  AddLogLine(state, line);
}

void AcquireWorker(engine& state, worker& one, instant now) {
  one.fence = NextFence(state, one);
  one.clock_ms = 0;
  one.last_seen = 0;
  SetPhase(state, one, control_phase::kAcquiring, "worker_acquiring",
           "assigned");
  SendPoll(state, one, milliseconds{0}, now);
}

/// Advances a worker's control phase towards the entry assigned to it.
/// @param release_budget how many more workers may begin a handover.
void ControlWorker(engine& state, worker& one, bool assigned_here,
                   bool assigned_to_peer, size_t& release_budget, instant now) {
  switch (one.phase) {
    case control_phase::kNotControlled:
      if (assigned_here && !state.isolation.holds && one.listed &&
          now >= one.retry && now >= one.lease_expiry &&
          !IsClaimedByPeer(state, one.listing.id)) {
        if (one.acquire_unanswered) {
          ProbeWorker(state, one, now);
        } else {
          AcquireWorker(state, one, now);
        }
      }
      return;
    case control_phase::kProbing:
      return;
    case control_phase::kAcquiring:
      if (!assigned_here) {
        EndControl(state, one, "assigned_elsewhere", now);
      }
      return;
    case control_phase::kHeld:
      if (!assigned_here && assigned_to_peer && release_budget > 0) {
        --release_budget;
        SetPhase(state, one, control_phase::kReleasing, "worker_releasing",
                 "assigned_elsewhere");
      }
      return;
    case control_phase::kReleasing:
      if (assigned_here) {
        SetPhase(state, one, control_phase::kHeld, "worker_held",
                 "assigned_back");
      } else if (one.runs.empty()) {
        EndControl(state, one, "handed_over", now);
      }
      return;
  }
}

/// Returns how many more workers may begin a handover.
size_t ReleaseBudget(const engine& state) {
  const size_t held = state.held_workers.size();
  const auto releasing = static_cast<size_t>(
      std::count_if(state.ticked_workers.begin(), state.ticked_workers.end(),
                    [](const auto& entry) {
                      return entry.second->phase == control_phase::kReleasing;
                    }));
  const size_t max_releasing =
      (held + releasing + state.options.release_divisor - 1) /
      state.options.release_divisor;
  return max_releasing > releasing ? max_releasing - releasing : 0;
}

void ProcessEndedRuns(engine& state, worker& one, const poll_reply& reply,
                      instant now) {
  for (const listed_end& end : reply.ended) {
    if (end.number > one.last_seen) {
      one.last_seen = end.number;
      EndRun(state, one, end.name, end.how, now);
    }
  }
}

/// Logs a run that this entry did not order and stops; the first time only, as
/// the worker lists it until it has ended.
void LogUnknownRun(engine& state, const worker& one, const run_name& name) {
  log_line line("unknown_run_stopped");
  line.With("worker", one.listing.id)
      .With("job", name.task.job)
      .With("step", static_cast<int64_t>(name.task.step))
      .With("index", static_cast<int64_t>(name.task.index))
      .With("run", static_cast<int64_t>(name.run))
      .With("fence", static_cast<int64_t>(one.fence))
      .With("cause", one.phase == control_phase::kAcquiring
                         ? "earlier_controller"
                         : "late_order");
  AddLogLine(state, line);
}

/// Reconciles the runs that a worker lists with those ordered there: stops
/// unknown ones and ends those that have vanished.
void ReconcileRuns(engine& state, worker& one, const poll_reply& reply,
                   instant now) {
  std::set<run_name> listed;
  const bool had_unknown_runs = std::exchange(one.has_unknown_runs, false);
  for (const listed_run& row : reply.running) {
    listed.insert(row.name);
    const auto at = one.runs.find(row.name);
    if (at == one.runs.end()) {
      // Left by an earlier controller, or started by a delayed order.
      one.has_unknown_runs = true;
      if (!had_unknown_runs) {
        LogUnknownRun(state, one, row.name);
      }
      state.out.emplace_back(stop_order{
          .target = TargetFor(one), .name = row.name, .fence = one.fence});
      continue;
    }
    task_run& run = at->second;
    if (run.phase == run_phase::kOrdered) {
      run.phase = run_phase::kRunning;
      run.confirmed = now;
      run.progressed = now;
    }
    if (run.percent != row.percent) {
      run.progressed = now;
      const part* const owner = state.parts.Find(run.owner);
      if (owner != nullptr) {
        state.queues_with_progress.insert(owner->queue);
      }
    }
    run.percent = row.percent;
    run.reported = now;
  }
  std::vector<run_name> vanished;
  for (const auto& [name, run] : one.runs) {
    if (run.phase == run_phase::kRunning && run.confirmed < one.poll_sent &&
        !listed.contains(name)) {
      vanished.push_back(name);
    }
  }
  for (const run_name& name : vanished) {
    log_line line("run_vanished");
    line.With("worker", one.listing.id)
        .With("job", name.task.job)
        .With("index", static_cast<int64_t>(name.task.index));
    AddLogLine(state, line, true);
    EndRun(state, one, name, run_end::kLeaseExpired, now);
  }
}

/// Completes the acquisition of a worker once no runs of earlier controllers
/// are left.
void ContinueAcquiring(engine& state, worker& one, const poll_reply& reply) {
  if (!reply.running.empty()) {
    return;
  }
  ++state.counts.acquired;
  one.fence_conflicts = 0;
  one.highest_fence = one.fence;
  ResetSpeed(one);
  SetPhase(state, one, control_phase::kHeld, "worker_held", "acquired");
  state.dispatch_due = true;
}

/// Handles a reply from a worker that has restarted or has seen a higher fence.
/// @return whether the reply was such a rejection.
bool HandleRejection(engine& state, worker& one, bool fenced,
                     bool other_incarnation, instant now) {
  if (fenced) {
    one.highest_fence = std::max(one.highest_fence, one.fence);
    one.fence_conflicts =
        std::min(one.fence_conflicts + 1, kMaxFenceStepDoublings);
    EndControl(state, one, "fenced", now);
    return true;
  }
  if (other_incarnation) {
    RecordWorkerRestart(state, one, now);
    EndAllRuns(state, one, now);
    EndControl(state, one, "other_life", now);
    return true;
  }
  return false;
}

void LogRunEvent(engine& state, const char* event, const worker& one,
                 const run_name& name, const char* outcome) {
  log_line line(event);
  line.With("job", name.task.job)
      .With("step", static_cast<int64_t>(name.task.step))
      .With("index", static_cast<int64_t>(name.task.index))
      .With("run", static_cast<int64_t>(name.run))
      .With("worker", one.listing.id)
      .With("outcome", outcome);
  AddLogLine(state, line);
}

/// Ends stopped runs that the worker does not list as ended, and resends stop
/// orders that were not acknowledged.
void ResolveStops(engine& state, worker& one, instant now) {
  // A run that never started is not listed as ended either.
  const auto listing_limit =
      state.options.max_stop_time + state.options.poll_timeout;
  std::vector<run_name> finished;
  std::vector<run_name> unacknowledged;
  for (const auto& [name, run] : one.runs) {
    if (run.phase == run_phase::kStopped &&
        now - run.last_order > listing_limit) {
      finished.push_back(name);
    } else if (run.phase == run_phase::kStopping &&
               now - run.last_order > 2 * state.options.order_timeout) {
      unacknowledged.push_back(name);
    }
  }
  for (const run_name& name : finished) {
    EndRun(state, one, name, run_end::kStopped, now);
  }
  for (const run_name& name : unacknowledged) {
    SendStop(state, one, name, now);
  }
}

}  // namespace

void UpdateWorkerListing(engine& state, const worker_listing& listing,
                         instant now) {
  const auto at = state.workers.find(listing.id);
  if (at != state.workers.end() && listing.boot_time_ms == 0 &&
      at->second.listing.boot_time_ms != 0) {
    // A worker that tells its boot time does so in its row as well.
    DistrustWorkerListing(state, listing.id, now);
    return;
  }
  worker& one = state.workers[listing.id];
  const bool known = !one.listing.id.empty();
  const bool was_draining = one.listing.draining;
  const int64_t boot_time_ms = one.listing.boot_time_ms;
  const bool moved = known && one.listing.address != listing.address;
  if (one.listing.data_centre != listing.data_centre) {
    one.assigned.reset();
  }
  // The row lags behind the worker's own replies, so it may name an earlier
  // process.
  const bool restarted =
      known && boot_time_ms != 0 && listing.boot_time_ms > boot_time_ms;
  one.listing = listing;
  one.described_boot_time_ms = listing.boot_time_ms;
  one.listed = true;
  one.has_odd_row = false;
  one.told_by_peer = false;
  if (known && boot_time_ms != 0) {
    one.listing.boot_time_ms = boot_time_ms;
  }
  if (moved || restarted) {
    HandleWorkerRestart(state, one, listing.boot_time_ms, now);
  }
  if (!known || was_draining != listing.draining) {
    log_line line("worker_listed");
    line.With("worker", listing.id)
        .With("data_centre", listing.data_centre)
        .With("cpu_milli", static_cast<int64_t>(listing.capacity.cpu_milli))
        .With("state", listing.draining ? "draining" : "ready");
    AddLogLine(state, line);
  }
  state.dispatch_due = true;
}

void DistrustWorkerListing(engine& state, const std::string& id, instant now) {
  const auto at = state.workers.find(id);
  if (at != state.workers.end() &&
      !std::exchange(at->second.has_odd_row, true)) {
    ++state.counts.workers_distrusted;
    log_line line("worker_distrusted");
    line.With("worker", id)
        .With("runs", static_cast<int64_t>(at->second.runs.size()))
        .With("boot_time_ms", at->second.listing.boot_time_ms);
    AddLogLine(state, line, true);
  }
  RemoveWorkerListing(state, id, now);
}

void RemoveWorkerListing(engine& state, const std::string& id, instant now) {
  const auto at = state.workers.find(id);
  if (at == state.workers.end() || !at->second.listed) {
    return;
  }
  at->second.listed = false;
  at->second.unlisted = now;
  state.ticked_workers[id] = &at->second;
  log_line line("worker_unlisted");
  line.With("worker", id);
  AddLogLine(state, line);
}

void SendStart(engine& state, worker& destination, part_id owner, uint32_t task,
               instant now) {
  part& owning_part = state.parts.Get(owner);
  fleet::task& placed_task = owning_part.tasks[task];
  const step_spec& step = owning_part.job.steps[placed_task.step];
  SetTaskPhase(owning_part, placed_task, task_phase::kPlaced);
  placed_task.worker = destination.listing.id;
  ++placed_task.run;
  const run_name name{.task = {.job = owning_part.job.id,
                               .step = placed_task.step,
                               .index = placed_task.index},
                      .run = placed_task.run};
  destination.runs[name] = {
      .owner = owner,
      .task = task,
      .need = step.need,
      .ordered = now,
      .expected =
          ExpectedRuntime(state.runtimes, owning_part.queue, step.estimate),
      .last_order = now,
      .alone = placed_task.alone};
  destination.used = destination.used + step.need;
  const std::optional<int64_t> lease = ExtendLease(state, destination, now);
  if (lease) {
    // If the poll in flight turns out not to have been sent, this lease stays.
    destination.lease_before_poll = destination.lease_expiry;
  }
  ++state.counts.starts;
  log_line line("task_start");
  line.With("job", name.task.job)
      .With("origin", static_cast<int64_t>(owning_part.origin))
      .With("request", static_cast<int64_t>(owning_part.request))
      .With("step", static_cast<int64_t>(name.task.step))
      .With("index", static_cast<int64_t>(name.task.index))
      .With("run", static_cast<int64_t>(name.run))
      .With("worker", destination.listing.id)
      .With("expected_ms", destination.runs[name].expected.count())
      .With("slowness_pct", static_cast<int64_t>(destination.slowness * 100))
      .With("free_milli",
            static_cast<int64_t>(destination.listing.capacity.cpu_milli -
                                 destination.used.cpu_milli))
      .With(
          "age_ms",
          std::chrono::floor<milliseconds>(now - owning_part.arrived).count());
  AddLogLine(state, line);
  state.out.emplace_back(start_order{
      .target = TargetFor(destination),
      .name = name,
      .payload = owning_part.job.payload,
      .lease_until_ms = lease.value_or(EstimateWorkerClock(destination, now)),
      .fence = destination.fence});
}

void SendStop(engine& state, worker& destination, const run_name& name,
              instant now) {
  const auto found = destination.runs.find(name);
  if (found == destination.runs.end()) {
    return;
  }
  found->second.phase = run_phase::kStopping;
  found->second.last_order = now;
  state.out.emplace_back(stop_order{.target = TargetFor(destination),
                                    .name = name,
                                    .fence = destination.fence});
}

void StopForGood(engine& state, worker& destination, const run_name& name,
                 instant now) {
  const auto found = destination.runs.find(name);
  if (found != destination.runs.end()) {
    found->second.lease_limit =
        std::min(found->second.lease_limit, now + state.options.orphan_limit);
  }
  SendStop(state, destination, name, now);
}

void OnStartReply(engine& state, const std::string& id, const run_name& name,
                  start_outcome outcome, int64_t clock_ms, instant now) {
  const auto at = state.workers.find(id);
  if (at == state.workers.end()) {
    return;
  }
  worker& one = at->second;
  if (outcome != start_outcome::kUnknown &&
      outcome != start_outcome::kNotSent) {
    RecordReply(state, one, clock_ms, now);
  }
  const auto found = one.runs.find(name);
  if (found == one.runs.end()) {
    return;
  }
  task_run& run = found->second;
  part* const owner = state.parts.Find(run.owner);
  switch (outcome) {
    case start_outcome::kAccepted:
      if (owner != nullptr) {
        owner->started = true;
      }
      if (run.phase == run_phase::kOrdered) {
        run.phase = run_phase::kRunning;
        run.confirmed = now;
        run.progressed = now;
      }
      return;
    case start_outcome::kUnknown:
      ++state.counts.starts_unknown;
      if (owner != nullptr) {
        owner->started = true;
      }
      if (run.phase == run_phase::kOrdered) {
        LogRunEvent(state, "start_unanswered", one, name, "stopping");
        SendStop(state, one, name, now);
      }
      return;
    case start_outcome::kFenced:
      HandleRejection(state, one, true, false, now);
      RequeueRun(state, one, name, now);
      return;
    case start_outcome::kOtherIncarnation:
      // This run never began, so the restart does not count against its task.
      RequeueRun(state, one, name, now);
      HandleRejection(state, one, false, true, now);
      return;
    case start_outcome::kNoCapacity:
      one.no_starts_until = now + state.options.full_backoff;
      break;
    case start_outcome::kStaleRun:
    case start_outcome::kTooLate:
      break;
    case start_outcome::kRefused:
    case start_outcome::kNotSent:
      one.no_starts_until = now + state.options.acquire_backoff;
      break;
  }
  ++state.counts.starts_refused;
  constexpr std::array<const char*, 9> kNames{
      "accepted", "no_room",    "old_run",  "too_late", "fenced",
      "refused",  "other_life", "not_sent", "unknown"};
  LogRunEvent(state, "start_refused", one, name,
              kNames[static_cast<size_t>(outcome)]);
  RequeueRun(state, one, name, now);
}

void OnStopReply(engine& state, const std::string& id, const run_name& name,
                 stop_outcome outcome, int64_t clock_ms, instant now) {
  const auto at = state.workers.find(id);
  if (at == state.workers.end()) {
    return;
  }
  worker& one = at->second;
  const auto found = one.runs.find(name);
  switch (outcome) {
    case stop_outcome::kAcknowledged:
      RecordReply(state, one, clock_ms, now);
      if (found != one.runs.end() &&
          found->second.phase == run_phase::kStopping) {
        found->second.phase = run_phase::kStopped;
        found->second.last_order = now;
      }
      return;
    case stop_outcome::kFenced:
      HandleRejection(state, one, true, false, now);
      return;
    case stop_outcome::kUnknown:
      // TickWorkers resends the stop order.
      return;
  }
}

void OnPollReply(engine& state, const std::string& id, uint64_t number,
                 const poll_reply& reply, int64_t clock_ms, instant now) {
  const auto at = state.workers.find(id);
  if (at == state.workers.end() || at->second.poll_number != number) {
    return;
  }
  worker& one = at->second;
  one.poll_in_flight = false;
  if (one.phase == control_phase::kProbing) {
    EndProbe(state, one, !IsUnanswered(reply.outcome), now);
    return;
  }
  if (IsUnanswered(reply.outcome)) {
    RecordFailedPoll(state, one, reply.outcome, now);
    if (one.phase == control_phase::kAcquiring) {
      EndControl(state, one, "unanswered", now);
      one.acquire_unanswered = true;
      one.retry = now + state.options.unanswered_backoff;
    } else {
      one.retry = now + state.options.full_backoff;
    }
    return;
  }
  if (HandleRejection(state, one, reply.outcome == poll_outcome::kFenced,
                      reply.outcome == poll_outcome::kOtherIncarnation, now)) {
    return;
  }
  if (reply.boot_time_ms != 0 && one.listing.boot_time_ms != 0 &&
      reply.boot_time_ms != one.listing.boot_time_ms) {
    MarkRunsAfterRestart(one, reply);
    HandleWorkerRestart(state, one, reply.boot_time_ms, now);
  }
  if (one.listing.boot_time_ms == 0) {
    // What describes it is not known to be of this process.
    one.listing.boot_time_ms = reply.boot_time_ms;
  }
  RecordReply(state, one, clock_ms, now);
  one.process_unconfirmed = false;
  ProcessEndedRuns(state, one, reply, now);
  ReconcileRuns(state, one, reply, now);
  CheckProgress(state, one, now);
  if (one.phase == control_phase::kAcquiring) {
    ContinueAcquiring(state, one, reply);
  }
  if (one.phase != control_phase::kNotControlled) {
    // While runs of earlier controllers are being stopped, the worker is polled
    // again soon.
    SendPoll(state, one,
             one.phase == control_phase::kAcquiring
                 ? state.options.max_stop_time
                 : state.options.poll_wait,
             now);
  }
}

void ControlWorkers(engine& state, instant now) {
  if (!KnowsWorkers(state) || !NeedsWorkerList(state) ||
      !HasDiscoveredPeers(state, now)) {
    return;
  }
  UpdateIsolation(state, now);
  const std::vector<controller_candidate> candidates = ListCandidates(state);
  std::map<std::string, size_t> worker_counts;
  for (const auto& [id, one] : state.workers) {
    worker_counts[one.listing.data_centre] += one.listed ? 1 : 0;
  }
  std::map<std::string, std::vector<controller_candidate>> controllers;
  for (const auto& [data_centre, count] : worker_counts) {
    controllers[data_centre] =
        ChooseControllers(candidates, data_centre, count);
  }
  const bool same_controllers = controllers == state.controllers;
  state.controllers = std::move(controllers);
  size_t release_budget = ReleaseBudget(state);
  for (auto& [id, one] : state.workers) {
    if (!same_controllers || !one.assigned) {
      const controller_candidate* const chosen =
          ChooseController(state.controllers[one.listing.data_centre], id);
      one.assigned = chosen == nullptr ? 0 : chosen->incarnation;
    }
    const bool assigned_here = *one.assigned == state.self.incarnation;
    ControlWorker(state, one, assigned_here,
                  *one.assigned != 0 && !assigned_here, release_budget, now);
  }
}

void TickWorkers(engine& state, instant now) {
  CountSuspects(state, now);
  for (auto at = state.ticked_workers.begin();
       at != state.ticked_workers.end();) {
    worker& one = *at->second;
    if (!one.runs.empty() && now >= one.lease_expiry) {
      log_line line("leases_expired");
      line.With("worker", one.listing.id)
          .With("runs", static_cast<int64_t>(one.runs.size()))
          .With("silence_ms",
                std::chrono::floor<milliseconds>(now - one.last_heard).count());
      AddLogLine(state, line, true);
      // Leases also expire when this entry was paused.
      if (one.failed_polls > 0) {
        RecordWorkerLoss(
            state, one,
            one.refused ? loss_evidence::kRefused : loss_evidence::kSilent,
            now);
      }
      EndAllRuns(state, one, now);
    }
    if (IsControlled(one)) {
      ResolveStops(state, one, now);
      StopStalledRuns(state, one, now);
      if (!one.poll_in_flight && now >= one.retry) {
        SendPoll(state, one, milliseconds{0}, now);
      }
    }
    if (IsUnlistedTooLong(state, one, now) && one.runs.empty()) {
      EndControl(state, one, "gone", now);
      state.workers.erase(at->first);
      at = state.ticked_workers.erase(at);
    } else if (one.phase == control_phase::kNotControlled && one.listed &&
               one.runs.empty()) {
      at = state.ticked_workers.erase(at);
    } else {
      ++at;
    }
  }
}

}  // namespace tarragondrift::fleet
