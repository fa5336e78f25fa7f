// Interface through which the engine executes its actions. Calls don't block;
// the outcome is posted back as an event.
#ifndef TARRAGONDRIFT_DAEMON_ACTION_PORT_H_
#define TARRAGONDRIFT_DAEMON_ACTION_PORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/config_sync_base.h"
#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/membership_base.h"
#include "tarragondrift/gate/submission_port.h"

namespace tarragondrift {

/// A submission to forward to the entry that owns it.
struct forward_submit {
  forward_submission sent;
  /// Address in the owner's last heartbeat; empty when unknown.
  std::string address;
  std::shared_ptr<const job_content> content;
  std::chrono::milliseconds wait{0};
};

/// A wait to forward to the entry that owns the submission.
struct forward_await {
  waiter_id waiter;
  submission_id id;
  std::string address;
  std::chrono::milliseconds wait{0};
};

/// Executes the engine's actions.
class action_port {
 public:
  virtual ~action_port() = default;

  virtual void Start(start_task start) = 0;
  virtual void Claim(claim_key claim) = 0;
  virtual void Record(record_intent record) = 0;
  virtual void Forward(forward_submit call) = 0;
  virtual void Forward(forward_await call) = 0;
  virtual void ForwardCancel(const submission_id& id,
                             const std::string& address,
                             cancel_callback done) = 0;
  virtual void Fence(fence_intent fence) = 0;
  virtual void ClaimInterval(claim_interval claim) = 0;
  /// Sets the number of live entries that share the platform's write budget.
  virtual void SetWriters(uint32_t writers) = 0;
  virtual void HandOver(hand_over handed, const std::string& address) = 0;
  virtual void SendHeartbeat(heartbeat_target target) = 0;
  /// Posts a config_polled_event or a config_event; a failed fetch posts no
  /// event.
  virtual void RequestConfig(config_request request) = 0;
  /// Called for every answer that the local core delivers, but not for replies
  /// of other entries to forwarded requests.
  /// @param row its contract and team; empty names when unknown.
  virtual void OnAnswerDelivered(const job_answer& answer,
                                 const burn_key& row) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ACTION_PORT_H_
