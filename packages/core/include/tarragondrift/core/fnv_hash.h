// A hash that is the same at every build and entry, which std::hash is not.
#ifndef TARRAGONDRIFT_CORE_FNV_HASH_H_
#define TARRAGONDRIFT_CORE_FNV_HASH_H_

#include <cstdint>
#include <string_view>

namespace tarragondrift {

/// FNV-1a of nothing; texts are added to it.
inline constexpr uint64_t kFnvOffset = 0xcbf29ce484222325;

/// Adds a text to an FNV-1a hash.
constexpr uint64_t AddToFnv(uint64_t hash, std::string_view text) {
  constexpr uint64_t kFnvPrime = 0x100000001b3;
  for (const char symbol : text) {
    hash = (hash ^ static_cast<unsigned char>(symbol)) * kFnvPrime;
  }
  return hash;
}

/// Hashes one text.
constexpr uint64_t FnvOf(std::string_view text) {
  return AddToFnv(kFnvOffset, text);
}

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_FNV_HASH_H_
