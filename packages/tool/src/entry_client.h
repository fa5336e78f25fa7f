// The client of an entry's HTTP interface, for callers and operators.
#ifndef TARRAGONDRIFT_TOOL_ENTRY_CLIENT_H_
#define TARRAGONDRIFT_TOOL_ENTRY_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tarragondrift/ports/http_client.h"
#include "tool_error.h"

namespace tarragondrift {

/// Whether a request reached an entry that answered it.
enum class entry_contact : uint8_t {
  kAnswered,
  /// It had no effect.
  kNotSent,
  /// It may have had its effect.
  kReplyLost,
};

/// What one request to one entry brought.
struct entry_reply {
  entry_contact contact = entry_contact::kNotSent;
  int status = 0;
  nlohmann::json body;
  /// The error, unless the answer is a success.
  tool_error error;

  bool Succeeded() const;
};

/// One request to an entry.
struct entry_request {
  http_method method = http_method::kGet;
  /// The address of the entry, "http://host:port".
  std::string address;
  std::string path;
  std::string body;
  /// Bearer token; empty sends none.
  std::string token;
  std::chrono::milliseconds timeout{5'000};
};

/// Sends a request and reads its answer or error.
entry_reply SendToEntry(http_client& client, const entry_request& request);

/// Reads an error body; a body of another shape gives kInternal.
tool_error ReadError(const nlohmann::json& body, int status);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_ENTRY_CLIENT_H_
