// What the other threads tell the engine.
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

/// A submission, matched with the configuration as far as it could be.
struct submit_event {
  job_request request;
  /// kOk, or which of its names is not in force.
  result_code check = result_code::kOk;
  /// What to send to another entry; null when that can't be needed.
  std::shared_ptr<const job_content> content;
  /// Its contract and team by name.
  burn_key row;
  hold_options hold;
  reply_callback done;
};

/// Someone waits for a submission that was sent before.
struct await_event {
  submission_id id;
  hold_options hold;
  reply_callback done;
};

/// Someone cancels a submission.
struct cancel_event {
  submission_id id;
  bool may_forward = true;
  cancel_callback done;
};

/// Someone wants tickets.
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

/// Another entry answered a forwarded submission, or did not.
struct forward_ended_event {
  forward_submission sent;
  /// Nothing when there was no answer.
  std::optional<submission_reply> reply;
  /// Without an answer: what is known of the owner.
  forward_outcome outcome = forward_outcome::kUnreachable;
};

/// Another entry answered a forwarded wait, or the code says why not.
struct await_ended_event {
  waiter_id waiter;
  submission_reply reply;
};

/// The table service answered a fence.
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

/// A successor took kept answers, or did not.
struct handover_ended_event {
  handover_result ended;
};

/// Another entry beats.
struct beat_event {
  heartbeat beat;
  std::function<void(beat_reply)> done;
};

/// The platform's rows name another entry.
struct learn_peer_event {
  incarnation who;
  uint16_t data_centre = 0;
  std::string address;
};

/// A configuration was found to be in force.
struct config_event {
  std::shared_ptr<const config_document> document;
};

/// A read of the head row ended; without a version it failed.
struct config_polled_event {
  std::optional<uint64_t> version;
};

/// All instances of one upstream that the platform lists here.
struct instances_event {
  std::string upstream;
  std::vector<upstream_instance> instances;
};

/// An entry that stops hands over the answers that it kept.
struct handover_event {
  hand_over handed;
  /// Gets whether they were taken.
  std::function<void(bool)> done;
};

/// Takes who has the kept answers, if anybody has.
using drained_callback = std::function<void(std::optional<incarnation>)>;

/// This entry is to stop; `drained` runs once nothing is left.
struct drain_event {
  drained_callback drained;
};

/// This entry is to stop now.
struct force_drain_event {};

/// Another entry as it was last heard.
struct peer_status {
  incarnation who;
  uint16_t data_centre = 0;
  std::string address;
  uint64_t config_version = 0;
  bool reachable = false;
};

/// What one look at the engine shows.
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
  /// The other entries as far as they were heard.
  std::vector<peer_status> peers;
  std::vector<upstream_instance> instances;
};

/// Someone wants to see how the engine stands.
struct status_event {
  std::function<void(engine_status)> done;
};

using engine_event =
    std::variant<submit_event, await_event, cancel_event, mint_event,
                 attempt_ended_event, claim_ended_event, record_ended_event,
                 forward_ended_event, await_ended_event, fence_ended_event,
                 interval_ended_event, handover_ended_event, beat_event,
                 learn_peer_event, config_event, config_polled_event,
                 instances_event, handover_event, drain_event,
                 force_drain_event, status_event>;

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENGINE_EVENTS_H_
