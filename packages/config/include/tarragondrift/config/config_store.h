// The operators' commands on the platform's table: try a document in trial,
// promote the same digest to production, read what is in force and who did it.
#ifndef TARRAGONDRIFT_CONFIG_CONFIG_STORE_H_
#define TARRAGONDRIFT_CONFIG_CONFIG_STORE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/config/document_text.h"
#include "tarragondrift/core/result_code.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Where a document is in force.
enum class environment : uint8_t { kTrial, kProduction };

/// The latest accepted change of an environment, or an earlier one.
struct config_head {
  /// 0 when nothing was accepted yet.
  uint64_t version = 0;
  std::string digest;
  /// The operator.
  std::string by;
  std::chrono::system_clock::time_point at;
  /// Names the command that made the change; a retry of it has the same.
  std::string operation;
  bool operator==(const config_head&) const = default;
};

/// What an operator asks for.
struct config_change {
  /// The operator, at most kMostOperatorBytes.
  std::string by;
  std::chrono::system_clock::time_point at;
  /// Random, made once by whoever starts the command: with it a repeated
  /// command meets its own earlier outcome.
  std::string operation;
  /// The version that the operator saw. Absent: the version found now.
  std::optional<uint64_t> expected_version;
  /// The same command was sent before and its outcome is unknown: a copy of it
  /// may still take effect, so no store code can promise "no effect".
  bool repeated = false;
};

/// How a change ended.
struct change_outcome {
  /// kOk, kConfigInvalid, kConfigConflict, kConfigDigestUnknown,
  /// kConfigOutcomeUnknown, kMalformedRequest, or a kStore code (no effect).
  result_code code = result_code::kInternal;
  /// With kOk: the accepted change. With kConfigConflict: the winner.
  config_head head;
  /// False when an earlier command had already made the change.
  bool changed = false;
  /// With kOk: the change that has replaced this one meanwhile, if any.
  std::optional<config_head> replaced_by;
  /// With kConfigInvalid.
  std::vector<config_error> errors;
};

inline constexpr size_t kMostOperatorBytes = 128;

/// Names an environment as in table keys: "trial" or "production".
std::string_view EnvironmentName(environment where);

/// Reads an environment's name.
/// @return kMalformedRequest for any other text.
result<environment> ParseEnvironment(std::string_view name);

/// Stores a document and puts it in force in trial.
change_outcome TryDocument(table_port& table, const std::string& text,
                           const config_change& change);

/// Puts a tried document, unchanged, in force in production.
change_outcome PromoteDocument(table_port& table, const std::string& digest,
                               const config_change& change);

/// Reads what was accepted last; version 0 when nothing was.
result<config_head> ReadHead(table_port& table, environment where);

/// Reads a document's text and verifies it against its digest.
/// @return kConfigDigestUnknown when there is none.
result<std::string> ReadDocument(table_port& table, const std::string& digest);

/// Reads the document that a head names, parsed, with the head's version.
result<config_document> LoadDocument(table_port& table,
                                     const config_head& head);

/// Reads the latest changes, newest first, at most `most` of them.
result<std::vector<config_head>> ReadHistory(table_port& table,
                                             environment where, uint32_t most);

/// Deletes history beyond the latest `keep` versions of each environment, and
/// the documents that no kept change names; a bounded number of rows a call.
/// @return how many rows were deleted, 0 when none is left; kStoreConflict
///   when another prune or a change came between.
result<uint32_t> PruneHistory(table_port& table, uint64_t keep);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_CONFIG_STORE_H_
