// Tests and refusals of submissions; the commands of entry_cmd.h use them.
#ifndef TARRAGONDRIFT_CORE_SUBMISSION_CMD_H_
#define TARRAGONDRIFT_CORE_SUBMISSION_CMD_H_

#include <chrono>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Makes the answer to a request that became no job here.
/// @param retry_after when to come back.
job_answer_ptr MakeRefusal(const submission_id& id, result_code code,
                           std::chrono::milliseconds retry_after);

/// Tells whether this entry minted the id.
bool Owns(const entry& state, const submission_id& id);

/// Tests an id of this entry that names no submission that it knows.
/// @return kOk when the id was minted and never used.
result_code TestUnknownId(const entry& state, const submission_id& id);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_SUBMISSION_CMD_H_
