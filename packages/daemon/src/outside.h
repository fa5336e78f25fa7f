// Everything that the engine's actions reach: upstreams, the table service,
// the other entries.
#ifndef TARRAGONDRIFT_DAEMON_OUTSIDE_H_
#define TARRAGONDRIFT_DAEMON_OUTSIDE_H_

#include <memory>

#include "engine.h"
#include "metrics.h"
#include "outside_port.h"
#include "settings.h"
#include "store_worker.h"
#include "tarragondrift/gate/upstream_client.h"
#include "tarragondrift/platform/table.h"

namespace tarragondrift {

/// Carries out an engine's actions and posts their outcomes back to it.
class outside : public outside_port {
 public:
  outside(const settings& options, engine& target, table_port& table,
          metrics& counts);

  void Start(start_task start) override;
  void Claim(claim_key claim) override;
  void Record(record_intent record) override;
  void Forward(forward_submit call) override;
  void Forward(forward_await call) override;
  void ForwardCancel(const submission_id& id, cancel_callback done) override;
  void HandOver(hand_over handed) override;
  void Answered(const job_answer& answer) override;

  upstream_counts UpstreamCounts() const { return upstreams_->Counts(); }

 private:
  engine& engine_;
  metrics& counts_;
  store_worker store_;
  std::unique_ptr<upstream_client> upstreams_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_OUTSIDE_H_
