// IP addresses with ports, as settings and instance lists write them.
#ifndef TARRAGONDRIFT_GATE_ADDRESS_H_
#define TARRAGONDRIFT_GATE_ADDRESS_H_

#include <netinet/in.h>

#include <string>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// Reads "IP:port" of IPv4.
/// @return kMalformedRequest for any other text.
result<sockaddr_in> ParseAddress(const std::string& text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_ADDRESS_H_
