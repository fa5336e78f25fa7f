// The operators' API for reading and changing the configuration.
#ifndef TARRAGONDRIFT_DAEMON_CONFIG_API_H_
#define TARRAGONDRIFT_DAEMON_CONFIG_API_H_

#include "tarragondrift/gate/http_server.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Handles a request below /v1/config/.
server_response ServeConfig(table_port& table, const server_request& request);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CONFIG_API_H_
