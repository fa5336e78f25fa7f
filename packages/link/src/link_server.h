// The server side that all links between entries share.
#ifndef TARRAGONDRIFT_LINK_SRC_LINK_SERVER_H_
#define TARRAGONDRIFT_LINK_SRC_LINK_SERVER_H_

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <memory>
#include <string>

namespace tarragondrift {

/// Starts a server of one service; two processes never share its address in
/// silence.
/// @param builder may carry further settings.
/// @return nullptr when the address can't be listened on.
std::unique_ptr<grpc::Server> StartLinkServer(grpc::ServerBuilder& builder,
                                              const std::string& address,
                                              grpc::Service& service);

/// Stops a server; calls under way have so long to end.
/// @param server nullptr when it never started.
void StopLinkServer(grpc::Server* server, std::chrono::milliseconds grace);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_SRC_LINK_SERVER_H_
