// Reads the fields of one JSON object and notes what is wrong with each.
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

/// One object that is being read.
struct object_reader {
  const nlohmann::json* object = nullptr;
  /// JSON pointer to the object.
  std::string path;
  std::vector<config_error>* errors = nullptr;
  /// Keys that the schema knows, as far as they were asked for.
  std::set<std::string_view> known;
};

/// Joins a JSON pointer and a key, escaped as RFC 6901 asks.
std::string JoinPath(const std::string& path, std::string_view key);

/// Notes an error at a key of the object.
void NoteError(object_reader& reader, config_fault fault, std::string_view key,
               std::string detail);

/// Finds a key.
/// @return nullptr when it is absent, which is noted when it is required.
const nlohmann::json* FindKey(object_reader& reader, std::string_view key,
                              bool required);

/// Reads a required name: 1 to kMostNameBytes letters, digits, '_', '-', '.'.
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

/// Notes every key that the schema does not know.
void RefuseUnknownKeys(object_reader& reader);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_SRC_DOCUMENT_READER_H_
