// What the callers' interface and the peers ask of an entry.
#ifndef TARRAGONDRIFT_GATE_SUBMISSION_PORT_H_
#define TARRAGONDRIFT_GATE_SUBMISSION_PORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/gate/job_content.h"

namespace tarragondrift {

/// How a submission stands: its answer, or how far it has come.
struct submission_reply {
  submission_id id;
  /// Null while the submission runs.
  job_answer_ptr answer;
  job_progress progress;
};

/// Makes a reply that carries only a code.
inline submission_reply MakeCodeReply(const submission_id& id,
                                      result_code code) {
  return {.id = id,
          .answer = std::make_shared<const job_answer>(
              job_answer{.id = id, .code = code})};
}

/// How long a request is held, and how far it may go.
struct hold_options {
  std::chrono::milliseconds wait{0};
  /// The request may go on to the entry that owns the submission. Requests
  /// that come from an entry may not, so that each makes one hop at most.
  bool may_forward = true;
};

/// Takes the one reply to a held request; called on a thread of the entry, so
/// it must not block.
using reply_callback = std::function<void(submission_reply)>;

/// Takes the outcome of a cancellation.
using cancel_callback = std::function<void(result<void>)>;

/// An entry as those see it who submit to it. Calls return at once unless they
/// say otherwise.
class submission_port {
 public:
  virtual ~submission_port() = default;

  /// Mints tickets; blocks until the entry has answered.
  virtual result<ticket_block> MintTickets(uint32_t count) = 0;

  /// Takes a job. `done` gets the answer, or the status when the wait is over.
  virtual void Submit(job_content content, const hold_options& hold,
                      reply_callback done) = 0;

  /// Waits for the answer to a submission that was sent before.
  virtual void Await(const submission_id& id, const hold_options& hold,
                     reply_callback done) = 0;

  /// Cancels a submission.
  virtual void Cancel(const submission_id& id, bool may_forward,
                      cancel_callback done) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SUBMISSION_PORT_H_
