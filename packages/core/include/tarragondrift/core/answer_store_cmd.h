// Commands on the answers and refusals that an entry keeps.
#ifndef TARRAGONDRIFT_CORE_ANSWER_STORE_CMD_H_
#define TARRAGONDRIFT_CORE_ANSWER_STORE_CMD_H_

#include <cstddef>
#include <cstdint>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Returns a window that covers the given number of sequences.
sequence_window MakeSequenceWindow(uint64_t remembered);

/// Mints consecutive sequences and advances the window.
/// @return the first minted sequence.
uint64_t MintSequences(sequence_window& window, uint32_t count);

/// Marks a minted sequence as used by a submission.
void MarkUsed(sequence_window& window, uint64_t sequence);

/// Whether a minted sequence was used or is older than the window.
bool IsUsed(const sequence_window& window, uint64_t sequence);

/// Returns the bytes that a kept answer holds.
size_t AnswerBytes(const job_answer& answer);

/// Keeps the answer of a job for resubmissions, and evicts the oldest answers
/// beyond the limits.
void KeepAnswer(entry& state, const submission_id& id, job_answer_ptr answer);

/// Keeps a submission that never started: its refusal, that it may be
/// resubmitted, or that another id holds its idempotency key. Evicts the oldest
/// beyond the limit.
void KeepRefusal(entry& state, const submission_id& id,
                 const submission& refused);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ANSWER_STORE_CMD_H_
