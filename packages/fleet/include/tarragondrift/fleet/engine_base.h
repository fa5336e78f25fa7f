// The state of an entry, and the actions that it requests from its host
// process.
#ifndef TARRAGONDRIFT_FLEET_ENGINE_BASE_H_
#define TARRAGONDRIFT_FLEET_ENGINE_BASE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "tarragondrift/core/pool.h"
#include "tarragondrift/core/result_code.h"
#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/admission_share_base.h"
#include "tarragondrift/fleet/claim_base.h"
#include "tarragondrift/fleet/crash_base.h"
#include "tarragondrift/fleet/evacuation_base.h"
#include "tarragondrift/fleet/fleet_options_base.h"
#include "tarragondrift/fleet/job_base.h"
#include "tarragondrift/fleet/ownership_cmd.h"
#include "tarragondrift/fleet/peer_base.h"
#include "tarragondrift/fleet/queue_config_base.h"
#include "tarragondrift/fleet/resubmission_cmd.h"
#include "tarragondrift/fleet/runtime_base.h"
#include "tarragondrift/fleet/speed_base.h"
#include "tarragondrift/fleet/witness_base.h"
#include "tarragondrift/fleet/worker_base.h"

namespace tarragondrift::fleet {

/// Id and address of a worker.
struct worker_target {
  std::string id;
  std::string address;
};

/// Orders a worker to start a run.
struct start_order {
  worker_target target;
  run_name name;
  std::string payload;
  int64_t lease_until_ms = 0;
  uint64_t fence = 0;
};

/// Orders a worker to stop a run.
struct stop_order {
  worker_target target;
  run_name name;
  uint64_t fence = 0;
};

/// Renews the lease of all runs at a worker and waits for ended runs.
struct poll_order {
  worker_target target;
  uint64_t number = 0;
  uint64_t fence = 0;
  /// Ended runs up to this number have been processed.
  uint64_t last_seen = 0;
  /// Unset if the lease is not renewed, for example while the worker's clock is
  /// not known.
  std::optional<int64_t> lease_until_ms;
  std::chrono::milliseconds wait{0};
};

/// Answers a caller; `request` is the number given with the submission.
struct caller_answer {
  uint64_t request = 0;
  result_code code = result_code::kOk;
  std::chrono::milliseconds retry_after{0};
};

/// Sends an envelope; the outcome is reported through OnDelivery.
struct peer_send {
  std::string address;
  envelope content;
};

/// Writes a log line: "event=NAME key=value ...".
struct log_action {
  bool warning = false;
  std::string line;
};

/// Makes the row of a claim in the store unless there is one; the outcome is
/// reported through OnClaimRow.
struct claim_row_write {
  std::string job;
  job_attempt attempt;
  /// Time after which the row is of no use.
  std::chrono::milliseconds valid_for{0};
};

/// Removes the row of a claim, if the claim still has it.
struct claim_row_removal {
  std::string job;
  job_attempt attempt;
};

/// Replaces the list of witnesses in the store if its row still has the version
/// of `list`.
struct witness_list_write {
  witness_list list;
};

using action = std::variant<start_order, stop_order, poll_order, caller_answer,
                            peer_send, log_action, claim_row_write,
                            claim_row_removal, witness_list_write>;

enum class job_part_phase : uint8_t { kOffered, kDone, kRefused, kCancelled };

/// A part of a job, as seen by the job's origin.
struct job_part {
  uint64_t controller = 0;
  uint32_t first = 0;
  uint32_t count = 0;
  job_part_phase phase = job_part_phase::kOffered;
  bool started = false;
  uint32_t offers = 1;
  /// Controllers that returned these tasks or refused them afterwards; they are
  /// not offered them again. Empty if the tasks were never returned.
  std::vector<uint64_t> declined_by;
};

/// When the parts of a caller's request arrived at this entry, for the log.
struct request_times {
  instant connected;
  instant begun;
  instant received;
};

/// A job with a waiting caller.
struct caller_job {
  uint64_t request = 0;
  std::string queue;
  job_spec spec;
  instant arrived;
  instant accepted;
  instant objective;
  instant deadline;
  /// The latest start that still meets the objective, and the one from which on
  /// its answer is of no use.
  instant latest_start;
  instant useful_until;
  std::chrono::milliseconds caller_timeout{0};
  request_times times;
  std::vector<job_part> parts;
  /// Set once the job cannot succeed; the answer is delayed only until it is
  /// known whether a task was started.
  std::optional<result_code> failure_code;
  std::chrono::milliseconds retry_after{0};
  instant failed_at;
  /// What it counts for in the shares.
  share_job share;
  /// Incarnations of the entries that were asked for its claim or told of it,
  /// and the claim's number.
  std::vector<uint64_t> witnesses;
  uint64_t claim_number = 0;
};

/// A job as it arrives from a caller.
struct job_arrival {
  /// Number of the caller's request, returned with the answer.
  uint64_t request = 0;
  std::string queue;
  job_spec spec;
  /// Timeout given by the caller; 0 if it gave none.
  std::chrono::milliseconds caller_timeout{0};
  request_times times;
};

/// A job that waits for capacity at its origin.
struct held_job {
  job_arrival arrival;
  instant arrived;
  /// Latest start that still meets the objective.
  instant latest_start;
  /// When an answer is of no more use to its caller if it has not started.
  instant useful_until;
  /// Number of its tasks.
  uint32_t tasks = 0;
};

/// A job whose origin waits for its claim.
struct claiming_job {
  job_arrival arrival;
  instant arrived;
  claim_inquiry inquiry;
};

/// Sort key of a queued task; lower keys are placed first.
struct queue_key {
  /// Tasks that can be on time go before tasks that are late anyway.
  bool late = false;
  /// Latest start that still meets the objective.
  instant latest_start;
  part_id part;
  uint32_t task = 0;

  auto operator<=>(const queue_key&) const = default;
};

/// Counters for the metrics endpoint.
struct engine_counts {
  uint64_t jobs = 0;
  /// Accepted jobs whose callers had waited before, by their timeouts.
  uint64_t resubmissions = 0;
  uint64_t starts = 0;
  uint64_t starts_refused = 0;
  uint64_t starts_unknown = 0;
  uint64_t ends_done = 0;
  uint64_t ends_failed = 0;
  uint64_t ends_other = 0;
  uint64_t stalls = 0;
  uint64_t acquired = 0;
  /// Times at which this entry became isolated.
  uint64_t isolations = 0;
  /// Ends of the control of a worker, by cause.
  std::map<std::string, uint64_t> lost_by_cause;
  /// Workers that were lost while they had runs, and those runs.
  uint64_t workers_lost_with_runs = 0;
  uint64_t runs_lost = 0;
  /// Offers taken back from peers that did not respond.
  uint64_t offers_withdrawn = 0;
  /// Offers refused since they were handled long after they had been sent.
  uint64_t offers_too_old = 0;
  /// Submissions that were refused since another one of their job exists;
  /// claims that a witness or relay did not answer in time; rows requested in
  /// place of such answers; submissions that were refused as too few answered;
  /// claims that this entry did not decide after its start; repeated ones that
  /// controllers were told of, and those that were refused since a controller
  /// could not be told; parts that were stopped for a later submission.
  uint64_t claims_refused = 0;
  uint64_t claims_unanswered = 0;
  uint64_t claim_rows = 0;
  uint64_t claims_unproven = 0;
  uint64_t claims_abstained = 0;
  uint64_t claim_rounds = 0;
  uint64_t claims_unprovable = 0;
  uint64_t parts_superseded = 0;
  /// Seats of the list of witnesses that this entry got from another one, whose
  /// claims it was told, and that it gave to another one.
  uint64_t seats_taken = 0;
  uint64_t seats_told = 0;
  uint64_t seats_given = 0;
  /// Rows in a worker's place that name no worker.
  uint64_t workers_distrusted = 0;
  /// Queued tasks returned to their origins, since no worker is left for them
  /// here, or since they would wait for too long.
  uint64_t tasks_returned_no_worker = 0;
  uint64_t tasks_returned_wait = 0;
  /// Tasks offered to another controller after one refused or returned them.
  uint64_t tasks_moved = 0;
  /// Returns that did not match a part of a job here.
  uint64_t returns_ignored = 0;
  /// Tasks that were given up because they crash workers.
  uint64_t tasks_given_up = 0;
  std::map<result_code, uint64_t> answers;
  /// Envelopes sent to peers, and the messages in them by kind.
  uint64_t envelopes_sent = 0;
  std::array<uint64_t, std::variant_size_v<peer_message>> messages_sent{};
};

/// Whom this entry tells of a change of its own at once.
enum class announcement : uint8_t {
  kNone,
  /// A change of control, which concerns those that may control workers.
  kToCandidates,
  kToAllContacts,
};

/// Whether an entry has lost touch with most witnesses; see UpdateIsolation.
struct isolation_state {
  /// This process has heard most witnesses, so that it may have jobs that they
  /// have granted.
  bool heard_most = false;
  /// Since when it does not hear them.
  std::optional<instant> since;
  /// It acquires no workers.
  bool holds = false;
};

/// The whole state of an entry. Only commands change it; they get the time as
/// an argument.
struct engine {
  engine() = default;
  // `held_workers` and `ticked_workers` point into `workers`.
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;
  engine(engine&&) = default;
  engine& operator=(engine&&) = default;
  ~engine() = default;

  fleet_options options;
  entry_identity self;
  /// When the process started.
  instant started;
  /// Since when this entry has been listening for peers without interruption:
  /// since its start or the last pause of its process.
  instant listening_since;
  bool leaving = false;
  /// During a planned stop, the time by which all jobs are answered.
  instant leave_by = instant::max();
  std::shared_ptr<const fleet_config> config;
  /// The configuration in the operator's format, for peers with an older one.
  std::string config_text;

  evacuation_table evacuations;
  std::map<std::string, worker> workers;
  /// Those that this entry holds, by id. It may hold few of those listed.
  std::vector<worker*> held_workers;
  /// Those that TickWorkers looks at, by id: all that this entry controls or
  /// probes, that have runs, or that were removed from the list.
  std::map<std::string, worker*> ticked_workers;
  isolation_state isolation;
  /// Controllers by data centre, for which `worker::assigned` is valid.
  std::map<std::string, std::vector<controller_candidate>> controllers;
  std::map<uint64_t, peer> peers;
  /// The list of entries was read since this process started.
  bool peers_listed = false;
  /// This entry controls workers or is next in line for it. Always true in a
  /// small fleet.
  bool candidate = true;
  /// When it last became a candidate.
  instant candidate_since;
  /// Number of candidates, this entry included, and of contacts when contacts
  /// were last chosen, and when they are due to be chosen again.
  size_t candidates = 0;
  size_t contacts = 0;
  instant next_contact_choice;
  /// The list of workers is complete and up to date. It is followed only while
  /// NeedsWorkerList holds.
  bool workers_listed = true;
  /// Since when the list is needed and not there, and whether peers are asked
  /// for the workers that they control.
  std::optional<instant> workers_missing_since;
  bool requests_workers = false;
  /// A peer has told which workers it controls since then.
  bool workers_told = false;

  /// Parts of which this entry is the controller.
  pool<part, part_id> parts;
  std::map<std::pair<uint64_t, part_ref>, part_id> part_index;
  std::unordered_multimap<std::string, part_id> parts_by_job;
  std::set<queue_key> queue;
  crash_table crashes;
  runtime_table runtimes;
  /// Queues whose runs were seen to report progress. The others' runs are not
  /// judged by it.
  std::set<std::string> queues_with_progress;
  speed_table speeds;
  /// Smoothed CPU need of the tasks placed by this entry, for load reports.
  double mean_cpu_milli = 0;

  /// Jobs submitted to this entry whose callers wait for the answer.
  std::map<uint64_t, caller_job> jobs;
  /// Jobs that arrived before this entry knew of any capacity, by request.
  std::map<uint64_t, held_job> held_jobs;
  /// Jobs that wait for their claims, by number of the claim.
  std::map<uint64_t, claiming_job> claiming_jobs;
  /// Claims that are relayed.
  std::map<job_attempt, relayed_claim> relayed_claims;
  uint64_t last_claim = 0;
  /// Rows of claims that this entry has requested.
  std::map<job_attempt, claim_row> claim_rows;
  /// Since when the store has not answered requests for rows; unset while it
  /// does.
  std::optional<instant> rows_unanswered_since;
  instant rows_unanswered_last;
  instant next_store_probe;
  witness_table witnesses;
  /// By then the claims have ended that its peers knew of when this process met
  /// them, and those of them that a peer which has been restarted did not tell.
  instant known_claims_end;
  instant untold_claims_end;
  /// What this entry knows of claims as a witness and as a controller, by job.
  std::unordered_map<std::string, claim_record> job_claims;
  std::unordered_map<std::string, claim_round> claim_rounds;
  std::vector<unconfirmed_claim> unconfirmed_claims;
  /// The witnesses and relays that could be heard when running claims were last
  /// told.
  std::vector<uint64_t> told_witnesses;
  instant next_claim_check;
  /// When it last heard a peer after it had heard none.
  instant rejoined;
  /// When a silent peer first acknowledged an envelope again after one was
  /// lost; unset from the time at which a peer falls silent.
  std::optional<instant> reconnected;
  /// By then the runs of controllers that have been restarted have ended.
  instant lost_runs_end;
  uint64_t last_job = 0;
  std::unordered_map<std::string, uint64_t> job_by_id;
  std::map<std::string, instant> cancelled;
  /// Demand of the callers of this entry.
  share_table shares;
  /// How long they wait.
  caller_timeout_table caller_timeouts;

  /// Time of the last event, for the detection of process pauses.
  instant last_active;
  /// When all peers of a full mesh get their next heartbeat.
  instant next_heartbeat;
  /// When all contacts concerned last got one.
  instant last_heartbeat;
  /// Changes that contacts are told of before their next heartbeat is due.
  announcement announce = announcement::kNone;
  instant next_control;
  /// When the messages sent since the start are logged next.
  instant next_message_log;
  bool dispatch_due = false;
  /// So many held workers are under suspicion that none is taken for faulty.
  bool ignores_suspicion = false;
  /// Messages from this entry to itself.
  std::vector<peer_message> loopback;
  engine_counts counts;
  std::vector<action> out;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ENGINE_BASE_H_
