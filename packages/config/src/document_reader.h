// Reads the fields of a JSON object and collects the errors found.
#ifndef TARRAGONDRIFT_CONFIG_SRC_DOCUMENT_READER_H_
#define TARRAGONDRIFT_CONFIG_SRC_DOCUMENT_READER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "document_limits.h"
#include "tarragondrift/config/document_text.h"

namespace tarragondrift {

/// State of reading one JSON object.
struct object_reader {
  const nlohmann::json* object = nullptr;
  /// JSON pointer to the object.
  std::string path;
  std::vector<config_error>* errors = nullptr;
  /// Keys of the schema that have been looked up so far.
  std::set<std::string_view> known;
};

/// Joins a JSON pointer and a key, escaped as RFC 6901 requires.
std::string JoinPath(const std::string& path, std::string_view key);

/// Adds an error at a key of the object.
void AddError(object_reader& reader, config_fault fault, std::string_view key,
              std::string detail);

/// Returns the value of a key, or nullptr when the key is absent; adds an error
/// if it is required.
const nlohmann::json* FindKey(object_reader& reader, std::string_view key,
                              bool required);

/// Reads a required name: 1 to kMaxNameBytes letters, digits, '_', '-', '.'.
void ReadName(object_reader& reader, std::string_view key, std::string& out);

/// Reads an optional boolean.
void ReadFlag(object_reader& reader, std::string_view key, bool& out);

/// Reads an optional whole number within a range.
void ReadNumber(object_reader& reader, std::string_view key,
                number_range<uint32_t> range, uint32_t& out);

/// Reads an optional number within a range.
void ReadDecimal(object_reader& reader, std::string_view key,
                 number_range<double> range, double& out);

/// Reads an optional time in whole milliseconds within kTimeRange.
void ReadTime(object_reader& reader, std::string_view key,
              std::chrono::milliseconds& out);

/// Adds an error for every key that is not in the schema.
void ReportUnknownKeys(object_reader& reader);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_SRC_DOCUMENT_READER_H_
