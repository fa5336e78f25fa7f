// The planned stop of an entry.
#include <algorithm>
#include <utility>

#include "tarragondrift/core/answer_store_cmd.h"
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/job_cmd.h"

namespace tarragondrift {
namespace {

/// Limit of messages sent to hand the key intervals over; after it, the entry
/// ends without handing them over.
constexpr uint32_t kMaxIntervalMessages = 4;

/// Queues every kept answer for handover.
void QueueAll(entry& state) {
  handover_state& handover = state.handover;
  handover.waiting.assign(state.kept.answers.begin(), state.kept.answers.end());
  handover.waiting.insert(handover.waiting.end(), state.kept.refusals.begin(),
                          state.kept.refusals.end());
}

/// Removes the answers of the next message from the queue and returns them.
hand_over TakeBatch(entry& state) {
  hand_over batch;
  size_t bytes = 0;
  handover_state& handover = state.handover;
  while (!handover.waiting.empty() &&
         bytes < state.options.max_handover_bytes &&
         batch.answers.size() < state.options.max_handover_answers) {
    const submission_id id = handover.waiting.front();
    handover.waiting.pop_front();
    const auto known = state.submissions.find(id);
    const bool kept =
        known != state.submissions.end() && known->second.answer != nullptr;
    if (!kept) {
      continue;
    }
    batch.answers.push_back(kept_answer{.digest = known->second.digest,
                                        .answer = known->second.answer});
    bytes += AnswerBytes(*known->second.answer);
    handover.sent.push_back(id);
  }
  return batch;
}

/// Returns the newest own key intervals, as many as fit into one message; the
/// keys of the others are refused from now on.
std::vector<inherited_interval> SelectIntervals(const entry& state) {
  std::vector<inherited_interval> selected;
  size_t keys = 0;
  const auto& open = state.keys.open;
  for (auto at = open.rbegin(); at != open.rend(); ++at) {
    keys += at->second.size();
    if (keys > state.options.max_handover_keys) {
      break;
    }
    selected.push_back({.interval = at->first, .keys = at->second});
  }
  return selected;
}

/// Adds the own key intervals to the last message. Without a known successor,
/// the message is sent empty; whoever accepts it gets the intervals in the next
/// message.
/// @return false when there are none, or the limit of messages is reached.
bool AddIntervals(entry& state, hand_over& last) {
  handover_state& handover = state.handover;
  if (state.keys.open.empty() ||
      handover.interval_handover_messages >= kMaxIntervalMessages) {
    return false;
  }
  ++handover.interval_handover_messages;
  if (handover.successor == incarnation{}) {
    return true;
  }
  handover.interval_successor =
      handover.interval_successor.value_or(handover.successor);
  last.only_to = *handover.interval_successor;
  last.intervals = SelectIntervals(state);
  return true;
}

/// Takes over a key interval of a stopping entry, unless it is owned already.
void AdoptInterval(entry& state, const inherited_interval& handed) {
  const incarnation self = state.options.self;
  key_owners& owners = state.keys;
  const auto granted = owners.granted.find(handed.interval);
  if (granted != owners.granted.end() && granted->second == self) {
    return;
  }
  owners.granted[handed.interval] = self;
  owners.open[handed.interval] = handed.keys;
  owners.keys += handed.keys.size();
}

/// Whether a submission was sent in the last message.
bool WasSent(const handover_state& handover, const submission_id& id) {
  return std::find(handover.sent.begin(), handover.sent.end(), id) !=
         handover.sent.end();
}

/// Sets the successor. One that replaces another has only the last message, so
/// all other answers are queued again.
void ChangeSuccessor(entry& state, incarnation successor) {
  const bool first = state.handover.successor == incarnation{};
  state.handover.successor = successor;
  if (first) {
    return;
  }
  QueueAll(state);
  std::erase_if(state.handover.waiting, [&state](const submission_id& id) {
    return WasSent(state.handover, id);
  });
}

/// Whether this entry has neither jobs nor attempts that run at an upstream.
bool IsIdle(const entry& state) {
  return state.jobs.size() == 0 && state.running.empty();
}

}  // namespace

void BeginDrain(entry& state, instant /*now*/, actions& out) {
  if (state.stage != entry_stage::kServing) {
    return;
  }
  state.stage = entry_stage::kDraining;
  QueueAll(state);
  ContinueDrain(state, out);
}

void ContinueDrain(entry& state, actions& out) {
  if (state.stage != entry_stage::kDraining || state.handover.outstanding) {
    return;
  }
  if (state.options.fault_for_test == injected_fault::kHandOverLate) {
    state.stage = IsIdle(state) ? entry_stage::kDrained : state.stage;
    return;
  }
  hand_over next = TakeBatch(state);
  const bool idle = IsIdle(state);
  if (!next.answers.empty() || (idle && AddIntervals(state, next))) {
    state.handover.outstanding = true;
    out.emplace_back(std::move(next));
  } else if (idle) {
    state.stage = entry_stage::kDrained;
  }
}

void OnHandoverResult(entry& state, const handover_result& ended,
                      actions& out) {
  handover_state& handover = state.handover;
  if (ended.accepted && handover.successor != ended.successor) {
    ChangeSuccessor(state, ended.successor);
  }
  if (!ended.accepted) {
    handover.waiting.insert(handover.waiting.begin(), handover.sent.begin(),
                            handover.sent.end());
  }
  handover.sent.clear();
  handover.outstanding = false;
  if (ended.accepted && handover.interval_successor.has_value()) {
    handover.interval_handover_messages = kMaxIntervalMessages;
  }
  ContinueDrain(state, out);
}

void ForceDrain(entry& state, instant now, actions& out) {
  BeginDrain(state, now, out);
  std::vector<job_id> remaining;
  state.jobs.ForEach(
      [&remaining](job_id id, const job&) { remaining.push_back(id); });
  for (const job_id id : remaining) {
    const bool started = state.jobs.Get(id).started > 0;
    FailJob(state, id,
            started ? result_code::kStoppedAfterStart
                    : result_code::kNotRunDraining,
            now, out);
  }
  for (hand_over batch = TakeBatch(state); !batch.answers.empty();
       batch = TakeBatch(state)) {
    out.emplace_back(std::move(batch));
  }
  state.stage = entry_stage::kDrained;
}

bool AcceptHandover(entry& state, const hand_over& handed) {
  if (state.stage != entry_stage::kServing) {
    return false;
  }
  for (const kept_answer& kept : handed.answers) {
    const submission_id id = kept.answer->id;
    const bool is_new =
        state.submissions.try_emplace(id, submission{.digest = kept.digest})
            .second;
    if (is_new) {
      KeepAnswer(state, id, kept.answer);
    }
  }
  for (const inherited_interval& interval : handed.intervals) {
    AdoptInterval(state, interval);
  }
  return true;
}

}  // namespace tarragondrift
