// Writes answers, statuses and errors as JSON for callers.
#ifndef TARRAGONDRIFT_GATE_ANSWER_JSON_H_
#define TARRAGONDRIFT_GATE_ANSWER_JSON_H_

#include <chrono>
#include <string>

#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/gate/job_content.h"

namespace tarragondrift {

/// Writes the whole answer to a submission.
std::string FormatAnswer(const job_answer& answer);

/// Writes how far a submission has come.
std::string FormatStatus(const submission_id& id, const job_progress& progress);

/// Writes why a request was not carried out.
std::string FormatError(const request_error& error,
                        std::chrono::milliseconds retry_after);

/// Writes a block of tickets, each id in full.
std::string FormatTickets(const ticket_block& block);

/// Writes that a submission was cancelled.
std::string FormatCancelled(const submission_id& id);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_ANSWER_JSON_H_
