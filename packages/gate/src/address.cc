#include "tarragondrift/gate/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace tarragondrift {

result<sockaddr_in> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return result_code::kMalformedRequest;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
      1) {
    return result_code::kMalformedRequest;
  }
  uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, port);
  if (read.ec != std::errc{} || read.ptr != end) {
    return result_code::kMalformedRequest;
  }
  address.sin_port = htons(port);
  return address;
}

}  // namespace tarragondrift
