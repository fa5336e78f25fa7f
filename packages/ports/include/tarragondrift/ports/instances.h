// The port to the platform's lagging list of instances.
#ifndef TARRAGONDRIFT_PORTS_INSTANCES_H_
#define TARRAGONDRIFT_PORTS_INSTANCES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// One live or leaving instance of a service.
struct listed_instance {
  /// "IP:port".
  std::string address;
  std::string data_centre;
  std::string rack;
  uint32_t slots = 0;
  bool leaving = false;
};

/// The list of instances; it lags behind the truth.
class instance_port {
 public:
  virtual ~instance_port() = default;

  /// Lists the instances of a service in one data centre.
  virtual result<std::vector<listed_instance>> List(
      const std::string& service, const std::string& data_centre) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_INSTANCES_H_
