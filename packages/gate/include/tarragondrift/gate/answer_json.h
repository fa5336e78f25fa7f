// Formats answers, statuses and errors as JSON for callers.
#ifndef TARRAGONDRIFT_GATE_ANSWER_JSON_H_
#define TARRAGONDRIFT_GATE_ANSWER_JSON_H_

#include <chrono>
#include <string>

#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/gate/job_content.h"

namespace tarragondrift {

/// Formats the complete answer to a submission.
std::string FormatAnswer(const job_answer& answer);

/// Formats the progress of a submission.
std::string FormatStatus(const submission_id& id, const job_progress& progress);

/// Formats the error of a request that was not carried out.
std::string FormatError(const request_error& error,
                        std::chrono::milliseconds retry_after);

/// Formats a block of tickets, with every id written out.
std::string FormatTickets(const ticket_block& block);

/// Formats the confirmation that a submission was cancelled.
std::string FormatCancelled(const submission_id& id);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_ANSWER_JSON_H_
