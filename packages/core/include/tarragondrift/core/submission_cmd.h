// Checks and refusals of submissions, for the commands of entry_cmd.h.
#ifndef TARRAGONDRIFT_CORE_SUBMISSION_CMD_H_
#define TARRAGONDRIFT_CORE_SUBMISSION_CMD_H_

#include <chrono>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Returns the answer to a request that did not become a job here.
/// @param retry_after time after which the caller may retry.
job_answer_ptr MakeRefusal(const submission_id& id, result_code code,
                           std::chrono::milliseconds retry_after);

/// Whether this entry minted the id.
bool Owns(const entry& state, const submission_id& id);

/// Checks an id of this entry that names no known submission.
/// @return kOk when the id was minted and never used.
result_code TestUnknownId(const entry& state, const submission_id& id);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_SUBMISSION_CMD_H_
