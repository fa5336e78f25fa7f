#include "fake_objects.h"

namespace tarragondrift {
namespace {

constexpr int kMethodNotAllowed = 405;

}  // namespace

fake_reply ObjectError(int status, const std::string& code) {
  return {.status = status,
          .body = "<Error><Code>" + code + "</Code></Error>",
          .content_type = "application/xml"};
}

fake_reply fake_objects::Handle(const fake_request& request) {
  const std::lock_guard lock(mutex_);
  if (request.method == "PUT") {
    objects_[request.path] = request.body;
    return {.content_type = "application/xml"};
  }
  if (request.method != "GET") {
    return ObjectError(kMethodNotAllowed, "MethodNotAllowed");
  }
  const auto object = objects_.find(request.path);
  if (object == objects_.end()) {
    return ObjectError(kNotFound, "NoSuchKey");
  }
  return {.body = object->second, .content_type = "application/octet-stream"};
}

}  // namespace tarragondrift
