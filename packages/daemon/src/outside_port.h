// What the engine asks of the rest of the process. Calls return at once; the
// outcome comes back as an event.
#ifndef TARRAGONDRIFT_DAEMON_OUTSIDE_PORT_H_
#define TARRAGONDRIFT_DAEMON_OUTSIDE_PORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/config_sync_base.h"
#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/membership_base.h"
#include "tarragondrift/gate/submission_port.h"

namespace tarragondrift {

/// A submission on its way to the entry that owns it.
struct forward_submit {
  forward_submission sent;
  /// Where the owner was last heard; empty when it is not known.
  std::string address;
  std::shared_ptr<const job_content> content;
  std::chrono::milliseconds wait{0};
};

/// A wait on its way to the entry that owns the submission.
struct forward_await {
  waiter_id waiter;
  submission_id id;
  std::string address;
  std::chrono::milliseconds wait{0};
};

/// The threads and clients around the engine.
class outside_port {
 public:
  virtual ~outside_port() = default;

  virtual void Start(start_task start) = 0;
  virtual void Claim(claim_key claim) = 0;
  virtual void Record(record_intent record) = 0;
  virtual void Forward(forward_submit call) = 0;
  virtual void Forward(forward_await call) = 0;
  virtual void ForwardCancel(const submission_id& id,
                             const std::string& address,
                             cancel_callback done) = 0;
  virtual void Fence(fence_intent asked) = 0;
  virtual void ClaimInterval(claim_interval claim) = 0;
  /// Tells how many live entries share the platform's budget of writes.
  virtual void SetWriters(uint32_t writers) = 0;
  virtual void HandOver(hand_over handed, const std::string& address) = 0;
  virtual void Beat(heartbeat_target target) = 0;
  /// Ends with a config_polled_event, a config_event or, when it failed,
  /// nothing.
  virtual void RequestConfig(config_request wanted) = 0;
  /// Told of every answer that is delivered here.
  /// @param row its contract and team; empty names when they are not known.
  virtual void Answered(const job_answer& answer, const burn_key& row) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_OUTSIDE_PORT_H_
