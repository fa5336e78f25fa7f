#include "document_reader.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace tarragondrift {
namespace {

using nlohmann::json;

/// Whether a character is allowed in a name.
bool IsNameCharacter(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         character == '_' || character == '-' || character == '.';
}

/// Whether a text is a valid name of an element.
bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

/// Describes the allowed values in an error message.
template <class Number>
std::string DescribeRange(Number min, Number max) {
  return "must be " + std::to_string(min) + " to " + std::to_string(max);
}

/// Reads an optional whole number within a range.
/// @return whether a valid number was read.
bool ReadWhole(object_reader& reader, std::string_view key, int64_t min,
               int64_t max, int64_t& out) {
  const json* const value = FindKey(reader, key, false);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_number_integer()) {
    AddError(reader, config_fault::kWrongType, key, "must be a whole number");
    return false;
  }
  const bool huge = value->is_number_unsigned() &&
                    value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (huge || value->get<int64_t>() < min || value->get<int64_t>() > max) {
    AddError(reader, config_fault::kOutOfRange, key, DescribeRange(min, max));
    return false;
  }
  out = value->get<int64_t>();
  return true;
}

}  // namespace

std::string JoinPath(const std::string& path, std::string_view key) {
  std::string joined = path + '/';
  for (const char character : key) {
    if (character == '~') {
      joined += "~0";
    } else if (character == '/') {
      joined += "~1";
    } else {
      joined += character;
    }
  }
  return joined;
}

void AddError(object_reader& reader, config_fault fault, std::string_view key,
              std::string detail) {
  reader.errors->push_back(config_error{.fault = fault,
                                        .path = JoinPath(reader.path, key),
                                        .detail = std::move(detail)});
}

const json* FindKey(object_reader& reader, std::string_view key,
                    bool required) {
  reader.known.insert(key);
  const auto at = reader.object->find(key);
  if (at != reader.object->end()) {
    return &*at;
  }
  if (required) {
    AddError(reader, config_fault::kMissingKey, key, "is required");
  }
  return nullptr;
}

void ReadName(object_reader& reader, std::string_view key, std::string& out) {
  const json* const value = FindKey(reader, key, true);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    AddError(reader, config_fault::kWrongType, key, "must be a string");
    return;
  }
  if (!IsName(value->get_ref<const std::string&>())) {
    AddError(reader, config_fault::kBadName, key,
             "must be 1 to " + std::to_string(kMaxNameBytes) +
                 " letters, digits, '_', '-' or '.'");
    return;
  }
  out = value->get<std::string>();
}

void ReadFlag(object_reader& reader, std::string_view key, bool& out) {
  const json* const value = FindKey(reader, key, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    AddError(reader, config_fault::kWrongType, key, "must be true or false");
    return;
  }
  out = value->get<bool>();
}

void ReadNumber(object_reader& reader, std::string_view key,
                number_range<uint32_t> range, uint32_t& out) {
  int64_t whole = 0;
  if (ReadWhole(reader, key, range.min, range.max, whole)) {
    out = static_cast<uint32_t>(whole);
  }
}

void ReadDecimal(object_reader& reader, std::string_view key,
                 number_range<double> range, double& out) {
  const json* const value = FindKey(reader, key, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    AddError(reader, config_fault::kWrongType, key, "must be a number");
    return;
  }
  const auto number = value->get<double>();
  if (number < range.min || number > range.max) {
    AddError(reader, config_fault::kOutOfRange, key,
             DescribeRange(range.min, range.max));
    return;
  }
  out = number;
}

void ReadTime(object_reader& reader, std::string_view key,
              std::chrono::milliseconds& out) {
  int64_t whole = 0;
  if (ReadWhole(reader, key, kTimeRange.min.count(), kTimeRange.max.count(),
                whole)) {
    out = std::chrono::milliseconds{whole};
  }
}

void ReportUnknownKeys(object_reader& reader) {
  for (const auto& field : reader.object->items()) {
    if (!reader.known.contains(field.key())) {
      AddError(reader, config_fault::kUnknownKey, field.key(),
               "is not a key of schema " + std::to_string(kConfigSchema));
    }
  }
}

}  // namespace tarragondrift
