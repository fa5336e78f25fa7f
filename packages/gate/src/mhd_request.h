// What the servers on libmicrohttpd have in common: bodies that are read within
// limits, and responses.
#ifndef TARRAGONDRIFT_GATE_SRC_MHD_REQUEST_H_
#define TARRAGONDRIFT_GATE_SRC_MHD_REQUEST_H_

#include <microhttpd.h>

#include <cstddef>

#include "connection_table.h"
#include "tarragondrift/gate/http_server.h"

namespace tarragondrift {

/// A body as far as it has arrived.
struct incoming_body {
  size_t limit = 0;
  /// Bytes that have arrived, kept or not.
  size_t size = 0;
  /// It exceeded the limit, or there was no memory for it; it was discarded.
  bool too_large = false;
  bool no_room = false;
};

/// Whether so much is announced that the body is not to be read.
bool IsAnnouncedTooLarge(MHD_Connection* connection, const incoming_body& body);

/// Stores a piece of a body, or discards it if the body is too large.
/// @return false if the connection is to be closed.
bool TakePiece(connection_table& table, MHD_Connection* connection,
               incoming_body& body, const char* piece, size_t size);

/// Returns the socket of a connection, -1 if it has none.
int SocketOf(MHD_Connection* connection);

/// Queues the response to a connection's request.
/// @param closes whether the connection is closed after it.
MHD_Result QueueResponse(MHD_Connection* connection,
                         const server_response& answer, bool closes);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_SRC_MHD_REQUEST_H_
