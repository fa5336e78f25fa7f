// The port to the platform's object store.
#ifndef TARRAGONDRIFT_PORTS_OBJECTS_H_
#define TARRAGONDRIFT_PORTS_OBJECTS_H_

#include <string>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// The object store. Errors: kStoreUnavailable, kStoreThrottled, kStoreUnknown.
class object_port {
 public:
  virtual ~object_port() = default;

  /// Reads a whole object.
  /// @return kNotFound when there is none.
  virtual result<std::string> Get(const std::string& name) = 0;

  /// Writes a whole object, replacing one of the same name.
  virtual result<void> Put(const std::string& name,
                           const std::string& content) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_OBJECTS_H_
