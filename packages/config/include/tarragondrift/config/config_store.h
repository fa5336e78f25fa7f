// Operator commands on the configuration table: try a document in trial,
// promote the same digest to production, and read the document in force and its
// author.
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

/// An environment in which a document is in force.
enum class environment : uint8_t { kTrial, kProduction };

/// An accepted change of an environment: the latest or an earlier one.
struct config_head {
  /// 0 when no change has been accepted yet.
  uint64_t version = 0;
  std::string digest;
  /// Name of the operator.
  std::string by;
  std::chrono::system_clock::time_point at;
  /// Id of the command that made the change; a retry has the same id.
  std::string operation;
  bool operator==(const config_head&) const = default;
};

/// A change requested by an operator.
struct config_change {
  /// Name of the operator, at most kMaxOperatorBytes.
  std::string by;
  std::chrono::system_clock::time_point at;
  /// Random id, generated once per command by the client, by which a repeated
  /// command finds its own earlier outcome. Recognised only while that change
  /// is the latest; an older one is found by `expected_version`, operator and
  /// content.
  std::string operation;
  /// The version that the operator saw; if absent, the current version.
  std::optional<uint64_t> expected_version;
  /// The same command was sent before and its outcome is unknown. A copy of it
  /// may still be in flight, so a store failure is returned as
  /// kConfigOutcomeUnknown, not as a kStore code (no effect).
  bool repeated = false;
};

/// The outcome of a change.
struct change_outcome {
  /// kOk, kConfigInvalid, kConfigConflict, kConfigDigestUnknown,
  /// kConfigOutcomeUnknown, kMalformedRequest, or a kStore code (no effect).
  result_code code = result_code::kInternal;
  /// With kOk: the accepted change. With kConfigConflict: the winning change.
  config_head head;
  /// False when an earlier command had already made the change.
  bool changed = false;
  /// With kOk: the later change that has replaced this one, if any.
  std::optional<config_head> replaced_by;
  /// The errors found, with kConfigInvalid.
  std::vector<config_error> errors;
};

inline constexpr size_t kMaxOperatorBytes = 128;

/// Returns the name of an environment in table keys: "trial" or "production".
std::string_view EnvironmentName(environment where);

/// Parses the name of an environment.
/// @return kMalformedRequest for any other text.
result<environment> ParseEnvironment(std::string_view name);

/// Stores a document and puts it in force in trial.
change_outcome TryDocument(table_port& table, const std::string& text,
                           const config_change& change);

/// Puts a document that was tried in force in production, unchanged.
change_outcome PromoteDocument(table_port& table, const std::string& digest,
                               const config_change& change);

/// Reads the latest accepted change; version 0 when there is none.
result<config_head> ReadHead(table_port& table, environment where);

/// Reads a document's text and verifies it against its digest.
/// @return kConfigDigestUnknown when there is no such document.
result<std::string> ReadDocument(table_port& table, const std::string& digest);

/// Reads and parses the document of a head and sets the head's version.
result<config_document> LoadDocument(table_port& table,
                                     const config_head& head);

/// Reads the latest changes, newest first, at most `max_changes`.
result<std::vector<config_head>> ReadHistory(table_port& table,
                                             environment where,
                                             uint32_t max_changes);

/// Deletes history beyond the latest `keep` versions of each environment, and
/// documents that no kept change refers to; a bounded number of rows per call.
/// @return the number of deleted rows, 0 when none is left; kStoreConflict when
///   another prune or a change interfered.
result<uint32_t> PruneHistory(table_port& table, uint64_t keep);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_CONFIG_STORE_H_
