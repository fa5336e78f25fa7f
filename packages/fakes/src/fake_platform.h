// The stand-in platform: a table service, an object store and an instance
// list, each on a port of its own, and a port that switches their faults.
#ifndef TARRAGONDRIFT_FAKES_FAKE_PLATFORM_H_
#define TARRAGONDRIFT_FAKES_FAKE_PLATFORM_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "fake_http_server.h"
#include "fake_instances.h"
#include "fake_objects.h"
#include "fake_table.h"
#include "store_faults.h"

namespace tarragondrift {

/// Ports and limits of a stand-in platform; port 0 takes a free one.
struct fake_platform_options {
  uint16_t table_port = 0;
  uint16_t objects_port = 0;
  uint16_t instances_port = 0;
  uint16_t admin_port = 0;
  uint32_t writes_per_s = 0;
  uint32_t reads_per_s = 0;
  std::chrono::milliseconds instances_lag{0};
};

/// The services that faults apply to.
enum class fake_service : uint8_t { kTable, kObjects, kInstances };

/// The stand-in platform.
class fake_platform {
 public:
  explicit fake_platform(const fake_platform_options& options);

  /// Starts every port.
  /// @return false when one cannot be had.
  bool Start();

  /// Stops every port.
  void Stop();

  /// Switches a service's fault; the delay applies to kSlow.
  void SetFault(fake_service service, fault_mode mode,
                std::chrono::milliseconds delay = std::chrono::milliseconds(0));

  /// Sets the limits of the table and the object store each; 0 is none.
  void SetLimits(uint32_t writes_per_s, uint32_t reads_per_s);

  fake_table& Table() { return table_; }
  fake_instances& Instances() { return instances_; }

  /// @return the base address of a service, "http://127.0.0.1:port".
  std::string Url(fake_service service);

  /// @return the base address of the admin port.
  std::string AdminUrl();

 private:
  fake_reply HandleTable(const fake_request& request);
  fake_reply HandleObjects(const fake_request& request);
  fake_reply HandleInstances(const fake_request& request);
  fake_reply HandleAdmin(const fake_request& request);
  fake_reply ChangeFault(const fake_request& request);
  fake_reply ChangeInstances(const fake_request& request);
  fake_reply Counts();
  fake_http_server& ServerOf(fake_service service);
  store_faults& FaultsOf(fake_service service);

  fake_platform_options options_;
  fake_table table_;
  fake_objects objects_;
  fake_instances instances_;
  store_faults table_faults_;
  store_faults objects_faults_;
  store_faults instances_faults_;
  std::mutex switch_mutex_;
  fake_http_server table_server_;
  fake_http_server objects_server_;
  fake_http_server instances_server_;
  fake_http_server admin_server_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FAKE_PLATFORM_H_
