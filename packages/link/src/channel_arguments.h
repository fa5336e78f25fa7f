// gRPC channel settings shared by all connections between entries.
#ifndef TARRAGONDRIFT_LINK_SRC_CHANNEL_ARGUMENTS_H_
#define TARRAGONDRIFT_LINK_SRC_CHANNEL_ARGUMENTS_H_

#include <grpcpp/support/channel_arguments.h>

#include <chrono>
#include <string>

namespace tarragondrift {

/// Minimum backoff before reconnecting.
inline constexpr std::chrono::milliseconds kMinReconnectBackoff{100};

/// Returns the arguments of a channel to another entry. Automatic retries and
/// the proxies of the environment are disabled.
/// @param max_reconnect_backoff maximum backoff before reconnecting.
/// @param proxy address of an HTTP proxy, "IP:port"; empty for none.
grpc::ChannelArguments MakeChannelArguments(
    std::chrono::milliseconds max_reconnect_backoff,
    const std::string& proxy = {});

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_SRC_CHANNEL_ARGUMENTS_H_
