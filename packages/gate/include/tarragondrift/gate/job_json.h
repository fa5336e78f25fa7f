// Reads callers' requests from JSON; whatever the bytes are, the outcome is a
// checked value or a numbered error.
#ifndef TARRAGONDRIFT_GATE_JOB_JSON_H_
#define TARRAGONDRIFT_GATE_JOB_JSON_H_

#include <cstdint>
#include <string_view>

#include "tarragondrift/gate/job_content.h"

namespace tarragondrift {

/// Reads a job and digests its content.
checked<job_content> ParseJob(std::string_view body);

/// Reads a single request, which becomes a job of one task.
checked<job_content> ParseSingleRequest(std::string_view body);

/// Reads how many tickets are asked for.
checked<uint32_t> ParseTicketCount(std::string_view body);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_JOB_JSON_H_
