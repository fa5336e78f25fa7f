// Events that other threads post to the engine.
#ifndef TARRAGONDRIFT_DAEMON_ENGINE_EVENTS_H_
#define TARRAGONDRIFT_DAEMON_ENGINE_EVENTS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/config_sync_base.h"
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/membership_cmd.h"
#include "tarragondrift/gate/submission_port.h"
#include "tarragondrift/link/peer_messages.h"

namespace tarragondrift {

/// A submission, with its names resolved against the configuration where
/// possible.
struct submit_event {
  job_request request;
  /// kOk, or the error for the name that the configuration does not contain.
  result_code check = result_code::kOk;
  /// The content to forward to another entry; null when forwarding is never
  /// needed.
  std::shared_ptr<const job_content> content;
  /// The names of its contract and team.
  burn_key row;
  hold_options hold;
  reply_callback done;
};

/// A request to wait for a submission that was sent before.
struct await_event {
  submission_id id;
  hold_options hold;
  reply_callback done;
};

/// A request to cancel a submission.
struct cancel_event {
  submission_id id;
  bool may_forward = true;
  cancel_callback done;
};

/// A request for new tickets.
struct mint_event {
  uint32_t count = 0;
  std::function<void(result<ticket_block>)> done;
};

/// An attempt ended at an upstream.
struct attempt_ended_event {
  placement placed;
  attempt_result ended;
};

/// The table service answered the claim of a key.
struct claim_ended_event {
  submission_id id;
  key_claim claim;
};

/// The table service answered an intent record.
struct record_ended_event {
  submission_id id;
  store_outcome outcome = store_outcome::kUnavailable;
};

/// A forwarded submission was answered or failed.
struct forward_ended_event {
  forward_submission sent;
  /// Empty when no answer arrived.
  std::optional<submission_reply> reply;
  /// The state of the owner when `reply` is empty.
  forward_outcome outcome = forward_outcome::kUnreachable;
};

/// A forwarded wait ended; on failure the reply carries the error code.
struct await_ended_event {
  waiter_id waiter;
  submission_reply reply;
};

/// The table service answered the fence of an intent.
struct fence_ended_event {
  fence_intent asked;
  fence_outcome outcome = fence_outcome::kUnknown;
};

/// The table service answered the claim of a key interval.
struct interval_ended_event {
  key_interval interval;
  store_outcome outcome = store_outcome::kUnavailable;
  incarnation holder;
};

/// A successor accepted or refused the kept answers.
struct handover_ended_event {
  handover_result ended;
};

/// A heartbeat of another entry arrived.
struct heartbeat_event {
  heartbeat beat;
  std::function<void(beat_reply)> done;
};

/// The rows of the platform's table list another entry.
struct learn_peer_event {
  incarnation who;
  uint16_t data_centre = 0;
  std::string address;
};

/// A configuration in force was loaded.
struct config_event {
  std::shared_ptr<const config_document> document;
};

/// A read of the head row ended; `version` is empty when it failed.
struct config_polled_event {
  std::optional<uint64_t> version;
};

/// All instances of one upstream that the platform lists in this data centre.
struct instances_event {
  std::string upstream;
  std::vector<upstream_instance> instances;
};

/// A stopping entry hands over its kept answers.
struct handover_event {
  hand_over handed;
  /// Called with whether the answers were accepted.
  std::function<void(bool)> done;
};

/// Called with the entry that accepted the kept answers, if any.
using drained_callback = std::function<void(std::optional<incarnation>)>;

/// Starts a drain; `drained` runs once no jobs, held requests or
/// kept answers to hand over are left.
struct drain_event {
  drained_callback drained;
};

/// Ends a drain immediately.
struct force_drain_event {};

/// Another entry as of its last heartbeat.
struct peer_status {
  incarnation who;
  uint16_t data_centre = 0;
  std::string address;
  uint64_t config_version = 0;
  bool reachable = false;
};

/// A snapshot of the engine's state.
struct engine_status {
  entry_stage stage = entry_stage::kServing;
  uint64_t config_version = 0;
  std::string config_digest;
  size_t jobs = 0;
  size_t queued_tasks = 0;
  size_t running_attempts = 0;
  size_t kept_answers = 0;
  size_t held_requests = 0;
  traffic_count beats_sent;
  config_status config;
  /// The other entries known to this one.
  std::vector<peer_status> peers;
  std::vector<upstream_instance> instances;
};

/// A request for a status snapshot.
struct status_event {
  std::function<void(engine_status)> done;
};

using engine_event =
    std::variant<submit_event, await_event, cancel_event, mint_event,
                 attempt_ended_event, claim_ended_event, record_ended_event,
                 forward_ended_event, await_ended_event, fence_ended_event,
                 interval_ended_event, handover_ended_event, heartbeat_event,
                 learn_peer_event, config_event, config_polled_event,
                 instances_event, handover_event, drain_event,
                 force_drain_event, status_event>;

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENGINE_EVENTS_H_
