#include "fake_instances.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr std::string_view kHealthPath = "/v1/health/service/";

/// Writes one instance in the interface's shape.
json InstanceEntry(const fake_instance& instance) {
  const size_t colon = instance.address.find(':');
  const std::string host = instance.address.substr(0, colon);
  const int port = std::stoi(instance.address.substr(colon + 1));
  json checks = json::array();
  if (instance.leaving) {
    checks.push_back({{"CheckID", "_service_maintenance:" + instance.address},
                      {"Status", "critical"}});
  }
  return {{"Node",
           {{"Node", "node-" + instance.address},
            {"Address", host},
            {"Datacenter", instance.data_centre}}},
          {"Service",
           {{"ID", instance.address},
            {"Service", instance.service},
            {"Address", host},
            {"Port", port},
            {"Meta",
             {{"slots", std::to_string(instance.slots)},
              {"rack", instance.rack}}}}},
          {"Checks", checks}};
}

}  // namespace

fake_instances::fake_instances() {
  history_.push_back({.since = clock::now(), .instances = {}});
}

void fake_instances::Register(const fake_instance& instance) {
  const std::lock_guard lock(mutex_);
  instance_map changed = history_.back().instances;
  changed[instance.address] = instance;
  Append(std::move(changed));
}

void fake_instances::Deregister(const std::string& address) {
  const std::lock_guard lock(mutex_);
  instance_map changed = history_.back().instances;
  changed.erase(address);
  Append(std::move(changed));
}

void fake_instances::SetLag(std::chrono::milliseconds lag) {
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

void fake_instances::Append(instance_map changed) {
  history_.push_back({.since = clock::now(), .instances = std::move(changed)});
}

const fake_instances::instance_map& fake_instances::Visible() {
  const clock::time_point seen = clock::now() - lag_;
  for (auto entry = history_.rbegin(); entry != history_.rend(); ++entry) {
    if (entry->since <= seen) {
      return entry->instances;
    }
  }
  return history_.front().instances;
}

fake_reply fake_instances::Handle(const fake_request& request) {
  if (!request.path.starts_with(kHealthPath)) {
    return {.status = kNotFound, .body = "[]"};
  }
  const std::string service = request.path.substr(kHealthPath.size());
  const auto asked = request.query.find("dc");
  json list = json::array();
  const std::lock_guard lock(mutex_);
  for (const auto& [address, instance] : Visible()) {
    const bool in_data_centre =
        asked == request.query.end() || asked->second == instance.data_centre;
    if (instance.service == service && in_data_centre) {
      list.push_back(InstanceEntry(instance));
    }
  }
  return {.body = list.dump()};
}

}  // namespace tarragondrift
