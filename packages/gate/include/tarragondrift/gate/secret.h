// Comparison of secrets.
#ifndef TARRAGONDRIFT_GATE_SECRET_H_
#define TARRAGONDRIFT_GATE_SECRET_H_

#include <cstddef>
#include <string_view>

namespace tarragondrift {

/// Compares in constant time for equal lengths, against timing attacks.
inline bool SameSecret(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned char differing = 0;
  for (size_t at = 0; at < left.size(); ++at) {
    differing |= static_cast<unsigned char>(left[at] ^ right[at]);
  }
  return differing == 0;
}

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SECRET_H_
