#include "link_server.h"

namespace tarragondrift {

std::unique_ptr<grpc::Server> StartLinkServer(grpc::ServerBuilder& builder,
                                              const std::string& address,
                                              grpc::Service& service) {
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.RegisterService(&service);
  std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  return port != 0 ? std::move(server) : nullptr;
}

void StopLinkServer(grpc::Server* server, std::chrono::milliseconds grace) {
  if (server != nullptr) {
    server->Shutdown(std::chrono::system_clock::now() + grace);
    server->Wait();
  }
}

}  // namespace tarragondrift
