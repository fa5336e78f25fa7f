#include "tarragondrift/core/answer_store_cmd.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tarragondrift {
namespace {

/// Erases a submission. Its bit in the window stays, so that its id is never
/// treated as new.
void EraseSubmission(entry& state, const submission_id& id) {
  const auto at = state.submissions.find(id);
  assert(at != state.submissions.end());
  state.submissions.erase(at);
  const bool own = id.owner == state.options.self;
  if (own && state.options.fault_for_test == injected_fault::kEvictEarly) {
    sequence_window& window = state.kept.window;
    window.used[id.sequence % window.used.size()] = false;
  }
}

/// Evicts the oldest job answers beyond the limits.
void EvictAnswers(entry& state) {
  answer_store& kept = state.kept;
  while (!kept.answers.empty() &&
         (kept.answers.size() > state.options.max_kept_answers ||
          kept.bytes > state.options.max_kept_bytes)) {
    const submission_id oldest = kept.answers.front();
    kept.answers.pop_front();
    kept.bytes -= AnswerBytes(*state.submissions.at(oldest).answer);
    EraseSubmission(state, oldest);
  }
}

/// Queues an ended submission for the successor while the entry drains.
void QueueForHandover(entry& state, const submission_id& id) {
  if (state.stage == entry_stage::kDraining) {
    state.handover.waiting.push_back(id);
  }
}

}  // namespace

sequence_window MakeSequenceWindow(uint64_t remembered) {
  assert(remembered > 0);
  sequence_window window;
  window.used.resize(remembered);
  return window;
}

uint64_t MintSequences(sequence_window& window, uint32_t count) {
  assert(count <= window.used.size());
  const uint64_t first = window.next;
  window.next += count;
  for (uint64_t sequence = first; sequence < window.next; ++sequence) {
    window.used[sequence % window.used.size()] = false;
  }
  if (window.next - window.oldest > window.used.size()) {
    window.oldest = window.next - window.used.size();
  }
  return first;
}

void MarkUsed(sequence_window& window, uint64_t sequence) {
  assert(sequence < window.next);
  if (sequence >= window.oldest) {
    window.used[sequence % window.used.size()] = true;
  }
}

bool IsUsed(const sequence_window& window, uint64_t sequence) {
  assert(sequence < window.next);
  return sequence < window.oldest || window.used[sequence % window.used.size()];
}

size_t AnswerBytes(const job_answer& answer) {
  size_t bytes = sizeof(job_answer) + sizeof(submission);
  for (const task_answer& task : answer.tasks) {
    bytes += sizeof(task_answer) + task.name.capacity() + task.body.capacity();
  }
  return bytes;
}

void KeepAnswer(entry& state, const submission_id& id, job_answer_ptr answer) {
  submission& record = state.submissions.at(id);
  record.answer = std::move(answer);
  record.job = job_id{};
  state.kept.answers.push_back(id);
  state.kept.bytes += AnswerBytes(*record.answer);
  QueueForHandover(state, id);
  EvictAnswers(state);
}

void KeepRefusal(entry& state, const submission_id& id,
                 const submission& refused) {
  submission& record = state.submissions[id];
  record = refused;
  record.refused = true;
  state.kept.refusals.push_back(id);
  QueueForHandover(state, id);
  while (state.kept.refusals.size() > state.options.max_kept_refusals) {
    const submission_id oldest = state.kept.refusals.front();
    state.kept.refusals.pop_front();
    const auto known = state.submissions.find(oldest);
    // A resubmission may have become a job since; its answer is listed in
    // answer_store::answers.
    if (known != state.submissions.end() && known->second.refused) {
      EraseSubmission(state, oldest);
    }
  }
}

}  // namespace tarragondrift
