#include "tarragondrift/fleet/engine_cmd.h"

#include <algorithm>

#include "tarragondrift/fleet/admission_share_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/contact_cmd.h"
#include "tarragondrift/fleet/crash_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/responsiveness_cmd.h"
#include "tarragondrift/fleet/return_cmd.h"
#include "tarragondrift/fleet/speed_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "tarragondrift/fleet/worker_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Logs now and then how many messages of each kind were sent since the start.
void LogMessagesSent(engine& state, instant now) {
  constexpr milliseconds kInterval{10'000};
  if (now < state.next_message_log) {
    return;
  }
  state.next_message_log = now + kInterval;
  log_line line("messages_sent");
  line.With("envelopes", static_cast<int64_t>(state.counts.envelopes_sent));
  for (size_t kind = 0; kind < state.counts.messages_sent.size(); ++kind) {
    const uint64_t sent = state.counts.messages_sent.at(kind);
    if (sent > 0) {
      line.With(DescribeMessageKind(kind), static_cast<int64_t>(sent));
    }
  }
  AddLogLine(state, line);
}

/// Interval at which the assignment of workers is checked.
constexpr milliseconds kControlInterval{100};
/// The same while the entry has just started, when every caller waits for the
/// workers that it acquires.
constexpr milliseconds kStartupControlInterval{20};

}  // namespace

engine MakeEngine(const fleet_options& options, const entry_identity& self,
                  instant now) {
  engine state;
  state.options = options;
  state.self = self;
  state.started = now;
  state.listening_since = now;
  state.last_active = now;
  state.next_heartbeat = now;
  state.next_control = now;
  return state;
}

bool ApplyConfig(engine& state, std::shared_ptr<const fleet_config> config,
                 std::string text) {
  if (state.config && config->version <= state.config->version) {
    return false;
  }
  log_line line("config_applied");
  line.With("version", static_cast<int64_t>(config->version))
      .With("previous",
            static_cast<int64_t>(state.config ? state.config->version : 0))
      .With("queues", static_cast<int64_t>(config->queues.size()));
  AddLogLine(state, line);
  state.config = std::move(config);
  DropUnconfigured(state.shares, *state.config);
  const auto unconfigured = [&state](const std::string& queue) {
    return FindQueueByName(*state.config, queue) == nullptr;
  };
  std::erase_if(state.queues_with_progress, unconfigured);
  std::erase_if(state.caller_timeouts, [&unconfigured](const auto& entry) {
    return unconfigured(entry.first);
  });
  state.config_text = std::move(text);
  // Peers without access to the store learn of it from the next heartbeat.
  AnnounceChange(state, announcement::kToAllContacts);
  return true;
}

void BeginLeaving(engine& state, instant leave_by, instant now) {
  state.leaving = true;
  state.leave_by = leave_by;
  AnnounceChange(state, announcement::kToAllContacts);
  state.next_contact_choice = now;
  state.next_control = now;
  log_line line("leaving");
  line.With("jobs", static_cast<int64_t>(state.jobs.size()))
      .With("parts", static_cast<int64_t>(state.parts.size()));
  AddLogLine(state, line);
}

bool HasLeft(const engine& state) {
  return state.leaving && !state.witnesses.awaits_successor &&
         state.jobs.empty() && state.held_jobs.empty() &&
         state.claiming_jobs.empty() && state.parts.size() == 0 &&
         std::none_of(
             state.ticked_workers.begin(), state.ticked_workers.end(),
             [](const auto& entry) { return IsControlled(*entry.second); });
}

bool IsReady(const engine& state, instant now) {
  if (state.leaving || !state.config || !ReachesWitnesses(state, now)) {
    return false;
  }
  return !state.held_workers.empty() ||
         std::any_of(state.peers.begin(), state.peers.end(),
                     [&](const auto& entry) {
                       // A fleet that is evacuated as a whole refuses callers,
                       // which is better than to leave them without an answer.
                       return IsUsable(entry.second) &&
                              (!entry.second.load.empty() ||
                               !state.evacuations.since.empty());
                     });
}

void DetectProcessPause(engine& state, instant now) {
  const auto pause = now - std::exchange(state.last_active, now);
  if (pause < state.options.process_pause_limit) {
    return;
  }
  log_line line("process_paused");
  line.With("duration_ms", std::chrono::floor<milliseconds>(pause).count());
  AddLogLine(state, line, true);
  ResetAllPeers(state, "process_paused", now);
  state.listening_since = now;
}

void Tick(engine& state, instant now) {
  LogMessagesSent(state, now);
  if (now >= state.next_control) {
    const bool starting = now - state.started < state.options.startup_wait;
    state.next_control =
        now + (starting ? kStartupControlInterval : kControlInterval);
    UpdateContacts(state, now);
    UpdateWorkersRequest(state, now);
    ControlWorkers(state, now);
    ExpireCrashRecords(state, now);
    std::erase_if(state.cancelled, [&](const auto& entry) {
      return now - entry.second > state.options.cancel_retention;
    });
  }
  TickWorkers(state, now);
  UpdateSpeedClasses(state, now);
  ExpireParts(state, now);
  ReturnQueuedTasks(state, now);
  RetryHeldJobs(state, now);
  TickClaims(state, now);
  ExpireJobs(state, now);
  WithdrawUnsentOffers(state, now);
  TickPeers(state, now);
  // Ejections and backoffs of workers may have ended.
  state.dispatch_due = state.dispatch_due || !state.queue.empty();
}

void DispatchAndFlush(engine& state, instant now) {
  FlushPeers(state, now);
  if (state.dispatch_due) {
    state.dispatch_due = false;
    Dispatch(state, now);
    FlushPeers(state, now);
  }
}

std::vector<action> TakeActions(engine& state) {
  return std::exchange(state.out, {});
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) {
    if (!joined.empty()) {
      joined.push_back(',');
    }
    joined.append(name);
  }
  return joined;
}

void AddLogLine(engine& state, log_line& line, bool warning) {
  state.out.emplace_back(log_action{.warning = warning, .line = line.Take()});
}

}  // namespace tarragondrift::fleet
