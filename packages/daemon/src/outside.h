// Everything that the engine's actions reach: upstreams, the table service,
// the other entries.
#ifndef TARRAGONDRIFT_DAEMON_OUTSIDE_H_
#define TARRAGONDRIFT_DAEMON_OUTSIDE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config_loader.h"
#include "engine.h"
#include "entry_registry.h"
#include "metrics.h"
#include "outside_port.h"
#include "settings.h"
#include "store_worker.h"
#include "tarragondrift/gate/upstream_client.h"
#include "tarragondrift/link/peer_client.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Gives the entries as the platform's rows show them.
using directory_source =
    std::function<std::shared_ptr<const entry_directory>()>;

/// Carries out an engine's actions and posts their outcomes back to it.
class outside : public outside_port {
 public:
  outside(const settings& options, incarnation self, engine& target,
          table_port& table, metrics& counts, config_loader& loader,
          directory_source entries);

  void Start(start_task start) override;
  void Claim(claim_key claim) override;
  void Record(record_intent record) override;
  void Fence(fence_intent asked) override;
  void ClaimInterval(claim_interval claim) override;
  void Forward(forward_submit call) override;
  void Forward(forward_await call) override;
  void ForwardCancel(const submission_id& id, const std::string& address,
                     cancel_callback done) override;
  void SetWriters(uint32_t writers) override { store_.SetWriters(writers); }
  void HandOver(hand_over handed, const std::string& address) override;
  void Beat(heartbeat_target target) override;
  void RequestConfig(config_request wanted) override;
  void Answered(const job_answer& answer, const burn_key& row) override;

  upstream_counts UpstreamCounts() const { return upstreams_->Counts(); }

 private:
  /// Where to ask for an owner's submissions.
  struct owner_place {
    std::string address;
    /// Without an address: what is known of the owner.
    forward_outcome outcome = forward_outcome::kUnreachable;
  };

  owner_place FindPlace(incarnation owner, const std::string& heard) const;

  engine& engine_;
  metrics& counts_;
  config_loader& loader_;
  directory_source entries_;
  store_worker store_;
  std::unique_ptr<upstream_client> upstreams_;
  std::unique_ptr<peer_client> peers_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_OUTSIDE_H_
