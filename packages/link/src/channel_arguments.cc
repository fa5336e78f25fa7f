#include "channel_arguments.h"

#include <grpc/grpc.h>

namespace tarragondrift {

grpc::ChannelArguments MakeChannelArguments(
    std::chrono::milliseconds max_reconnect_backoff, const std::string& proxy) {
  grpc::ChannelArguments arguments;
  const auto shortest = static_cast<int>(kMinReconnectBackoff.count());
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, shortest);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, shortest);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   static_cast<int>(max_reconnect_backoff.count()));
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, proxy.empty() ? 0 : 1);
  if (!proxy.empty()) {
    arguments.SetString(GRPC_ARG_HTTP_PROXY, "http://" + proxy);
  }
  return arguments;
}

}  // namespace tarragondrift
