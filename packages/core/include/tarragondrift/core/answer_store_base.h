// What an entry keeps of ended submissions: answers to repeat, and one bit for
// each of the newest minted ids that says whether it was used.
#ifndef TARRAGONDRIFT_CORE_ANSWER_STORE_BASE_H_
#define TARRAGONDRIFT_CORE_ANSWER_STORE_BASE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "tarragondrift/core/submission_base.h"

namespace tarragondrift {

/// One bit for each of the newest sequences: whether it was used. A sequence
/// below `oldest`, the watermark, counts as used.
struct sequence_window {
  uint64_t oldest = 1;
  /// The next sequence to mint.
  uint64_t next = 1;
  /// A ring of bits, addressed by sequence modulo its size.
  std::vector<bool> used;
};

/// Ended submissions in the order of their eviction.
struct answer_store {
  /// Answers of jobs, oldest first.
  std::deque<submission_id> answers;
  /// Refusals and aliases, oldest first; separate from the answers, so that a
  /// flood of refusals evicts no answer.
  std::deque<submission_id> refusals;
  /// Bytes held by the kept answers of jobs.
  size_t bytes = 0;
  sequence_window window;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ANSWER_STORE_BASE_H_
