#include "tarragondrift/core/submission_base.h"

#include <array>
#include <boost/container_hash/hash.hpp>
#include <charconv>
#include <cstdio>

namespace tarragondrift {
namespace {

constexpr int kHexBase = 16;

/// Parses a hexadecimal field.
/// @return false when any character is not part of the number.
template <class Number>
bool ParseHex(std::string_view field, Number& number) {
  const char* const last = field.data() + field.size();
  const auto [end, error] =
      std::from_chars(field.data(), last, number, kHexBase);
  return error == std::errc{} && end == last;
}

}  // namespace

size_t submission_id_hash::operator()(const submission_id& id) const {
  size_t seed = id.data_centre;
  boost::hash_combine(seed, id.owner.value);
  boost::hash_combine(seed, id.sequence);
  return seed;
}

std::string FormatSubmissionId(const submission_id& id) {
  constexpr size_t kMaxTextBytes = 48;
  std::array<char, kMaxTextBytes> text{};
  const int length = std::snprintf(
      text.data(), text.size(), "%04x-%016llx-%llx",
      static_cast<unsigned>(id.data_centre),
      static_cast<unsigned long long>(id.owner.value),  // NOLINT: printf's type
      static_cast<unsigned long long>(id.sequence));    // NOLINT: printf's type
  return {text.data(), static_cast<size_t>(length)};
}

result<submission_id> ParseSubmissionId(std::string_view text) {
  submission_id id;
  const size_t first = text.find('-');
  const size_t second =
      first == std::string_view::npos ? first : text.find('-', first + 1);
  if (second == std::string_view::npos) {
    return result_code::kInvalidSubmissionId;
  }
  const bool parsed =
      ParseHex(text.substr(0, first), id.data_centre) &&
      ParseHex(text.substr(first + 1, second - first - 1), id.owner.value) &&
      ParseHex(text.substr(second + 1), id.sequence);
  // Only the canonical text is accepted, so that one id has one spelling.
  if (!parsed || FormatSubmissionId(id) != text) {
    return result_code::kInvalidSubmissionId;
  }
  return id;
}

}  // namespace tarragondrift
