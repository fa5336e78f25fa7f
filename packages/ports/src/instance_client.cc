// The instance list by Consul's health interface.
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "tarragondrift/ports/clients.h"
#include "tarragondrift/ports/http_client.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;

/// Tells whether a check is the mark that operators set for maintenance.
bool IsMaintenance(const json& check) {
  const std::string id = check.value("CheckID", "");
  return id == "_node_maintenance" || id.starts_with("_service_maintenance");
}

/// Tells whether any check satisfies the condition.
template <class Condition>
bool AnyCheck(const json& entry, Condition condition) {
  const auto checks = entry.find("Checks");
  return checks != entry.end() &&
         std::any_of(checks->begin(), checks->end(), condition);
}

/// Tells whether the instance failed a check other than maintenance.
bool IsDead(const json& entry) {
  return AnyCheck(entry, [](const json& check) {
    return !IsMaintenance(check) && check.value("Status", "") == "critical";
  });
}

/// Reads a field of the service's metadata.
/// @return the empty text when there is none.
std::string MetaField(const json& service, const char* name) {
  const auto meta = service.find("Meta");
  return meta != service.end() && meta->is_object() ? meta->value(name, "")
                                                    : std::string{};
}

/// Reads the number of slots from the metadata.
/// @return 0 when it is not given.
uint32_t ReadSlots(const json& service) {
  const std::string text = MetaField(service, "slots");
  uint32_t slots = 0;
  std::from_chars(text.data(), text.data() + text.size(), slots);
  return slots;
}

/// Reads the port; throws json::exception when it is not one.
uint16_t ReadPort(const json& service) {
  const json& port = service.at("Port");
  if (!port.is_number_unsigned() || port.get<uint64_t>() == 0 ||
      !std::in_range<uint16_t>(port.get<uint64_t>())) {
    throw json::type_error::create(302, "\"Port\" is not a port number",
                                   &service);
  }
  return port.get<uint16_t>();
}

/// Reads the address; a service without its own has that of its node.
std::string ReadAddress(const json& entry) {
  const json& service = entry.at("Service");
  std::string host = service.value("Address", "");
  if (host.empty()) {
    host = entry.at("Node").at("Address").get<std::string>();
  }
  return host + ':' + std::to_string(ReadPort(service));
}

/// Reads one instance; throws json::exception for another shape.
listed_instance ReadInstanceFields(const json& entry) {
  const json& service = entry.at("Service");
  listed_instance instance;
  instance.address = ReadAddress(entry);
  instance.data_centre = entry.at("Node").value("Datacenter", "");
  instance.rack = MetaField(service, "rack");
  instance.slots = ReadSlots(service);
  instance.leaving =
      MetaField(service, "leaving") == "true" || AnyCheck(entry, IsMaintenance);
  return instance;
}

/// Reads one instance.
/// @return nothing when it is dead or its entry has another shape: entries may
/// come from other writers.
std::optional<listed_instance> ReadInstance(const json& entry) {
  try {
    if (IsDead(entry)) {
      return std::nullopt;
    }
    return ReadInstanceFields(entry);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

/// The client; see instance_port for what its calls promise.
class instance_client final : public instance_port {
 public:
  explicit instance_client(const instance_client_options& options)
      : options_(options),
        http_({.connect_timeout = options.connect_timeout,
               .timeout = options.timeout}) {}

  result<std::vector<listed_instance>> List(
      const std::string& service, const std::string& data_centre) override {
    const http_reply reply = http_.Send(
        {.method = http_method::kGet,
         .url = options_.base_url + "/v1/health/service/" + EscapeUrl(service) +
                "?dc=" + EscapeUrl(data_centre)});
    if (reply.exchange != http_exchange::kAnswered) {
      return result_code::kStoreUnavailable;
    }
    if (reply.status == kStatusTooManyRequests) {
      return result_code::kStoreThrottled;
    }
    if (reply.status != kStatusOk) {
      return result_code::kStoreUnavailable;
    }
    return ReadList(reply.body);
  }

 private:
  static result<std::vector<listed_instance>> ReadList(
      const std::string& body) {
    const json entries = json::parse(body, nullptr, false);
    if (!entries.is_array()) {
      return result_code::kStoreUnavailable;
    }
    std::vector<listed_instance> instances;
    for (const json& entry : entries) {
      if (auto instance = ReadInstance(entry)) {
        instances.push_back(std::move(*instance));
      }
    }
    return instances;
  }

  instance_client_options options_;
  http_client http_;
};

}  // namespace

std::unique_ptr<instance_port> MakeInstanceClient(
    const instance_client_options& options) {
  return std::make_unique<instance_client>(options);
}

}  // namespace tarragondrift
