#include "mhd_request.h"

#include <chrono>
#include <cstdlib>
#include <string>

namespace tarragondrift {

bool IsAnnouncedTooLarge(MHD_Connection* connection,
                         const incoming_body& body) {
  const char* const length = MHD_lookup_connection_value(
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return length != nullptr &&
         std::strtoull(length, nullptr, 10) > 2 * body.limit;
}

bool TakePiece(connection_table& table, MHD_Connection* connection,
               incoming_body& body, const char* piece, size_t size) {
  body.size += size;
  if (body.size > body.limit) {
    body.too_large = true;
    DropBody(table, connection);
    // So much is read that a caller gets the answer; no body is without end.
    return body.size <= 2 * body.limit;
  }
  if (body.no_room) {
    return true;
  }
  const body_outcome outcome = AppendBody(table, connection, piece, size);
  body.no_room = outcome == body_outcome::kNoRoom;
  return outcome != body_outcome::kClosing;
}

int SocketOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

MHD_Result QueueResponse(MHD_Connection* connection,
                         const server_response& answer, bool closes) {
  MHD_Response* const response = MHD_create_response_from_buffer(
      answer.body.size(),
      const_cast<char*>(answer.body.data()),  // NOLINT: C API; it is copied
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type",
                          answer.content_type.c_str());
  if (answer.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
    MHD_add_response_header(response, "Retry-After",
                            std::to_string(seconds.count()).c_str());
  }
  if (closes) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const MHD_Result queued =
      MHD_queue_response(connection, answer.status, response);
  MHD_destroy_response(response);
  return queued;
}

}  // namespace tarragondrift
