// The HTTP API for operators; see docs/API.md.
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

/// State and services that the operators' API uses.
struct operators_context {
  /// Bearer token; empty when none is required.
  std::string token;
  incarnation self;
  std::string data_centre;
  uint16_t data_centre_number = 0;
  /// Address at which peers reach this entry.
  std::string address;
  table_port* table = nullptr;
  std::function<bool()> ready;
  std::function<std::string()> metrics_page;
  std::function<engine_status()> status;
  std::function<std::shared_ptr<const entry_directory>()> entries;
  std::function<burn_counts()> burn;
};

/// Handles a request of an operator.
server_response ServeOperator(const operators_context& context,
                              const server_request& request);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_OPERATORS_API_H_
