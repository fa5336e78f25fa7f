// The rows of the stand-in for the table service, behind the part of
// DynamoDB's JSON 1.0 interface that the client uses.
#ifndef TARRAGONDRIFT_FAKES_FAKE_TABLE_H_
#define TARRAGONDRIFT_FAKES_FAKE_TABLE_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "fake_http_server.h"

namespace tarragondrift {

/// A table in memory; every call is atomic.
class fake_table {
 public:
  /// Carries out one call of the interface.
  fake_reply Handle(const fake_request& request);

  /// @return whether the request changes rows.
  static bool IsWrite(const fake_request& request);

  /// Sets how many rows one page of a Query holds.
  void SetPageSize(size_t rows);

 private:
  nlohmann::json GetItem(const nlohmann::json& body) const;
  nlohmann::json Query(const nlohmann::json& body) const;
  fake_reply WriteOne(const nlohmann::json& operation, bool erase);
  fake_reply Transact(const nlohmann::json& body);
  bool ConditionHolds(const nlohmann::json& operation) const;
  void Apply(const nlohmann::json& operation, bool erase);

  mutable std::mutex mutex_;
  /// Items by their key attribute; the service's rows share one partition.
  std::map<std::string, nlohmann::json> items_;
  size_t page_size_ = 500;
};

/// Makes an error answer of the interface.
fake_reply TableError(int status, const std::string& name);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FAKE_TABLE_H_
