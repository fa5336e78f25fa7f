// The objects of the stand-in for the object store, behind S3's GET and PUT.
#ifndef TARRAGONDRIFT_FAKES_FAKE_OBJECTS_H_
#define TARRAGONDRIFT_FAKES_FAKE_OBJECTS_H_

#include <map>
#include <mutex>
#include <string>

#include "fake_http_server.h"

namespace tarragondrift {

/// Objects in memory, by their path.
class fake_objects {
 public:
  /// Carries out one GET or PUT.
  fake_reply Handle(const fake_request& request);

 private:
  std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

/// Makes an error answer of the interface.
fake_reply ObjectError(int status, const std::string& code);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FAKE_OBJECTS_H_
