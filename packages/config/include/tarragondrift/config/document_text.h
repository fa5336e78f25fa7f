// The configuration document as JSON text: parsing with all errors listed,
// formatting with all defaults shown, and the digest that identifies a text.
#ifndef TARRAGONDRIFT_CONFIG_DOCUMENT_TEXT_H_
#define TARRAGONDRIFT_CONFIG_DOCUMENT_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondrift/core/config_base.h"

namespace tarragondrift {

/// The schema version that is read and written.
inline constexpr uint32_t kConfigSchema = 1;

inline constexpr size_t kMaxConfigBytes = 256U << 10U;

/// Kinds of errors in a document, listed in docs/CONFIG.md.
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
  /// The document contradicts the one in force.
  kContradiction = 12,
};

/// An error in a document.
struct config_error {
  config_fault fault = config_fault::kNotJson;
  /// JSON pointer, such as "/contracts/0/name"; empty for the whole text
  /// and for kDuplicateKey.
  std::string path;
  /// Describes the error and the accepted values.
  std::string detail;
  auto operator<=>(const config_error&) const = default;
};

/// A document, or all errors in its text.
struct parsed_config {
  /// Complete only when there are no errors; the version is 0.
  config_document document;
  std::vector<config_error> errors;

  bool Valid() const { return errors.empty(); }
};

/// Returns the name of a fault in snake case, as in the operators' API.
std::string_view ConfigFaultName(config_fault fault);

/// Parses a document; every error is listed with its path and kind.
parsed_config ParseConfigDocument(std::string_view text);

/// Formats a document as indented JSON, including all defaults.
std::string FormatConfigDocument(const config_document& document);

/// Returns the SHA-256 digest of a text.
/// @return 64 hexadecimal digits.
std::string DigestConfigText(std::string_view text);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_DOCUMENT_TEXT_H_
