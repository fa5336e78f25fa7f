// The engine's part in the distribution of configuration.
#include <set>
#include <vector>

#include "engine.h"
#include "tarragondrift/core/config_sync_cmd.h"

namespace tarragondrift {

void engine::TickConfig() {
  for (config_request& wanted : TickConfigSync(news_, members_, now_)) {
    outside_->RequestConfig(std::move(wanted));
  }
  may_serve_.store(news_.may_serve);
}

void engine::Handle(config_polled_event& event) {
  OnConfigPollResult(news_, event.version);
}

void engine::Handle(config_event& event) {
  if (ApplyEntryConfig(state_, event.document)) {
    config_.store(state_.config);
    OnConfigFetchResult(news_, state_.config->version);
  }
}

config_status engine::DescribeConfig() const {
  std::set<uint16_t> known{options_.entry.data_centre};
  for (const auto& [who, other] : members_.peers) {
    known.insert(other.last.data_centre);
  }
  const std::vector<uint16_t> data_centres(known.begin(), known.end());
  return DescribeConfigStatus(news_, members_, data_centres, now_);
}

}  // namespace tarragondrift
