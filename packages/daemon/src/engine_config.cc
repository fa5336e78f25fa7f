// Engine: distribution of configuration.
#include <set>
#include <vector>

#include "engine.h"
#include "tarragondrift/core/config_sync_cmd.h"

namespace tarragondrift {

void engine::TickConfig() {
  for (config_request& request : TickConfigSync(config_sync_, members_, now_)) {
    action_port_->RequestConfig(std::move(request));
  }
  may_serve_.store(config_sync_.may_serve);
}

void engine::Handle(config_polled_event& event) {
  OnConfigPollResult(config_sync_, event.version);
}

void engine::Handle(config_event& event) {
  if (ApplyEntryConfig(state_, event.document)) {
    config_.store(state_.config);
    OnConfigFetchResult(config_sync_, state_.config->version);
  }
}

config_status engine::DescribeConfig() const {
  std::set<uint16_t> known{options_.entry.data_centre};
  for (const auto& [who, other] : members_.peers) {
    known.insert(other.last.data_centre);
  }
  const std::vector<uint16_t> data_centres(known.begin(), known.end());
  return DescribeConfigStatus(config_sync_, members_, data_centres, now_);
}

}  // namespace tarragondrift
