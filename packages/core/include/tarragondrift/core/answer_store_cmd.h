// Commands on what an entry keeps of ended submissions.
#ifndef TARRAGONDRIFT_CORE_ANSWER_STORE_CMD_H_
#define TARRAGONDRIFT_CORE_ANSWER_STORE_CMD_H_

#include <cstddef>
#include <cstdint>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Makes a window that remembers so many sequences.
sequence_window MakeSequenceWindow(uint64_t remembered);

/// Mints consecutive sequences; the window moves with them.
/// @return the first of them.
uint64_t MintSequences(sequence_window& window, uint32_t count);

/// Notes that a minted sequence names a submission from now on.
void MarkUsed(sequence_window& window, uint64_t sequence);

/// Tells whether a minted sequence was used, or is too old to know.
bool IsUsed(const sequence_window& window, uint64_t sequence);

/// Counts the bytes that a kept answer holds.
size_t AnswerBytes(const job_answer& answer);

/// Keeps the answer of a job for resubmissions, and forgets the oldest beyond
/// the limits.
void KeepAnswer(entry& state, const submission_id& id, job_answer_ptr answer);

/// Keeps the refusal of a submission that never started, the note that it may
/// be sent again, or the note that another id holds its idempotency key.
void KeepRefusal(entry& state, const submission_id& id,
                 const submission& refused);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ANSWER_STORE_CMD_H_
