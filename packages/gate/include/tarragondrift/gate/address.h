// Parses IPv4 addresses with ports from settings and instance lists.
#ifndef TARRAGONDRIFT_GATE_ADDRESS_H_
#define TARRAGONDRIFT_GATE_ADDRESS_H_

#include <netinet/in.h>

#include <string>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// Parses an IPv4 "IP:port".
/// @return kMalformedRequest for any other text.
result<sockaddr_in> ParseAddress(const std::string& text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_ADDRESS_H_
