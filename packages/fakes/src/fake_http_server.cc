#include "fake_http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <utility>

namespace tarragondrift {
namespace {

constexpr unsigned kMostConnections = 8'000;
constexpr size_t kThreadStackBytes = size_t{256} << 10U;
constexpr unsigned kListenBacklog = 1'024;

/// A request that is still being received.
struct pending_request {
  fake_request request;
};

using string_map = std::map<std::string, std::string>;

MHD_Result TakeHeader(void* context, MHD_ValueKind /*kind*/, const char* name,
                      const char* value) {
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  (*static_cast<string_map*>(context))[lower] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result TakeArgument(void* context, MHD_ValueKind /*kind*/, const char* name,
                        const char* value) {
  (*static_cast<string_map*>(context))[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

/// Begins a request: everything but its body is known.
MHD_Result BeginRequest(MHD_Connection* connection, const char* url,
                        const char* method, void** context) {
  auto pending = std::make_unique<pending_request>();
  fake_request& request = pending->request;
  request.method = method;
  request.path = url;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, TakeHeader,
                            &request.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, TakeArgument,
                            &request.query);
  *context = pending.release();
  return MHD_YES;
}

/// Sends an answer, or drops the connection.
MHD_Result SendReply(MHD_Connection* connection, const fake_reply& reply) {
  if (reply.dropped) {
    return MHD_NO;
  }
  MHD_Response* const response = MHD_create_response_from_buffer(
      reply.body.size(),
      const_cast<char*>(reply.body.data()),  // NOLINT: the library copies it
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", reply.content_type.c_str());
  if (reply.close) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const MHD_Result queued = MHD_queue_response(
      connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
  return queued;
}

/// Called by the library for each part of a request.
MHD_Result OnRequest(void* server, MHD_Connection* connection, const char* url,
                     const char* method, const char* /*version*/,
                     const char* data, size_t* size, void** context) {
  if (*context == nullptr) {
    return BeginRequest(connection, url, method, context);
  }
  fake_request& request = static_cast<pending_request*>(*context)->request;
  if (*size > 0) {
    request.body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  return SendReply(connection,
                   static_cast<fake_http_server*>(server)->Handle(request));
}

/// Called by the library at the end of a request.
void OnCompleted(void* /*server*/, MHD_Connection* /*connection*/,
                 void** context, MHD_RequestTerminationCode /*code*/) {
  delete static_cast<pending_request*>(*context);
  *context = nullptr;
}

}  // namespace

fake_http_server::fake_http_server(fake_handler handler)
    : handler_(std::move(handler)) {}

fake_http_server::~fake_http_server() { Stop(); }

bool fake_http_server::Start(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  {
    const std::lock_guard lock(mutex_);
    stopping_ = false;
  }
  daemon_ = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
          MHD_USE_ITC,
      port, nullptr, nullptr, OnRequest, this, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, OnCompleted, nullptr,
      MHD_OPTION_CONNECTION_LIMIT, kMostConnections,
      MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog, MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return false;
  }
  port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  return true;
}

void fake_http_server::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  if (daemon_ != nullptr) {
    MHD_stop_daemon(daemon_);
    daemon_ = nullptr;
  }
}

std::string fake_http_server::Address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

bool fake_http_server::Wait(std::chrono::milliseconds time) {
  std::unique_lock lock(mutex_);
  return !stopped_.wait_for(lock, time, [this] { return stopping_; });
}

}  // namespace tarragondrift
