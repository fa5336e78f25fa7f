// gRPC server start and stop, shared by all links between entries.
#ifndef TARRAGONDRIFT_LINK_SRC_LINK_SERVER_H_
#define TARRAGONDRIFT_LINK_SRC_LINK_SERVER_H_

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <memory>
#include <string>

namespace tarragondrift {

/// Starts a server for one service. Port reuse is disabled, so that a second
/// process on the same address fails instead of sharing it unnoticed.
/// @param builder may already hold other settings.
/// @return nullptr when the address cannot be bound.
std::unique_ptr<grpc::Server> StartLinkServer(grpc::ServerBuilder& builder,
                                              const std::string& address,
                                              grpc::Service& service);

/// Stops a server; running calls are cancelled after `grace`.
/// @param server nullptr if the server never started.
void StopLinkServer(grpc::Server* server, std::chrono::milliseconds grace);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_SRC_LINK_SERVER_H_
