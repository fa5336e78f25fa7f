// Parses callers' JSON requests; any input yields a validated value or an error
// code.
#ifndef TARRAGONDRIFT_GATE_JOB_JSON_H_
#define TARRAGONDRIFT_GATE_JOB_JSON_H_

#include <cstdint>
#include <string_view>

#include "tarragondrift/gate/job_content.h"

namespace tarragondrift {

/// Parses a job and computes its content digest.
checked<job_content> ParseJob(std::string_view body);

/// Parses a single request into a job of one task.
checked<job_content> ParseSingleRequest(std::string_view body);

/// Parses the number of tickets requested.
checked<uint32_t> ParseTicketCount(std::string_view body);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_JOB_JSON_H_
