// A hash that is the same in every build and on every entry, which std::hash
// does not guarantee.
#ifndef TARRAGONDRIFT_CORE_FNV_HASH_H_
#define TARRAGONDRIFT_CORE_FNV_HASH_H_

#include <cstdint>
#include <string_view>

namespace tarragondrift {

/// FNV-1a offset basis: the hash of the empty text.
inline constexpr uint64_t kFnvOffset = 0xcbf29ce484222325;

/// Continues an FNV-1a hash with a text.
constexpr uint64_t AddToFnv(uint64_t hash, std::string_view text) {
  constexpr uint64_t kFnvPrime = 0x100000001b3;
  for (const char symbol : text) {
    hash = (hash ^ static_cast<unsigned char>(symbol)) * kFnvPrime;
  }
  return hash;
}

/// Returns the FNV-1a hash of a text.
constexpr uint64_t FnvOf(std::string_view text) {
  return AddToFnv(kFnvOffset, text);
}

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_FNV_HASH_H_
