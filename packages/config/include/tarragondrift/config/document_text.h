// The configuration document as JSON text: parsing with every error listed,
// formatting with every default shown, and the digest that names a text.
#ifndef TARRAGONDRIFT_CONFIG_DOCUMENT_TEXT_H_
#define TARRAGONDRIFT_CONFIG_DOCUMENT_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondrift/core/config_base.h"

namespace tarragondrift {

/// The schema that this version of the project reads and writes.
inline constexpr uint32_t kConfigSchema = 1;

/// Longest text of a document, in bytes.
inline constexpr size_t kMostConfigBytes = 256U << 10U;

/// What is wrong at one place of a document; docs/CONFIG.md is their table.
enum class config_fault : uint16_t {
  kNotJson = 1,
  kTooLarge = 2,
  kWrongType = 3,
  kMissingKey = 4,
  kUnknownKey = 5,
  kOutOfRange = 6,
  kDuplicateName = 7,
  kDuplicateKey = 8,
  kBadName = 9,
  kUnsupportedSchema = 10,
  kTooManyElements = 11,
  /// It contradicts the document in force.
  kContradiction = 12,
};

/// One error of a document.
struct config_error {
  config_fault fault = config_fault::kNotJson;
  /// Where, as a JSON pointer: "/contracts/0/name"; empty is the whole text.
  std::string path;
  /// What was found and what would be right.
  std::string detail;
  auto operator<=>(const config_error&) const = default;
};

/// A document, or all that is wrong with its text.
struct parsed_config {
  /// Complete only when there are no errors; its version is 0.
  config_document document;
  std::vector<config_error> errors;

  bool Valid() const { return errors.empty(); }
};

/// Names a fault in snake case, as the operators' interface shows it.
std::string_view ConfigFaultName(config_fault fault);

/// Reads a document and lists every error by path and number.
parsed_config ParseConfigDocument(std::string_view text);

/// Writes a document as indented JSON with every default spelt out.
std::string FormatConfigDocument(const config_document& document);

/// Names a text by the SHA-256 of its bytes.
/// @return 64 hexadecimal digits.
std::string DigestConfigText(std::string_view text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_DOCUMENT_TEXT_H_
