// The stand-in for the instance list, behind Consul's health interface; what
// it tells lags behind what was registered.
#ifndef TARRAGONDRIFT_FAKES_FAKE_INSTANCES_H_
#define TARRAGONDRIFT_FAKES_FAKE_INSTANCES_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "fake_http_server.h"

namespace tarragondrift {

/// One registered instance.
struct fake_instance {
  std::string service;
  /// "IP:port".
  std::string address;
  std::string data_centre;
  std::string rack;
  uint32_t slots = 8;
  bool leaving = false;
};

/// The list, with the history that its lag needs.
class fake_instances {
 public:
  using clock = std::chrono::steady_clock;

  fake_instances();

  /// Adds an instance, or replaces the one at the same address.
  void Register(const fake_instance& instance);

  /// Removes the instance at an address.
  void Deregister(const std::string& address);

  /// Sets how far the answers lag behind.
  void SetLag(std::chrono::milliseconds lag);

  /// Answers one request of the interface.
  fake_reply Handle(const fake_request& request);

 private:
  using instance_map = std::map<std::string, fake_instance>;
  struct snapshot {
    clock::time_point since;
    instance_map instances;
  };

  void Append(instance_map changed);
  const instance_map& Visible();

  std::mutex mutex_;
  std::deque<snapshot> history_;
  std::chrono::milliseconds lag_{0};
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FAKE_INSTANCES_H_
