// Executes the engine's actions against upstreams, the table service and other
// entries.
#ifndef TARRAGONDRIFT_DAEMON_ACTION_EXECUTOR_H_
#define TARRAGONDRIFT_DAEMON_ACTION_EXECUTOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "action_port.h"
#include "config_loader.h"
#include "engine.h"
#include "entry_registry.h"
#include "metrics.h"
#include "settings.h"
#include "store_worker.h"
#include "tarragondrift/gate/upstream_client.h"
#include "tarragondrift/link/peer_client.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Returns the entries as last read from the platform's table.
using directory_source =
    std::function<std::shared_ptr<const entry_directory>()>;

/// Executes an engine's actions and posts their outcomes back to it.
class action_executor : public action_port {
 public:
  action_executor(const settings& options, incarnation self, engine& target,
                  table_port& table, metrics& counts, config_loader& loader,
                  directory_source entries);

  void Start(start_task start) override;
  void Claim(claim_key claim) override;
  void Record(record_intent record) override;
  void Fence(fence_intent fence) override;
  void ClaimInterval(claim_interval claim) override;
  void Forward(forward_submit call) override;
  void Forward(forward_await call) override;
  void ForwardCancel(const submission_id& id, const std::string& address,
                     cancel_callback done) override;
  void SetWriters(uint32_t writers) override { store_.SetWriters(writers); }
  void HandOver(hand_over handed, const std::string& address) override;
  void SendHeartbeat(heartbeat_target target) override;
  void RequestConfig(config_request request) override;
  void OnAnswerDelivered(const job_answer& answer,
                         const burn_key& row) override;

  upstream_counts UpstreamCounts() const { return upstreams_->Counts(); }

 private:
  /// Where the submissions of an owner can be reached.
  struct owner_location {
    std::string address;
    /// The state of the owner when `address` is empty.
    forward_outcome outcome = forward_outcome::kUnreachable;
  };

  owner_location LocateOwner(incarnation owner,
                             const std::string& heartbeat_address) const;

  engine& engine_;
  metrics& counts_;
  config_loader& loader_;
  directory_source entries_;
  store_worker store_;
  std::unique_ptr<upstream_client> upstreams_;
  std::unique_ptr<peer_client> peers_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ACTION_EXECUTOR_H_
