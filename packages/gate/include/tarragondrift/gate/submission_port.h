// Interface through which the callers' API and peers submit to an entry.
#ifndef TARRAGONDRIFT_GATE_SUBMISSION_PORT_H_
#define TARRAGONDRIFT_GATE_SUBMISSION_PORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/gate/job_content.h"

namespace tarragondrift {

/// The answer to a submission, or its progress while it runs.
struct submission_reply {
  submission_id id;
  /// Null while the submission runs.
  job_answer_ptr answer;
  job_progress progress;
};

/// Returns a reply that contains only a result code.
inline submission_reply MakeCodeReply(const submission_id& id,
                                      result_code code) {
  return {.id = id,
          .answer = std::make_shared<const job_answer>(
              job_answer{.id = id, .code = code})};
}

/// How long a request is held and whether it may be forwarded.
struct hold_options {
  std::chrono::milliseconds wait{0};
  /// Allows forwarding to the entry that owns the submission. False for
  /// requests from another entry, so that a request is forwarded at most once.
  bool may_forward = true;
};

/// Called exactly once with the reply to a held request, on a thread of the
/// entry; must not block.
using reply_callback = std::function<void(submission_reply)>;

/// Called with the outcome of a cancellation.
using cancel_callback = std::function<void(result<void>)>;

/// Submits work to an entry. Calls return immediately unless documented
/// otherwise.
class submission_port {
 public:
  virtual ~submission_port() = default;

  /// Mints tickets; blocks until the entry replies.
  virtual result<ticket_block> MintTickets(uint32_t count) = 0;

  /// Submits a job. `done` receives the answer, or the status once the wait
  /// has passed.
  virtual void Submit(job_content content, const hold_options& hold,
                      reply_callback done) = 0;

  /// Waits for the answer to an earlier submission; calls `done` as `Submit`
  /// does.
  virtual void Await(const submission_id& id, const hold_options& hold,
                     reply_callback done) = 0;

  /// Cancels a submission. `may_forward` is as in `hold_options`.
  virtual void Cancel(const submission_id& id, bool may_forward,
                      cancel_callback done) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SUBMISSION_PORT_H_
