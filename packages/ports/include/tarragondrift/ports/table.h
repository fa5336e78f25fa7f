// The port to the platform's transactional table service.
#ifndef TARRAGONDRIFT_PORTS_TABLE_H_
#define TARRAGONDRIFT_PORTS_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// One row; the version grows with each write of it.
struct table_row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// One conditional write.
struct table_write {
  std::string key;
  std::string value;
  /// The version that the row must have; 0 is "must not exist"; absent is
  /// "whatever it has".
  std::optional<uint64_t> expected_version;
  /// Deletes the row in place of writing it.
  bool erase = false;
};

/// The table service. Calls block; each has its own time limit. Errors:
/// kStoreUnavailable (no effect), kStoreThrottled (no effect), kStoreConflict
/// (a condition failed, no effect), kStoreUnknown (may have taken effect).
class table_port {
 public:
  virtual ~table_port() = default;

  /// Reads one row, consistently.
  /// @return kNotFound when there is none.
  virtual result<table_row> Get(const std::string& key) = 0;

  /// Reads the rows whose key begins with the prefix, in order of key.
  virtual result<std::vector<table_row>> List(const std::string& prefix) = 0;

  /// Carries out all writes or none.
  virtual result<void> Write(const std::vector<table_write>& writes) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_TABLE_H_
