// The operators' requests that read and change the configuration.
#ifndef TARRAGONDRIFT_DAEMON_CONFIG_API_H_
#define TARRAGONDRIFT_DAEMON_CONFIG_API_H_

#include "tarragondrift/gate/http_server.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Answers a request below /v1/config/.
server_response ServeConfig(table_port& table, const server_request& request);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CONFIG_API_H_
