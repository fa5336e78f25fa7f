#include "tarragondrift/config/config_store.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace tarragondrift {
namespace {

using nlohmann::json;

/// Maximum attempts of a write whose outcome is unknown.
constexpr uint32_t kMaxWriteAttempts = 4;
/// Limit of history rows per prune, which keeps the transaction that deletes
/// them and their documents small.
constexpr size_t kMaxPrunedRows = 40;
/// Versions in keys are zero-padded to this width, so that keys sort by
/// version.
constexpr size_t kVersionDigits = 20;

constexpr std::array kEnvironments = {environment::kTrial,
                                      environment::kProduction};

std::string HeadKey(environment where) {
  return "config/" + std::string(EnvironmentName(where)) + "/head";
}

std::string HistoryPrefix(environment where) {
  return "config/" + std::string(EnvironmentName(where)) + "/history/";
}

std::string HistoryKey(environment where, uint64_t version) {
  const std::string digits = std::to_string(version);
  return HistoryPrefix(where) +
         std::string(kVersionDigits - digits.size(), '0') + digits;
}

std::string DocumentKey(const std::string& digest) {
  return "config/document/" + digest;
}

std::string PruneKey() { return "config/prune"; }

std::string FormatHead(const config_head& head) {
  const auto at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      head.at.time_since_epoch());
  return json{{"version", head.version},
              {"digest", head.digest},
              {"by", head.by},
              {"at_ms", at_ms.count()},
              {"operation", head.operation}}
      .dump();
}

result<config_head> ParseHead(const std::string& text) {
  try {
    const json row = json::parse(text);
    return config_head{
        .version = row.at("version").get<uint64_t>(),
        .digest = row.at("digest").get<std::string>(),
        .by = row.at("by").get<std::string>(),
        .at = std::chrono::system_clock::time_point(
            std::chrono::milliseconds(row.at("at_ms").get<int64_t>())),
        .operation = row.at("operation").get<std::string>()};
  } catch (const json::exception&) {
    return result_code::kInternal;
  }
}

/// A head with the version of its row, for compare-and-set.
struct head_row {
  config_head head;
  /// 0 when there is no row.
  uint64_t row_version = 0;
};

result<head_row> ReadHeadRow(table_port& table, environment where) {
  const result<table_row> row = table.Get(HeadKey(where));
  if (row.has_error()) {
    if (row.assume_error() == result_code::kNotFound) {
      return head_row{};
    }
    return row.assume_error();
  }
  BOOST_OUTCOME_TRY(head, ParseHead(row.assume_value().value));
  return head_row{.head = std::move(head),
                  .row_version = row.assume_value().version};
}

result<config_head> ReadHistoryRow(table_port& table, environment where,
                                   uint64_t version) {
  BOOST_OUTCOME_TRY(row, table.Get(HistoryKey(where, version)));
  return ParseHead(row.value);
}

change_outcome Refuse(result_code code) { return change_outcome{.code = code}; }

change_outcome ReportConflict(config_head winner) {
  return change_outcome{.code = result_code::kConfigConflict,
                        .head = std::move(winner)};
}

/// Reports an accepted change; `latest` is the change in force now.
change_outcome ReportAccepted(config_head accepted, const config_head& latest,
                              bool changed) {
  change_outcome ended{.code = result_code::kOk,
                       .head = std::move(accepted),
                       .changed = changed};
  if (latest.version > ended.head.version) {
    ended.replaced_by = latest;
  }
  return ended;
}

/// The change that a command would make, and the head that it replaces.
struct proposal {
  environment where = environment::kTrial;
  head_row base;
  config_head next;
  std::string text;
  /// An earlier copy of the command may still take effect.
  bool maybe_sent = false;
};

/// Returns the writes of a change. The document is rewritten too, so that no
/// prune can delete it between its reading and the change.
std::vector<table_write> MakeWrites(const proposal& change) {
  const std::string row = FormatHead(change.next);
  return {table_write{.key = HeadKey(change.where),
                      .value = row,
                      .expected_version = change.base.row_version},
          table_write{.key = HistoryKey(change.where, change.next.version),
                      .value = row},
          table_write{.key = DocumentKey(change.next.digest),
                      .value = change.text}};
}

/// Determines which command's change was accepted under the proposal's version.
change_outcome ResolveConflict(table_port& table, const proposal& change,
                               bool maybe_applied) {
  const result_code unreadable = maybe_applied
                                     ? result_code::kConfigOutcomeUnknown
                                     : result_code::kConfigConflict;
  const result<head_row> latest = ReadHeadRow(table, change.where);
  if (latest.has_error()) {
    return Refuse(unreadable);
  }
  const result<config_head> winner =
      ReadHistoryRow(table, change.where, change.next.version);
  if (winner.has_error()) {
    return Refuse(unreadable);
  }
  if (winner.assume_value().operation == change.next.operation) {
    return ReportAccepted(change.next, latest.assume_value().head, true);
  }
  return ReportConflict(winner.assume_value());
}

/// Reads the head back after writes with an unknown outcome. Only a change that
/// is present is conclusive: one that is absent may still be in flight.
change_outcome ReadBack(table_port& table, const proposal& change) {
  const result<head_row> latest = ReadHeadRow(table, change.where);
  if (latest.has_value() &&
      latest.assume_value().head.version >= change.next.version) {
    return ResolveConflict(table, change, true);
  }
  return Refuse(result_code::kConfigOutcomeUnknown);
}

/// Writes a change. A write with an unknown outcome is resent unchanged: the
/// condition on the head row lets it take effect at most once, and a conflict
/// then proves that no earlier copy can still take effect.
change_outcome CommitChange(table_port& table, const proposal& change) {
  bool maybe_applied = change.maybe_sent;
  result_code last = result_code::kInternal;
  for (uint32_t attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const result<void> written = table.Write(MakeWrites(change));
    if (written.has_value()) {
      return ReportAccepted(change.next, change.next, true);
    }
    last = written.assume_error();
    if (last == result_code::kStoreConflict) {
      return ResolveConflict(table, change, maybe_applied);
    }
    maybe_applied = maybe_applied || last == result_code::kStoreUnknown;
    if (!maybe_applied) {
      return Refuse(last);
    }
  }
  return ReadBack(table, change);
}

/// Whether the operator's name and the operation id are not empty and within
/// their limits.
bool IsWellFormed(const config_change& change) {
  constexpr size_t kMaxOperationBytes = 64;
  return !change.by.empty() && change.by.size() <= kMaxOperatorBytes &&
         !change.operation.empty() &&
         change.operation.size() <= kMaxOperationBytes;
}

/// Resolves a command whose expected version is not the current one: returns
/// its own earlier outcome, or a conflict with the winning change.
change_outcome ResolveStaleVersion(table_port& table, environment where,
                                   const config_head& latest, uint64_t expected,
                                   const std::string& digest,
                                   const config_change& change) {
  if (latest.version < expected) {
    return ReportConflict(latest);
  }
  const result<config_head> winner = ReadHistoryRow(table, where, expected + 1);
  if (winner.has_error()) {
    return ReportConflict(latest);
  }
  const config_head& next = winner.assume_value();
  if (next.by == change.by && next.digest == digest) {
    return ReportAccepted(next, latest, false);
  }
  return ReportConflict(next);
}

/// Lists the contracts whose `recorded` setting differs between the current and
/// the next document. With `recorded`, an intent record is written before the
/// first start, so the absence of a record proves that nothing was run. A
/// missing record would be misread if recording had been off under the same
/// contract name, so the setting must not change.
std::vector<config_error> ListChangedRecording(const config_document& now,
                                               const config_document& next) {
  std::vector<config_error> errors;
  for (size_t index = 0; index < next.contracts.size(); ++index) {
    const contract_config& wanted = next.contracts[index];
    const contract_id known = FindContract(now, wanted.name);
    if (!known.Valid() ||
        now.contracts[known.index].recorded == wanted.recorded) {
      continue;
    }
    errors.push_back(config_error{
        .fault = config_fault::kContradiction,
        .path = "/contracts/" + std::to_string(index) + "/recorded",
        .detail = "cannot change for contract '" + wanted.name +
                  "'; give the contract another name"});
  }
  return errors;
}

/// Checks a document against the one that it would replace.
/// @return kOk with no errors when the replacement is allowed.
change_outcome CheckReplacement(table_port& table, const config_head& latest,
                                const config_document& next) {
  if (latest.version == 0) {
    return Refuse(result_code::kOk);
  }
  const result<config_document> now = LoadDocument(table, latest);
  if (now.has_error()) {
    return Refuse(now.assume_error());
  }
  change_outcome tested{.code = result_code::kOk};
  tested.errors = ListChangedRecording(now.assume_value(), next);
  if (!tested.errors.empty()) {
    tested.code = result_code::kConfigInvalid;
  }
  return tested;
}

/// Changes an environment by compare-and-set on its head row.
change_outcome ChangeHead(table_port& table, environment where,
                          const std::string& text, const config_document& next,
                          const config_change& change) {
  const std::string& digest = next.digest;
  const result<head_row> base = ReadHeadRow(table, where);
  if (base.has_error()) {
    return Refuse(change.repeated ? result_code::kConfigOutcomeUnknown
                                  : base.assume_error());
  }
  const config_head& latest = base.assume_value().head;
  if (latest.operation == change.operation) {
    return ReportAccepted(latest, latest, false);
  }
  const uint64_t expected = change.expected_version.value_or(latest.version);
  if (expected != latest.version) {
    return ResolveStaleVersion(table, where, latest, expected, digest, change);
  }
  if (latest.digest == digest) {
    return ReportAccepted(latest, latest, false);
  }
  change_outcome tested = CheckReplacement(table, latest, next);
  if (tested.code == result_code::kConfigInvalid) {
    return tested;
  }
  if (tested.code != result_code::kOk) {
    return Refuse(change.repeated ? result_code::kConfigOutcomeUnknown
                                  : tested.code);
  }
  return CommitChange(
      table, proposal{.where = where,
                      .base = base.assume_value(),
                      .next = config_head{.version = latest.version + 1,
                                          .digest = digest,
                                          .by = change.by,
                                          .at = change.at,
                                          .operation = change.operation},
                      .text = text,
                      .maybe_sent = change.repeated});
}

/// The history of all environments, split into rows to keep and to delete.
struct split_history {
  std::set<std::string> kept_digests;
  /// The oldest rows beyond those to keep, at most kMaxPrunedRows.
  std::vector<table_row> old_rows;
  std::set<std::string> old_digests;
};

/// Splits the history of one environment into `split`.
result<void> SplitHistory(table_port& table, environment where, uint64_t keep,
                          split_history& split) {
  BOOST_OUTCOME_TRY(rows, table.List(HistoryPrefix(where)));
  for (size_t index = 0; index < rows.size(); ++index) {
    BOOST_OUTCOME_TRY(head, ParseHead(rows[index].value));
    const bool old =
        index + keep < rows.size() && split.old_rows.size() < kMaxPrunedRows;
    if (old) {
      split.old_rows.push_back(rows[index]);
      split.old_digests.insert(head.digest);
    } else {
      split.kept_digests.insert(head.digest);
    }
  }
  return outcome::success();
}

/// Reads and splits the history of all environments.
result<split_history> ReadSplitHistory(table_port& table, uint64_t keep) {
  split_history split;
  for (const environment where : kEnvironments) {
    BOOST_OUTCOME_TRY(SplitHistory(table, where, keep, split));
  }
  return split;
}

/// Returns the write that deletes a row if it is unchanged since it was read.
table_write MakeErase(const table_row& row) {
  return table_write{.key = row.key,
                     .value = {},
                     .expected_version = row.version,
                     .erase = true};
}

/// Reads the rows of documents that no kept change refers to.
result<std::vector<table_row>> ReadUnusedDocuments(table_port& table,
                                                   const split_history& split) {
  std::vector<table_row> unused;
  for (const std::string& digest : split.old_digests) {
    if (split.kept_digests.contains(digest)) {
      continue;
    }
    result<table_row> row = table.Get(DocumentKey(digest));
    if (row.has_value()) {
      unused.push_back(std::move(row.assume_value()));
    } else if (row.assume_error() != result_code::kNotFound) {
      return row.assume_error();
    }
  }
  return unused;
}

}  // namespace

std::string_view EnvironmentName(environment where) {
  return where == environment::kTrial ? "trial" : "production";
}

result<environment> ParseEnvironment(std::string_view name) {
  for (const environment where : kEnvironments) {
    if (EnvironmentName(where) == name) {
      return where;
    }
  }
  return result_code::kMalformedRequest;
}

change_outcome TryDocument(table_port& table, const std::string& text,
                           const config_change& change) {
  if (!IsWellFormed(change)) {
    return Refuse(result_code::kMalformedRequest);
  }
  parsed_config parsed = ParseConfigDocument(text);
  if (!parsed.Valid()) {
    return change_outcome{.code = result_code::kConfigInvalid,
                          .errors = std::move(parsed.errors)};
  }
  return ChangeHead(table, environment::kTrial, text, parsed.document, change);
}

change_outcome PromoteDocument(table_port& table, const std::string& digest,
                               const config_change& change) {
  if (!IsWellFormed(change)) {
    return Refuse(result_code::kMalformedRequest);
  }
  const result<std::string> text = ReadDocument(table, digest);
  if (text.has_error()) {
    return Refuse(change.repeated ? result_code::kConfigOutcomeUnknown
                                  : text.assume_error());
  }
  parsed_config parsed = ParseConfigDocument(text.assume_value());
  if (!parsed.Valid()) {
    return change_outcome{.code = result_code::kConfigInvalid,
                          .errors = std::move(parsed.errors)};
  }
  return ChangeHead(table, environment::kProduction, text.assume_value(),
                    parsed.document, change);
}

result<config_head> ReadHead(table_port& table, environment where) {
  BOOST_OUTCOME_TRY(row, ReadHeadRow(table, where));
  return std::move(row.head);
}

result<std::string> ReadDocument(table_port& table, const std::string& digest) {
  result<table_row> row = table.Get(DocumentKey(digest));
  if (row.has_error()) {
    return row.assume_error() == result_code::kNotFound
               ? result_code::kConfigDigestUnknown
               : row.assume_error();
  }
  if (DigestConfigText(row.assume_value().value) != digest) {
    return result_code::kInternal;
  }
  return std::move(row.assume_value().value);
}

result<config_document> LoadDocument(table_port& table,
                                     const config_head& head) {
  BOOST_OUTCOME_TRY(text, ReadDocument(table, head.digest));
  parsed_config parsed = ParseConfigDocument(text);
  if (!parsed.Valid()) {
    return result_code::kConfigInvalid;
  }
  parsed.document.version = head.version;
  return std::move(parsed.document);
}

result<std::vector<config_head>> ReadHistory(table_port& table,
                                             environment where,
                                             uint32_t max_changes) {
  BOOST_OUTCOME_TRY(latest, ReadHead(table, where));
  std::vector<config_head> history;
  for (uint64_t version = latest.version;
       version > 0 && history.size() < max_changes; --version) {
    result<config_head> head = ReadHistoryRow(table, where, version);
    if (head.has_error()) {
      if (head.assume_error() == result_code::kNotFound) {
        break;
      }
      return head.assume_error();
    }
    history.push_back(std::move(head.assume_value()));
  }
  return history;
}

result<uint32_t> PruneHistory(table_port& table, uint64_t keep) {
  // The condition on this row makes the second of two concurrent prunes fail.
  const result<table_row> guard = table.Get(PruneKey());
  if (guard.has_error() && guard.assume_error() != result_code::kNotFound) {
    return guard.assume_error();
  }
  keep = std::max<uint64_t>(keep, 1);
  BOOST_OUTCOME_TRY(before, ReadSplitHistory(table, keep));
  if (before.old_rows.empty()) {
    return 0U;
  }
  BOOST_OUTCOME_TRY(documents, ReadUnusedDocuments(table, before));
  // A concurrent change that refers to one of these documents is either in the
  // history read below, or rewrites the document's row so that the delete
  // fails.
  BOOST_OUTCOME_TRY(after, ReadSplitHistory(table, keep));
  std::vector<table_write> writes;
  for (const table_row& row : before.old_rows) {
    writes.push_back(MakeErase(row));
  }
  for (const table_row& row : documents) {
    if (!after.kept_digests.contains(row.key.substr(DocumentKey("").size()))) {
      writes.push_back(MakeErase(row));
    }
  }
  const auto deleted = static_cast<uint32_t>(writes.size());
  writes.push_back(
      table_write{.key = PruneKey(),
                  .value = std::to_string(deleted),
                  .expected_version =
                      guard.has_value() ? guard.assume_value().version : 0});
  BOOST_OUTCOME_TRY(table.Write(writes));
  return deleted;
}

}  // namespace tarragondrift
