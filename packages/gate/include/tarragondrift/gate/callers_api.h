// The HTTP interface for callers, as documented in docs/API.md.
#ifndef TARRAGONDRIFT_GATE_CALLERS_API_H_
#define TARRAGONDRIFT_GATE_CALLERS_API_H_

#include "tarragondrift/gate/http_server.h"
#include "tarragondrift/gate/submission_port.h"

namespace tarragondrift {

/// Handles one caller's request; blocks while the request is held.
server_response ServeCaller(submission_port& entry,
                            const server_request& request);

/// Returns the HTTP response for an error.
server_response ErrorResponse(const request_error& error);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_CALLERS_API_H_
