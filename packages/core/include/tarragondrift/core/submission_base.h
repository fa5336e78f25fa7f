// The identity of a submission: only the entry incarnation that minted an id
// ever starts its tasks.
#ifndef TARRAGONDRIFT_CORE_SUBMISSION_BASE_H_
#define TARRAGONDRIFT_CORE_SUBMISSION_BASE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// Identifies one run of an entry process; drawn at random when it starts.
struct incarnation {
  uint64_t value = 0;
  auto operator<=>(const incarnation&) const = default;
};

/// Identifies one submission; never reused.
struct submission_id {
  uint16_t data_centre = 0;
  incarnation owner;
  uint64_t sequence = 0;
  auto operator<=>(const submission_id&) const = default;
};

/// Hashes a submission id for the unordered containers.
struct submission_id_hash {
  size_t operator()(const submission_id& id) const;
};

/// Consecutive submission ids handed to a caller.
struct ticket_block {
  submission_id first;
  uint32_t count = 0;
};

/// A 128-bit digest of a submission's content, computed by its parser.
struct content_digest {
  uint64_t high = 0;
  uint64_t low = 0;
  auto operator<=>(const content_digest&) const = default;
};

/// Formats an id as data centre, owner and sequence in hexadecimal, joined by
/// '-'.
std::string FormatSubmissionId(const submission_id& id);

/// Parses the format of FormatSubmissionId.
/// @return kInvalidSubmissionId for any other text.
result<submission_id> ParseSubmissionId(std::string_view text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_SUBMISSION_BASE_H_
