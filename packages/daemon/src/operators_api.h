// The HTTP interface for operators, as docs/API.md states it.
#ifndef TARRAGONDRIFT_DAEMON_OPERATORS_API_H_
#define TARRAGONDRIFT_DAEMON_OPERATORS_API_H_

#include <functional>
#include <memory>
#include <string>

#include "engine_events.h"
#include "entry_registry.h"
#include "tarragondrift/gate/http_server.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// What the operators' interface shows and uses.
struct operators_context {
  /// Empty when none is needed.
  std::string token;
  incarnation self;
  std::string data_centre;
  uint16_t data_centre_number = 0;
  /// Where peers reach this entry.
  std::string address;
  table_port* table = nullptr;
  std::function<bool()> ready;
  std::function<std::string()> metrics_page;
  std::function<engine_status()> status;
  std::function<std::shared_ptr<const entry_directory>()> entries;
  std::function<burn_counts()> burn;
};

/// Answers one operator's request.
server_response ServeOperator(const operators_context& context,
                              const server_request& request);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_OPERATORS_API_H_
